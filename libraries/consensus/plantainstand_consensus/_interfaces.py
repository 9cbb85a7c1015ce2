"""Interfaces and options that an embedder provides, and the types it gets."""

import asyncio
import random
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, field
from typing import Protocol

from plantainstand_core import (
    Clock,
    LogIndex,
    SystemClock,
    Term,
    VmId,
)
from plantainstand_storage import StorageProblem

from plantainstand_consensus._entries import Node
from plantainstand_consensus._limits import LogLimits
from plantainstand_consensus._messages import Message
from plantainstand_consensus._state import Role


class StateMachine(Protocol):
    """Deterministic state machine to which the log's commands are applied."""

    def apply(self, index: LogIndex, payload: bytes) -> bytes:
        """Execute a command and return its encoded outcome."""

    def snapshot(self) -> bytes:
        """Return the encoded state."""

    def restore(self, snapshot: bytes) -> None:
        """Replace the state by one that :meth:`snapshot` returned."""


class Transport(Protocol):
    """Best-effort delivery; may lose, reorder and duplicate messages."""

    def send(self, destination: VmId, message: Message) -> None:
        """Send a message without blocking, or drop it."""


RunBlocking = Callable[[Callable[[], None]], Awaitable[None]]


async def run_in_thread(action: Callable[[], None]) -> None:
    """Run file operations in a thread, so that they don't delay heartbeats."""
    await asyncio.to_thread(action)


@dataclass(frozen=True)
class ReplicaOptions:
    """Options of a replica, with defaults for a voter."""

    peers: Sequence[VmId] = ()
    """VMs that get join requests, besides the members that the log names."""

    clock: Clock = field(default_factory=SystemClock)
    """Source of monotonic time."""

    random_source: random.Random = field(default_factory=random.SystemRandom)
    """Source of election timeouts."""

    snapshot_interval_entries: int = 10_000
    """Applied entries between two snapshots."""

    retained_entries: int = 2_000
    """Entries before a snapshot that are kept for replicas slightly behind."""

    limits: LogLimits = LogLimits()
    """Limits on the bytes of the log, which hold beside those on entries."""

    run_blocking: RunBlocking = run_in_thread
    """Runs file operations and waits for their end."""


@dataclass(frozen=True)
class LearnerStatus:
    """Leader's knowledge of a disk that is to become a voter."""

    node: Node
    """VM and disk that receive the log."""

    missing_entries: int
    """Committed entries that are not known to be durable on the disk."""


@dataclass(frozen=True)
class ReplicaStatus:
    """Status of a replica at one time."""

    node: Node
    """VM and disk of this replica."""

    role: Role
    """Current role; ``LEARNER`` while the replica has no vote."""

    term: Term
    """Newest term that the replica knows."""

    leader: VmId | None
    """Leader of that term, if known."""

    last_index: LogIndex
    """Newest entry in the log."""

    commit_index: LogIndex
    """Newest entry known to be committed."""

    applied_index: LogIndex
    """Newest entry applied to the state machine."""

    has_quorum_contact: bool
    """Whether this is the leader and a majority answered messages that were
    sent within the last second, measured at the time of the call."""

    has_leader_contact: bool
    """Whether this is a leader with ``has_quorum_contact``, or a leader's
    message arrived within the last second."""

    formed: bool
    """Whether all founding members have been voters. Proposals and reads are
    refused until then."""

    log_bytes: int
    """Entries in memory, in bytes as counted by ``Entry.size``."""

    snapshot_bytes: int
    """Length of the newest snapshot; 0 without one."""

    journal_bytes: int
    """Entries on disk, in bytes."""

    members: tuple[VmId, ...]
    """VMs that are to be voters."""

    voters: tuple[Node, ...]
    """Disks whose votes count, from the newest voter set in the log."""

    silent_voters: tuple[Node, ...]
    """On the leader: voters that answered no message that was sent within the
    last second. Empty on other replicas."""

    learners: tuple[LearnerStatus, ...]
    """On the leader: disks that get the log without being voters, and have
    answered a message that was sent within the last second."""

    problem: StorageProblem | None
    """Why the replica stopped, if its disk failed."""


@dataclass(frozen=True)
class CommittedEntry:
    """A committed command."""

    index: LogIndex
    payload: bytes
    """Payload as proposed."""


@dataclass(frozen=True)
class SnapshotItem:
    """Snapshot that replaces all state of a subscriber."""

    index: LogIndex
    """Last index whose command is included in the payload."""

    payload: bytes
    """State as returned by ``StateMachine.snapshot``."""


@dataclass(frozen=True)
class EntriesItem:
    """Commands that follow the previous item."""

    entries: Sequence[CommittedEntry]
    """Commands in the order of their indexes; may be empty."""

    through: LogIndex
    """Last index covered. Entries without a command are covered, but not in
    ``entries``."""
