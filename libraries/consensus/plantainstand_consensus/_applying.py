"""Application of committed entries to the state machine."""

from plantainstand_core import LogIndex

from plantainstand_consensus._core import ReplicaCore
from plantainstand_consensus._effects import Effects
from plantainstand_consensus._entries import Command, Entry
from plantainstand_consensus._interfaces import ReplicaOptions, StateMachine
from plantainstand_consensus._problems import NotLeader
from plantainstand_consensus._waiting import PendingCalls


class Applier:
    """Applies committed entries and takes snapshots of the state machine."""

    def __init__(
        self,
        core: ReplicaCore,
        state_machine: StateMachine,
        pending_calls: PendingCalls,
        options: ReplicaOptions,
    ):
        """Restore the state machine from the stored snapshot."""
        self._core = core
        self._state_machine = state_machine
        self._pending_calls = pending_calls
        self._options = options
        snapshot = core.state.log.snapshot
        if snapshot is not None:
            state_machine.restore(snapshot.payload)

    def apply(self, effects: Effects) -> bool:
        """Apply a batch; return whether more effects are ready."""
        state = self._core.state
        if effects.restore is not None:
            self._state_machine.restore(effects.restore.payload)
            self._pending_calls.time_out_through(effects.restore.index)
        for entry in effects.committed:
            self._apply_entry(entry)
        compacted = self._compact_if_due()
        if effects.restore is not None or effects.committed:
            self._pending_calls.applied.notify()
        applied_index = LogIndex(state.delivered_index)
        self._pending_calls.complete_reads(self._core.leadership, applied_index)
        return compacted or state.commit_index > state.delivered_index

    def _apply_entry(self, entry: Entry) -> None:
        outcome = b''
        if isinstance(entry.body, Command):
            index = LogIndex(entry.index)
            outcome = self._state_machine.apply(index, entry.body.payload)
        replaced = NotLeader(self._core.state.leader)
        self._pending_calls.complete_proposal(entry, outcome, replaced)

    def _compact_if_due(self) -> bool:
        if not self._is_snapshot_due():
            return False
        self._core.compact(
            self._state_machine.snapshot(),
            self._options.retained_entries,
        )
        return True

    def _is_snapshot_due(self) -> bool:
        state = self._core.state
        log = state.log
        snapshot_index = log.snapshot.index if log.snapshot else 0
        snapshot_bytes = len(log.snapshot.payload) if log.snapshot else 0
        # A disk that hangs must not collect one snapshot after the other.
        if state.outbox.has_unsynced_snapshot:
            return False
        applied_bytes = log.size_between(snapshot_index, state.delivered_index)
        return (
            state.delivered_index - snapshot_index
            >= self._options.snapshot_interval_entries
            or applied_bytes
            >= max(self._options.limits.snapshot_interval_bytes, snapshot_bytes)
        )
