"""What a leader knows about another replica."""

from dataclasses import dataclass
from datetime import timedelta

from plantainstand_consensus._entries import Node, Snapshot


@dataclass
class Progress:
    """State of replication to one node."""

    node: Node
    next_index: int
    """Next entry to send."""

    match_index: int = 0
    """Last entry known to be durable there."""

    contact: timedelta | None = None
    """Send time, on the leader's clock, of the newest answered message."""

    round_number: int = 0
    """Newest read barrier round that was answered."""

    probing: bool = True
    """Whether it is unknown where the logs agree; one message at a time."""

    probe_end: int | None = None
    """Next index after the unanswered probe, if there is one."""

    snapshot: Snapshot | None = None
    """Snapshot that is being sent."""

    snapshot_offset: int = 0
    """Bytes of it that have arrived."""

    def heard(self, sent_at: timedelta, round_number: int) -> None:
        """Note an answer to a message sent at ``sent_at``."""
        if self.contact is None or sent_at > self.contact:
            self.contact = sent_at
        self.round_number = max(self.round_number, round_number)

    def in_contact_since(self, instant: timedelta) -> bool:
        """Tell whether a message sent at or after ``instant`` was answered."""
        return self.contact is not None and self.contact >= instant

    def can_send(self, last_index: int, window: int) -> bool:
        """Tell whether there are entries to send and room for them."""
        if self.snapshot is not None or self.next_index > last_index:
            return False
        if self.probing:
            return self.probe_end is None
        return self.next_index - self.match_index <= window

    def sent(self, entry_count: int) -> None:
        """Note that entries were sent; they are assumed to arrive."""
        if self.probing:
            self.probe_end = self.next_index + entry_count
        else:
            self.next_index += entry_count

    def acknowledged(self, match_index: int) -> None:
        """Note that entries through ``match_index`` are durable there."""
        self.match_index = max(self.match_index, match_index)
        # The probe agreed, so what it carried need not be sent again.
        agreed = self.probe_end or 0
        self.next_index = max(self.next_index, self.match_index + 1, agreed)
        if self.snapshot is None:
            self.probing = False
            self.probe_end = None
        elif self.match_index >= self.snapshot.index:
            self.snapshot = None

    def refused(self, next_index: int) -> None:
        """Continue at ``next_index``, where the replica says it agrees."""
        if self.probing and next_index == self.next_index:
            # Repeated by the next heartbeat if it was lost.
            return
        self.next_index = next_index
        self.probing = True
        self.probe_end = None
