"""What an embedder implements or passes in."""

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
from plantainstand_consensus._messages import Message
from plantainstand_consensus._state import Role


class StateMachine(Protocol):
    """Deterministic state that the log's commands build up."""

    def apply(self, index: LogIndex, payload: bytes) -> bytes:
        """Carry out a command; return its encoded outcome."""

    def snapshot(self) -> bytes:
        """Return the whole state."""

    def restore(self, snapshot: bytes) -> None:
        """Replace the state by what :meth:`snapshot` returned."""


class Transport(Protocol):
    """Delivery of messages; loss, reordering and repetition are allowed."""

    def send(self, destination: VmId, message: Message) -> None:
        """Send without blocking, or drop the message."""


RunBlocking = Callable[[Callable[[], None]], Awaitable[None]]


async def run_in_thread(action: Callable[[], None]) -> None:
    """Run file operations in a thread, so that heartbeats go on."""
    await asyncio.to_thread(action)


@dataclass(frozen=True)
class ReplicaOptions:
    """Settings of a replica; the defaults suit a voter."""

    peers: Sequence[VmId] = ()
    """Voter VMs from the settings, to ask while the log names none."""

    clock: Clock = field(default_factory=SystemClock)
    """Source of monotonic time."""

    random_source: random.Random = field(default_factory=random.SystemRandom)
    """Source of election timeouts."""

    snapshot_interval_entries: int = 10_000
    """Applied entries between two snapshots."""

    retained_entries: int = 2_000
    """Entries before a snapshot that are kept for replicas a little behind."""

    run_blocking: RunBlocking = run_in_thread
    """How file operations are run."""


@dataclass(frozen=True)
class ReplicaStatus:
    """State of a replica at one moment."""

    node: Node
    """VM and disk of this replica."""

    role: Role
    """What it does; ``LEARNER`` while it has no vote."""

    term: Term
    """Newest term seen."""

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
    sent within the last second, by the clock at the time of the call."""

    formed: bool
    """Whether all founding members have been voters; needed to serve."""

    members: tuple[VmId, ...]
    """VMs that are meant to be voters."""

    voters: tuple[Node, ...]
    """Disks whose votes count, from the newest voter set in the log."""

    problem: StorageProblem | None
    """Why the replica stopped, if its disk failed."""


@dataclass(frozen=True)
class CommittedEntry:
    """A committed command."""

    index: LogIndex
    """Its position in the log."""

    payload: bytes
    """What was proposed."""


@dataclass(frozen=True)
class SnapshotItem:
    """State that replaces everything a subscriber has."""

    index: LogIndex
    """Last index whose effect the payload holds."""

    payload: bytes
    """What the state machine's ``snapshot`` returned."""


@dataclass(frozen=True)
class EntriesItem:
    """Commands that follow the last item."""

    entries: Sequence[CommittedEntry]
    """Commands in order; may be empty."""

    through: LogIndex
    """Newest index covered; entries without a command are left out."""
