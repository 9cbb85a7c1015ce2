"""Replication on the receiving side."""

from collections.abc import Sequence

from plantainstand_core import VmId

from plantainstand_consensus._effects import (
    TruncateEntries,
    WriteEntries,
    WriteSnapshot,
)
from plantainstand_consensus._entries import Entry, Snapshot
from plantainstand_consensus._messages import (
    AppendReply,
    AppendRequest,
    SnapshotChunk,
    SnapshotReply,
)
from plantainstand_consensus._state import CoreState, InvariantError, Role


class Following:
    """Receives the log as a follower or learner."""

    def __init__(self, state: CoreState):
        """Work on the replica's state."""
        self._state = state
        self._matched_term = 0
        self._matched = 0
        self._acknowledged = 0
        self._sent_at_us = 0
        self._round_number = 0
        self._snapshot_key = (0, 0)
        self._snapshot_parts = bytearray()
        self.installed_snapshot: Snapshot | None = None

    def on_append(self, source: VmId, request: AppendRequest) -> None:
        """Append the entries that follow the log, and reply."""
        if not self._accept_leader(source, request):
            return
        request = self._without_compacted(request)
        known_term = self._state.log.term_at(request.previous_index)
        if known_term != request.previous_term:
            self._reject(source, request.previous_index)
            return
        self._append_entries(request.entries)
        matched = request.previous_index + len(request.entries)
        self._matched = max(self._matched, matched)
        self._commit_through(min(request.commit_index, matched))
        self._acknowledge(source)

    def on_chunk(self, source: VmId, chunk: SnapshotChunk) -> None:
        """Collect the chunks of a snapshot and install it when complete."""
        if not self._accept_leader(source, chunk):
            return
        if chunk.index <= self._state.commit_index:
            self._matched = max(self._matched, chunk.index)
            self._acknowledge(source)
            return
        key = (chunk.term, chunk.index)
        if self._snapshot_key != key:
            self._snapshot_key = key
            self._snapshot_parts.clear()
        if chunk.offset == len(self._snapshot_parts):
            self._snapshot_parts.extend(chunk.part)
        if len(self._snapshot_parts) == chunk.total:
            self._install(chunk)
            self._acknowledge(source)
            return
        self._state.outbox.send(source, self._snapshot_reply(chunk))

    def after_sync(self) -> None:
        """Acknowledge to the leader what has become durable."""
        state = self._state
        following = state.role != Role.LEADER and state.leader is not None
        if following and self._matched_term == state.term:
            if self._durable_match() > self._acknowledged:
                self._acknowledge(state.leader)

    def _accept_leader(
        self,
        source: VmId,
        message: AppendRequest | SnapshotChunk,
    ) -> bool:
        state = self._state
        if message.destination_disk != state.node.disk:
            # The message is for a lost disk of this VM. It does not count as a
            # contact with the leader, so this disk continues to send join
            # requests for its repair.
            return False
        if message.term < state.term:
            reply = self._append_reply(accepted=False, next_hint=0)
            state.outbox.send(source, reply)
            return False
        state.record_leader_contact(message.term, source)
        if self._matched_term != message.term:
            # What matched an earlier leader's log may not match this one's.
            self._matched_term = message.term
            self._matched = 0
            self._acknowledged = 0
        self._sent_at_us = message.sent_at_us
        self._round_number = message.round_number
        return True

    def _without_compacted(self, request: AppendRequest) -> AppendRequest:
        # Compacted entries are committed, so they match the leader's log.
        log = self._state.log
        skipped = log.base_index - request.previous_index
        if skipped <= 0:
            return request
        return AppendRequest(
            source_disk=request.source_disk,
            destination_disk=request.destination_disk,
            term=request.term,
            previous_index=log.base_index,
            previous_term=log.base_term,
            entries=request.entries[skipped:],
            commit_index=request.commit_index,
            sent_at_us=request.sent_at_us,
            round_number=request.round_number,
        )

    def _append_entries(self, entries: Sequence[Entry]) -> None:
        log = self._state.log
        for position, entry in enumerate(entries):
            known_term = log.term_at(entry.index)
            if known_term == entry.term:
                continue
            if known_term is not None:
                self._truncate_from(entry.index)
            log.append(entries[position:])
            self._state.outbox.write(WriteEntries(entries[position:]))
            return

    def _truncate_from(self, index: int) -> None:
        state = self._state
        if index <= state.commit_index:
            raise InvariantError(f'committed entry {index} would be replaced')
        state.log.truncate_from(index)
        state.outbox.write(TruncateEntries(index))

    def _commit_through(self, index: int) -> None:
        state = self._state
        state.commit_index = max(state.commit_index, index)

    def _install(self, chunk: SnapshotChunk) -> None:
        state = self._state
        snapshot = Snapshot(
            chunk.index,
            chunk.index_term,
            chunk.configuration,
            bytes(self._snapshot_parts),
        )
        self._snapshot_parts.clear()
        self._snapshot_key = (0, 0)
        self._matched = max(self._matched, chunk.index)
        if state.log.term_at(chunk.index) != chunk.index_term:
            state.log.reset(snapshot)
            state.outbox.replace_log(
                WriteSnapshot(snapshot, snapshot.index, replaces_log=True),
            )
            state.delivered_index = chunk.index
            self.installed_snapshot = snapshot
        state.commit_index = chunk.index

    def _reject(self, source: VmId, previous_index: int) -> None:
        state = self._state
        hint = min(previous_index, state.log.last_index + 1)
        conflicting_term = state.log.term_at(previous_index)
        # The hint skips the whole conflicting term, which saves round trips.
        while conflicting_term is not None and hint > state.commit_index + 1:
            if state.log.term_at(hint - 1) != conflicting_term:
                break
            hint -= 1
        reply = self._append_reply(accepted=False, next_hint=hint)
        state.outbox.send(source, reply)

    def _acknowledge(self, destination: VmId | None) -> None:
        if destination is not None:
            self._acknowledged = self._durable_match()
            reply = self._append_reply(accepted=True, next_hint=0)
            self._state.outbox.send(destination, reply)

    def _durable_match(self) -> int:
        return min(self._matched, self._state.outbox.durable_index)

    def _append_reply(self, *, accepted: bool, next_hint: int) -> AppendReply:
        return AppendReply(
            source_disk=self._state.node.disk,
            term=self._state.term,
            accepted=accepted,
            match_index=self._durable_match() if accepted else 0,
            next_hint=next_hint,
            sent_at_us=self._sent_at_us,
            round_number=self._round_number,
        )

    def _snapshot_reply(self, chunk: SnapshotChunk) -> SnapshotReply:
        return SnapshotReply(
            source_disk=self._state.node.disk,
            term=self._state.term,
            index=chunk.index,
            received=len(self._snapshot_parts),
            sent_at_us=chunk.sent_at_us,
            round_number=chunk.round_number,
        )
