"""Replication on the sending side."""

from datetime import timedelta

from plantainstand_consensus._entries import Snapshot
from plantainstand_consensus._messages import (
    AppendReply,
    AppendRequest,
    SnapshotChunk,
    SnapshotReply,
)
from plantainstand_consensus._progress import Progress
from plantainstand_consensus._state import CoreState

MICROSECOND = timedelta(microseconds=1)

MAX_ENTRIES_PER_MESSAGE = 512
MAX_BYTES_PER_MESSAGE = 262_144
"""Far below the limit of gRPC for a message, 4 MiB."""

MAX_UNACKNOWLEDGED_ENTRIES = 4096
"""Limits the entries in the leader's send queue for a slow replica, beside the
limit on their bytes."""

SNAPSHOT_CHUNK_BYTES = 131_072

MAX_UNACKNOWLEDGED_CHUNKS = 8
"""Chunks sent to one replica without an answer: 1 MiB, so 10 MiB per second at
a round trip of 100 ms."""


class Replication:
    """Sends entries, heartbeats and snapshot chunks of a leader."""

    def __init__(self, state: CoreState):
        """Work on the replica's state."""
        self._state = state
        self.round_number = 0
        """Newest read barrier round."""

    def send_new(self, progress: Progress) -> None:
        """Send entries that were not sent yet, within the window."""
        while self._may_send(progress):
            if not self._send_entries(progress, MAX_ENTRIES_PER_MESSAGE):
                return

    def send_heartbeat(self, progress: Progress) -> None:
        """Send a message that repeats what may have been lost."""
        if progress.snapshot is None:
            max_entries = MAX_ENTRIES_PER_MESSAGE if progress.probing else 0
            self._send_entries(progress, max_entries)
        elif progress.has_stalled_snapshot():
            # Only the first missing chunk: the others may still be on the way.
            progress.snapshot_sent = progress.snapshot_offset
            self._send_chunk(progress, progress.snapshot)

    def on_append_reply(self, progress: Progress, reply: AppendReply) -> None:
        """Record what a replica has, and send what follows."""
        if reply.accepted:
            progress.record_acknowledgement(reply.match_index)
        elif progress.snapshot is None:
            hint = min(reply.next_hint, self._state.log.last_index + 1)
            progress.record_rejection(max(hint, 1))
        self.send_new(progress)

    def on_snapshot_reply(
        self,
        progress: Progress,
        reply: SnapshotReply,
    ) -> None:
        """Send the next chunks of the snapshot, within the window."""
        snapshot = progress.snapshot
        if snapshot is None or snapshot.index != reply.index:
            return
        if reply.received == progress.snapshot_offset:
            return
        # A replica that has started again has received less than before.
        is_behind = reply.received < progress.snapshot_offset
        progress.snapshot_offset = reply.received
        if is_behind or progress.snapshot_sent < reply.received:
            progress.snapshot_sent = reply.received
        window_end = min(
            reply.received + MAX_UNACKNOWLEDGED_CHUNKS * SNAPSHOT_CHUNK_BYTES,
            len(snapshot.payload),
        )
        while progress.snapshot_sent < window_end:
            self._send_chunk(progress, snapshot)

    def _may_send(self, progress: Progress) -> bool:
        log = self._state.log
        if not progress.can_send(log.last_index, MAX_UNACKNOWLEDGED_ENTRIES):
            return False
        last_sent = progress.next_index - 1
        unacknowledged_bytes = log.size_between(progress.match_index, last_sent)
        limit = self._state.limits.unacknowledged_bytes
        return progress.probing or unacknowledged_bytes < limit

    def _send_entries(self, progress: Progress, max_entries: int) -> bool:
        log = self._state.log
        previous_index = progress.next_index - 1
        previous_term = log.term_at(previous_index)
        if previous_term is None:
            self._start_snapshot(progress)
            return False
        entries = log.entries(
            progress.next_index,
            max_entries,
            MAX_BYTES_PER_MESSAGE,
        )
        request = AppendRequest(
            source_disk=self._state.node.disk,
            destination_disk=progress.node.disk,
            term=self._state.term,
            previous_index=previous_index,
            previous_term=previous_term,
            entries=entries,
            commit_index=self._state.commit_index,
            sent_at_us=self._state.now // MICROSECOND,
            round_number=self.round_number,
        )
        self._state.outbox.send(progress.node.vm, request)
        progress.record_sent(len(entries))
        return bool(entries)

    def _start_snapshot(self, progress: Progress) -> None:
        snapshot = self._state.log.snapshot
        if snapshot is not None:
            progress.begin_snapshot(snapshot)
            self._send_chunk(progress, snapshot)

    def _send_chunk(self, progress: Progress, snapshot: Snapshot) -> None:
        start = progress.snapshot_sent
        chunk = SnapshotChunk(
            source_disk=self._state.node.disk,
            destination_disk=progress.node.disk,
            term=self._state.term,
            index=snapshot.index,
            index_term=snapshot.term,
            configuration=snapshot.configuration,
            offset=start,
            total=len(snapshot.payload),
            part=snapshot.payload[start : start + SNAPSHOT_CHUNK_BYTES],
            sent_at_us=self._state.now // MICROSECOND,
            round_number=self.round_number,
        )
        progress.snapshot_sent = start + len(chunk.part)
        self._state.outbox.send(progress.node.vm, chunk)
