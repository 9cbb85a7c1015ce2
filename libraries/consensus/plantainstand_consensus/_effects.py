"""Side effects that the core requests, as it does no I/O itself."""

from collections.abc import Sequence
from dataclasses import dataclass, field

from plantainstand_core import VmId

from plantainstand_consensus._entries import Entry, HardState, Snapshot
from plantainstand_consensus._messages import Message


@dataclass(frozen=True)
class WriteHardState:
    """Replaces the stored term and vote."""

    hard_state: HardState


@dataclass(frozen=True)
class WriteEntries:
    """Appends entries to the journal."""

    entries: Sequence[Entry]


@dataclass(frozen=True)
class TruncateEntries:
    """Removes all entries from ``first_index`` on."""

    first_index: int


@dataclass(frozen=True)
class WriteSnapshot:
    """Stores a snapshot, then removes journal entries."""

    snapshot: Snapshot
    discard_through: int
    """Last index that may be removed from the journal."""

    replaces_log: bool
    """Whether all journal entries are removed, as they conflict with the
    snapshot."""


Write = WriteHardState | WriteEntries | TruncateEntries | WriteSnapshot
Outgoing = tuple[VmId, Message]


@dataclass
class Effects:
    """One batch of effects, to be executed in the order of its fields.

    ``messages`` may be sent immediately. ``writes`` are executed in order and
    synced; then ``messages_after_sync`` are sent and
    ``ReplicaCore.record_synced`` is called with the sequence number. Batches
    are written in the order of their sequence numbers. A batch with neither
    has the sequence number 0 and needs no sync.
    """

    sequence: int = 0
    messages: list[Outgoing] = field(default_factory=list)
    writes: list[Write] = field(default_factory=list)
    messages_after_sync: list[Outgoing] = field(default_factory=list)
    restore: Snapshot | None = None
    """State to restore before the committed entries are applied."""

    committed: Sequence[Entry] = ()
    """Entries to apply, in order."""


class Outbox:
    """Collects effects and tracks which entries are durable.

    A message tells its receiver the sender's term and a part of its log. It is
    sent only when these are durable, since a crash could undo them otherwise.
    """

    def __init__(self, durable_index: int):
        """Start with all entries through ``durable_index`` durable."""
        self.durable_index = durable_index
        self._effects = Effects()
        self._sequence = 0
        self._unsynced_hard_state = 0
        self._unsynced_snapshot = 0
        self._unsynced_batches: list[tuple[int, int]] = []

    @property
    def has_unsynced_snapshot(self) -> bool:
        """Whether a snapshot is still to be written."""
        return bool(self._unsynced_snapshot)

    def send(self, destination: VmId, message: Message) -> None:
        """Send at once, or after the sync if term or vote are not durable."""
        outgoing = (destination, message)
        if self._unsynced_hard_state:
            self._effects.messages_after_sync.append(outgoing)
        else:
            self._effects.messages.append(outgoing)

    def write(self, write: Write) -> None:
        """Add a write to the current batch."""
        self._effects.writes.append(write)
        if isinstance(write, WriteHardState):
            self._unsynced_hard_state = self._sequence + 1
        if isinstance(write, WriteSnapshot):
            self._unsynced_snapshot = self._sequence + 1
        if isinstance(write, TruncateEntries):
            self._limit_durable_before(write.first_index)

    def replace_log(self, write: WriteSnapshot) -> None:
        """Add a write that replaces all entries by a snapshot."""
        self._limit_durable_before(0)
        self.write(write)

    def take_batch(self, last_index: int) -> Effects:
        """Return the current batch and start a new one.

        ``last_index`` is the last index of the log after the batch's writes.
        """
        effects = self._effects
        self._effects = Effects()
        if effects.writes or effects.messages_after_sync:
            self._sequence += 1
            effects.sequence = self._sequence
            self._unsynced_batches.append((self._sequence, last_index))
        return effects

    def record_synced(self, sequence: int) -> None:
        """Record that all batches through ``sequence`` are durable."""
        while (
            self._unsynced_batches and self._unsynced_batches[0][0] <= sequence
        ):
            _sequence, last_index = self._unsynced_batches.pop(0)
            self.durable_index = max(self.durable_index, last_index)
        if sequence >= self._unsynced_hard_state:
            self._unsynced_hard_state = 0
        if sequence >= self._unsynced_snapshot:
            self._unsynced_snapshot = 0

    def _limit_durable_before(self, index: int) -> None:
        # Unsynced batches may contain entries that a later write removes.
        last_kept_index = max(index - 1, 0)
        self.durable_index = min(self.durable_index, last_kept_index)
        self._unsynced_batches = [
            (sequence, min(last_index, last_kept_index))
            for sequence, last_index in self._unsynced_batches
        ]
