"""Protocol of the leader."""

from collections.abc import Collection
from datetime import timedelta

from plantainstand_core import VmId

from plantainstand_consensus._effects import WriteEntries
from plantainstand_consensus._entries import (
    Body,
    Configuration,
    Entry,
    Node,
    NoOperation,
)
from plantainstand_consensus._membership import next_configuration
from plantainstand_consensus._messages import AppendReply, SnapshotReply
from plantainstand_consensus._replica_table import ReplicaTable
from plantainstand_consensus._replication import MICROSECOND, Replication
from plantainstand_consensus._state import (
    HEARTBEAT_INTERVAL,
    QUORUM_CONTACT_TIMEOUT,
    CoreState,
)


class Leadership:
    """State of a leader during one term."""

    def __init__(self, state: CoreState):
        """Start to lead after a won election."""
        self.term = state.term
        self._state = state
        self._elected_at = state.now
        self._first_index = state.log.last_index + 1
        self._replication = Replication(state)
        self._replicas = ReplicaTable(state)
        self._heartbeat_due = state.now
        self._sent_commit_index = 0
        self.append(NoOperation())

    @property
    def replicas(self) -> ReplicaTable:
        """Replicas that get the log from this leader."""
        return self._replicas

    @property
    def accepts_requests(self) -> bool:
        """Whether proposals and reads are accepted.

        Before all founding members are voters, the cluster has too few disks
        to survive the loss of one.
        """
        return self._state.log.configuration.formed

    @property
    def allows_voter_change(self) -> bool:
        """Whether a voter change may start.

        Only one change is uncommitted at a time, and only after an entry of
        this term is committed. Otherwise two leaders could use voter sets that
        differ in two voters and may have disjoint majorities.
        """
        pending = max(self._state.log.configuration_index, self._first_index)
        return self._state.commit_index >= pending

    @property
    def read_index(self) -> int:
        """Index that must be applied before a confirmed read is current."""
        return max(self._state.commit_index, self._first_index)

    def append(self, body: Body) -> int:
        """Append an entry, which the next :meth:`flush` sends.

        Return its index.
        """
        log = self._state.log
        entry = Entry(log.last_index + 1, self.term, body)
        log.append((entry,))
        self._state.outbox.write(WriteEntries((entry,)))
        if isinstance(body, Configuration):
            self._replicas.apply(body)
        return entry.index

    def has_quorum_contact(self, now: timedelta) -> bool:
        """Return whether a majority answered within the contact timeout."""
        return self._reaches_quorum(
            self._replicas.reachable(now - QUORUM_CONTACT_TIMEOUT)
        )

    def start_round(self) -> int:
        """Start a read barrier round and return its number.

        The next :meth:`flush` sends it with heartbeats.
        """
        self._replication.round_number += 1
        self._heartbeat_due = self._state.now
        return self._replication.round_number

    def is_round_confirmed(self, round_number: int) -> bool:
        """Return whether a majority answered a read barrier round."""
        answered = {
            progress.node
            for progress in self._replicas
            if progress.round_number >= round_number
        }
        return self._reaches_quorum(answered)

    def on_reply(
        self,
        source: VmId,
        reply: AppendReply | SnapshotReply,
    ) -> None:
        """Process the reply of a voter or learner."""
        progress = self._replicas.find(Node(source, reply.source_disk))
        if progress is None:
            return
        if reply.term > self.term:
            self._state.become_follower(reply.term, None)
        if reply.term != self.term:
            return
        progress.record_contact(
            reply.sent_at_us * MICROSECOND, reply.round_number
        )
        if isinstance(reply, SnapshotReply):
            self._replication.on_snapshot_reply(progress, reply)
        else:
            self._replication.on_append_reply(progress, reply)
            self._replicas.record_acknowledgement(
                progress, reply.sent_at_us * MICROSECOND
            )
            self.advance()

    def tick(self) -> None:
        """Step down without contact to a majority, otherwise advance."""
        now = self._state.now
        is_contact_due = now - self._elected_at >= QUORUM_CONTACT_TIMEOUT
        if is_contact_due and not self.has_quorum_contact(now):
            self._state.become_follower(self.term, None)
            return
        self.advance()

    def advance(self) -> None:
        """Commit what a majority has, then start a voter change if due."""
        state = self._state
        index = self._replicas.majority_index()
        # Only entries of this term are committed by counting replicas. An
        # older entry on a majority can still be replaced by a later leader.
        if index > state.commit_index and state.log.term_at(index) == self.term:
            state.commit_index = index
            self._replicas.record_commit()
            # A voter set counts from the next step on: what is committed now
            # is on a majority of this one, maybe not of one with a new disk.
            return
        if not self.allows_voter_change:
            return
        if state.node not in state.log.configuration.voters:
            state.become_follower(self.term, None)
            return
        new_configuration = self._next_configuration()
        if new_configuration is not None:
            self.append(new_configuration)

    def flush(self) -> None:
        """Send new entries, commit indexes and heartbeats."""
        now = self._state.now
        self._replicas.refresh()
        is_heartbeat_due = now >= self._heartbeat_due
        has_new_commit = self._state.commit_index > self._sent_commit_index
        self._sent_commit_index = self._state.commit_index
        for progress in self._replicas:
            previous_next_index = progress.next_index
            self._replication.send_new(progress)
            nothing_sent = progress.next_index == previous_next_index
            if is_heartbeat_due or (
                has_new_commit and nothing_sent and not progress.probing
            ):
                self._replication.send_heartbeat(progress)
        if is_heartbeat_due:
            self._heartbeat_due = now + HEARTBEAT_INTERVAL

    def _next_configuration(self) -> Configuration | None:
        state = self._state
        reachable = self._replicas.reachable(state.now - QUORUM_CONTACT_TIMEOUT)
        caught_up = self._replicas.caught_up_learners(
            state.now - QUORUM_CONTACT_TIMEOUT
        )
        new_configuration = next_configuration(
            state.log.configuration,
            state.node,
            caught_up,
            reachable,
        )
        # A set without a reachable majority could never be changed again if
        # one of its disks is lost.
        present = {state.node, *reachable}
        if new_configuration is None or not new_configuration.has_majority(
            present
        ):
            return None
        return new_configuration

    def _reaches_quorum(self, nodes: Collection[Node]) -> bool:
        present = {self._state.node, *nodes}
        return self._state.log.configuration.has_majority(present)
