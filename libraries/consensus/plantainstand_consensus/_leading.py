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
from plantainstand_consensus._progress import Progress
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
        self._progress: dict[Node, Progress] = {}
        self._learners: set[Node] = set()
        self._heartbeat_due = state.now
        self._sent_commit_index = 0
        self.append(NoOperation())

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
            self._learners.difference_update(body.voters)
        return entry.index

    def add_learner(self, node: Node) -> None:
        """Start to send the log to a disk that is to become a voter.

        The disk replaces other learners on its VM. It is ignored if its VM is
        not a member.
        """
        configuration = self._state.log.configuration
        is_known = node in configuration.voters or node in self._learners
        is_own_vm = node.vm == self._state.node.vm
        if is_known or is_own_vm or node.vm not in configuration.members:
            return
        self._learners = {
            learner for learner in self._learners if learner.vm != node.vm
        }
        self._learners.add(node)

    def has_quorum_contact(self, now: timedelta) -> bool:
        """Return whether a majority answered within the contact timeout."""
        return self._reaches_quorum(
            self._reachable(now - QUORUM_CONTACT_TIMEOUT)
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
            node
            for node, progress in self._progress.items()
            if progress.round_number >= round_number
        }
        return self._reaches_quorum(answered)

    def on_reply(
        self,
        source: VmId,
        reply: AppendReply | SnapshotReply,
    ) -> None:
        """Process the reply of a voter or learner."""
        progress = self._progress.get(Node(source, reply.source_disk))
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
        index = self._majority_index()
        # Only entries of this term are committed by counting replicas. An
        # older entry on a majority can still be replaced by a later leader.
        if index > state.commit_index and state.log.term_at(index) == self.term:
            state.commit_index = index
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
        self._refresh_progress()
        is_heartbeat_due = now >= self._heartbeat_due
        has_new_commit = self._state.commit_index > self._sent_commit_index
        self._sent_commit_index = self._state.commit_index
        for progress in self._progress.values():
            previous_next_index = progress.next_index
            self._replication.send_new(progress)
            nothing_sent = progress.next_index == previous_next_index
            if is_heartbeat_due or (
                has_new_commit and nothing_sent and not progress.probing
            ):
                self._replication.send_heartbeat(progress)
        if is_heartbeat_due:
            self._heartbeat_due = now + HEARTBEAT_INTERVAL

    def _refresh_progress(self) -> None:
        configuration = self._state.log.configuration
        wanted = {*configuration.voters, *self._learners} - {self._state.node}
        next_index = self._state.log.last_index + 1
        self._progress = {
            node: self._progress.get(node) or Progress(node, next_index)
            for node in sorted(wanted)
        }

    def _next_configuration(self) -> Configuration | None:
        state = self._state
        reachable = self._reachable(state.now - QUORUM_CONTACT_TIMEOUT)
        caught_up = [
            node
            for node in self._learners & reachable
            if self._progress[node].match_index >= state.commit_index
        ]
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

    def _majority_index(self) -> int:
        state = self._state
        matches = [
            progress.match_index
            for node, progress in self._progress.items()
            if node in state.log.configuration.voters
        ]
        if state.is_voter:
            matches.append(state.outbox.durable_index)
        quorum = state.log.configuration.quorum
        if len(matches) < quorum:
            return 0
        return sorted(matches, reverse=True)[quorum - 1]

    def _reachable(self, since: timedelta) -> set[Node]:
        return {
            node
            for node, progress in self._progress.items()
            if progress.in_contact_since(since)
        }

    def _reaches_quorum(self, nodes: Collection[Node]) -> bool:
        present = {self._state.node, *nodes}
        return self._state.log.configuration.has_majority(present)
