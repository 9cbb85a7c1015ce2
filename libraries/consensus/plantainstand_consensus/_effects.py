"""What the core asks its surroundings to do."""

from collections.abc import Sequence
from dataclasses import dataclass, field

from plantainstand_core import VmId

from plantainstand_consensus._entries import Entry, HardState, Snapshot
from plantainstand_consensus._messages import Message


@dataclass(frozen=True)
class WriteHardState:
    """Replace the stored term and vote."""

    hard_state: HardState


@dataclass(frozen=True)
class WriteEntries:
    """Add entries to the journal."""

    entries: Sequence[Entry]


@dataclass(frozen=True)
class TruncateEntries:
    """Remove the entries from an index on."""

    first_index: int


@dataclass(frozen=True)
class WriteSnapshot:
    """Store a snapshot, then drop journal entries."""

    snapshot: Snapshot
    discard_through: int
    """Last index that may be dropped from the journal."""

    replaces_log: bool
    """Whether the journal does not agree with the snapshot."""


Write = WriteHardState | WriteEntries | TruncateEntries | WriteSnapshot
Outgoing = tuple[VmId, Message]


@dataclass
class Effects:
    """One batch, in the order in which it must be carried out.

    The messages may be sent at once. The writes are done in order and synced;
    then the held messages are sent and the core's ``synced`` is called with
    the sequence number. Batches are written in the order of their numbers.
    """

    sequence: int = 0
    messages: list[Outgoing] = field(default_factory=list)
    writes: list[Write] = field(default_factory=list)
    held_messages: list[Outgoing] = field(default_factory=list)
    restore: Snapshot | None = None
    """State to restore before the committed entries are applied."""

    committed: Sequence[Entry] = ()
    """Entries to apply, in order."""


class Outbox:
    """Collects effects and tracks what is durable.

    A message reveals the sender's term, and its log at least as far as the
    message says, so it leaves only when these are durable.
    """

    def __init__(self, durable_index: int):
        """Start with all entries through ``durable_index`` on disk."""
        self.durable_index = durable_index
        self._effects = Effects()
        self._sequence = 0
        self._unsynced_hard_state = 0
        self._in_flight: list[tuple[int, int]] = []

    def send(self, destination: VmId, message: Message) -> None:
        """Send now, or after the term and vote are durable."""
        outgoing = (destination, message)
        if self._unsynced_hard_state:
            self._effects.held_messages.append(outgoing)
        else:
            self._effects.messages.append(outgoing)

    def write(self, write: Write) -> None:
        """Add a write to the batch."""
        self._effects.writes.append(write)
        if isinstance(write, WriteHardState):
            self._unsynced_hard_state = self._sequence + 1
        if isinstance(write, TruncateEntries):
            self._forget_from(write.first_index)

    def replace_log(self, write: WriteSnapshot) -> None:
        """Add a write after which the disk holds the snapshot only."""
        self._forget_from(0)
        self.write(write)

    def take(self, last_index: int) -> Effects:
        """Close the batch; ``last_index`` is the log's after its writes."""
        effects = self._effects
        self._effects = Effects()
        if effects.writes or effects.held_messages:
            self._sequence += 1
            effects.sequence = self._sequence
            self._in_flight.append((self._sequence, last_index))
        return effects

    def synced(self, sequence: int) -> None:
        """Note that all batches through ``sequence`` are durable."""
        while self._in_flight and self._in_flight[0][0] <= sequence:
            _sequence, last_index = self._in_flight.pop(0)
            self.durable_index = max(self.durable_index, last_index)
        if sequence >= self._unsynced_hard_state:
            self._unsynced_hard_state = 0

    def _forget_from(self, index: int) -> None:
        # Batches in flight may hold entries that are removed after them.
        kept = max(index - 1, 0)
        self.durable_index = min(self.durable_index, kept)
        self._in_flight = [
            (sequence, min(last_index, kept))
            for sequence, last_index in self._in_flight
        ]
