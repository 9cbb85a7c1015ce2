"""Leader's record of the replication to another replica."""

from dataclasses import dataclass
from datetime import timedelta

from plantainstand_consensus._entries import Node, Snapshot


@dataclass
class Progress:
    """Replication state of one node."""

    node: Node
    next_index: int
    """Next entry to send."""

    match_index: int = 0
    """Last entry known to be durable on the node."""

    last_contact: timedelta | None = None
    """Send time, by the leader's clock, of the newest message answered."""

    round_number: int = 0
    """Newest read barrier round answered."""

    has_caught_up: bool = False
    """Whether its newest answer shows that the learner keeps up."""

    probing: bool = True
    """Whether the last matching index is unknown. Entries are then sent in one
    message at a time."""

    probe_end: int | None = None
    """Index after the last entry of the unanswered probe, if there is one."""

    snapshot: Snapshot | None = None
    """Snapshot that is being sent, if any."""

    snapshot_offset: int = 0
    """Number of bytes of the snapshot that have arrived."""

    snapshot_sent: int = 0
    """Number of bytes of the snapshot that were sent."""

    snapshot_mark: int = 0
    """``snapshot_offset`` at the last heartbeat."""

    def begin_snapshot(self, snapshot: Snapshot) -> None:
        """Start to send a snapshot."""
        self.snapshot = snapshot
        self.snapshot_offset = 0
        self.snapshot_sent = 0
        self.snapshot_mark = -1

    def has_stalled_snapshot(self) -> bool:
        """Return whether nothing has arrived since the last call."""
        has_stalled = self.snapshot_offset == self.snapshot_mark
        self.snapshot_mark = self.snapshot_offset
        return has_stalled

    def record_contact(self, sent_at: timedelta, round_number: int) -> None:
        """Record the answer to a message sent at ``sent_at``."""
        if self.last_contact is None or sent_at > self.last_contact:
            self.last_contact = sent_at
        self.round_number = max(self.round_number, round_number)

    def in_contact_since(self, instant: timedelta) -> bool:
        """Return whether a message sent since ``instant`` was answered."""
        return self.last_contact is not None and self.last_contact >= instant

    def can_send(self, last_index: int, window: int) -> bool:
        """Return whether entries can be sent within the window.

        ``window`` is the maximum number of unacknowledged entries.
        """
        if self.snapshot is not None or self.next_index > last_index:
            return False
        if self.probing:
            return self.probe_end is None
        return self.next_index - self.match_index <= window

    def record_sent(self, entry_count: int) -> None:
        """Record that entries were sent.

        Unless probing, they are assumed to arrive.
        """
        if self.probing:
            self.probe_end = self.next_index + entry_count
        else:
            self.next_index += entry_count

    def record_acknowledgement(self, match_index: int) -> None:
        """Record that entries through ``match_index`` are durable."""
        self.match_index = max(self.match_index, match_index)
        # The accepted probe need not be sent again.
        accepted_end = self.probe_end or 0
        self.next_index = max(
            self.next_index, self.match_index + 1, accepted_end
        )
        if self.snapshot is None:
            self.probing = False
            self.probe_end = None
        elif self.match_index >= self.snapshot.index:
            self.snapshot = None

    def record_rejection(self, next_index: int) -> None:
        """Continue at ``next_index``, which the replica suggested."""
        if self.probing and next_index == self.next_index:
            # If the probe was lost, the next heartbeat repeats it.
            return
        self.next_index = next_index
        self.probing = True
        self.probe_end = None
