"""Simulated disk, and a check of messages against its durable contents."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from plantainstand_consensus import (
    Entry,
    HardState,
    Log,
    Message,
    Node,
    Snapshot,
    TruncateEntries,
    Write,
    WriteEntries,
    WriteHardState,
    WriteSnapshot,
)
from plantainstand_consensus._messages import (
    AppendReply,
    JoinReply,
    JoinRequest,
    VoteReply,
    VoteRequest,
)


@dataclass
class SimulatedDisk:
    """Durable contents of a data folder."""

    node: Node
    hard_state: HardState = HardState()
    entries: list[Entry] = field(default_factory=list)
    snapshot: Snapshot | None = None

    def perform(self, write: Write) -> None:
        """Execute one write."""
        match write:
            case WriteHardState(hard_state):
                self.hard_state = hard_state
            case WriteEntries(entries):
                self._append(entries)
            case TruncateEntries(first_index):
                self._keep(lambda index: index < first_index)
            case WriteSnapshot(snapshot, through, replaces_log):
                self.snapshot = snapshot
                self._keep(lambda index: index > through and not replaces_log)

    @property
    def last_index(self) -> int:
        """Newest durable index."""
        snapshot_index = self.snapshot.index if self.snapshot else 0
        entry_index = self.entries[-1].index if self.entries else 0
        return max(snapshot_index, entry_index)

    def has_entry(self, index: int, term: int) -> bool:
        """Return whether an entry is durable on this disk."""
        if self.snapshot is not None and self.snapshot.index >= index:
            return True
        return any(
            entry.index == index and entry.term == term
            for entry in self.entries
        )

    def load_log(self) -> Log:
        """Return the log that a restarted process loads."""
        return Log(self.snapshot, self.entries)

    def _append(self, entries: Sequence[Entry]) -> None:
        last = self.entries[-1].index if self.entries else None
        if last is not None and entries[0].index != last + 1:
            raise AssertionError('entries are written with a gap')
        self.entries.extend(entries)

    def _keep(self, is_kept: Callable[[int], bool]) -> None:
        self.entries = [entry for entry in self.entries if is_kept(entry.index)]


def check_durable_claims(disk: SimulatedDisk, message: Message) -> None:
    """Fail if a message depends on state that is not yet durable.

    A crash of the sender would undo such state.
    """
    match message:
        case JoinReply() | JoinRequest():
            return
        case AppendReply(accepted=True):
            _require(message.match_index <= disk.last_index, disk, message)
        case VoteReply(granted=True, preliminary=False):
            _require(disk.hard_state.vote is not None, disk, message)
    preliminary = isinstance(message, VoteRequest) and message.preliminary
    durable_term = disk.hard_state.term + preliminary
    _require(message.term <= durable_term, disk, message)


def _require(condition: bool, disk: SimulatedDisk, message: Message) -> None:
    if not condition:
        raise AssertionError(f'{disk.node} sends {message} before its sync')
