"""Sending the log from the leader to other replicas."""

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
"""Well under the 4 MiB that gRPC accepts in a message."""

MAX_UNACKNOWLEDGED_ENTRIES = 4096
"""Bounds what a slow replica can keep in the leader's send queues."""

SNAPSHOT_CHUNK_BYTES = 131_072


class Replication:
    """Sends entries, heartbeats and snapshot chunks."""

    def __init__(self, state: CoreState):
        """Work on the replica's state."""
        self._state = state
        self.round_number = 0
        """Newest read barrier round."""

    def send_new(self, progress: Progress) -> None:
        """Send the entries that were not sent yet, within the window."""
        last_index = self._state.log.last_index
        while progress.can_send(last_index, MAX_UNACKNOWLEDGED_ENTRIES):
            if not self._send_entries(progress, MAX_ENTRIES_PER_MESSAGE):
                return

    def send_heartbeat(self, progress: Progress) -> None:
        """Send a message in any case; it repeats what may have been lost."""
        if progress.snapshot is None:
            repeated = MAX_ENTRIES_PER_MESSAGE if progress.probing else 0
            self._send_entries(progress, repeated)
        else:
            self._send_chunk(progress, progress.snapshot)

    def on_append_reply(self, progress: Progress, reply: AppendReply) -> None:
        """Note what a replica holds; continue from there."""
        if reply.accepted:
            progress.acknowledged(reply.match_index)
        elif progress.snapshot is None:
            hint = min(reply.next_hint, self._state.log.last_index + 1)
            progress.refused(max(hint, 1))
        self.send_new(progress)

    def on_snapshot_reply(
        self,
        progress: Progress,
        reply: SnapshotReply,
    ) -> None:
        """Send the next part of the snapshot."""
        snapshot = progress.snapshot
        if snapshot is None or snapshot.index != reply.index:
            return
        if reply.received != progress.snapshot_offset:
            progress.snapshot_offset = reply.received
            self._send_chunk(progress, snapshot)

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
        progress.sent(len(entries))
        return bool(entries)

    def _start_snapshot(self, progress: Progress) -> None:
        snapshot = self._state.log.snapshot
        if snapshot is not None:
            progress.snapshot = snapshot
            progress.snapshot_offset = 0
            self._send_chunk(progress, snapshot)

    def _send_chunk(self, progress: Progress, snapshot: Snapshot) -> None:
        start = progress.snapshot_offset
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
        self._state.outbox.send(progress.node.vm, chunk)
