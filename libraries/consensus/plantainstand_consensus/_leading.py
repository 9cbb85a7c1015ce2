"""The leader's side of the protocol."""

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
    """One leader's term; a new object for each."""

    def __init__(self, state: CoreState):
        """Take over after a won election."""
        self.term = state.term
        self._state = state
        self._since = state.now
        self._first_index = state.log.last_index + 1
        self._replication = Replication(state)
        self._progress: dict[Node, Progress] = {}
        self._learners: set[Node] = set()
        self._heartbeat_due = state.now
        self._announced_commit = 0
        self.append(NoOperation())

    @property
    def may_serve(self) -> bool:
        """Whether proposals and reads are taken.

        An unformed cluster has too few disks to survive the loss of one.
        """
        return self._state.log.configuration.formed

    @property
    def change_allowed(self) -> bool:
        """Whether a voter change may start.

        One at a time, and only after an entry of this term is committed:
        otherwise two leaders could use sets that differ in two voters.
        """
        pending = max(self._state.log.configuration_index, self._first_index)
        return self._state.commit_index >= pending

    @property
    def read_index(self) -> int:
        """Index whose application makes a confirmed read current."""
        return max(self._state.commit_index, self._first_index)

    def append(self, body: Body) -> int:
        """Add an entry; it is sent with the next flush."""
        log = self._state.log
        entry = Entry(log.last_index + 1, self.term, body)
        log.append((entry,))
        self._state.outbox.write(WriteEntries((entry,)))
        if isinstance(body, Configuration):
            self._learners.difference_update(body.voters)
        return entry.index

    def join(self, node: Node) -> None:
        """Start to send the log to a disk that wants to become a voter."""
        configuration = self._state.log.configuration
        known = node in configuration.voters or node in self._learners
        own = node.vm == self._state.node.vm
        if known or own or node.vm not in configuration.members:
            return
        self._learners = {
            learner for learner in self._learners if learner.vm != node.vm
        }
        self._learners.add(node)

    def has_contact(self, now: timedelta) -> bool:
        """Tell whether a majority answered within the tenure."""
        return self._reaches_quorum(
            self._reachable(now - QUORUM_CONTACT_TIMEOUT)
        )

    def start_round(self) -> int:
        """Start a read barrier round; it goes out with the next flush."""
        self._replication.round_number += 1
        self._heartbeat_due = self._state.now
        return self._replication.round_number

    def confirms(self, round_number: int) -> bool:
        """Tell whether a majority answered a round."""
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
        """Take an answer of a voter or learner."""
        progress = self._progress.get(Node(source, reply.source_disk))
        if progress is None:
            return
        if reply.term > self.term:
            self._state.become_follower(reply.term, None)
        if reply.term != self.term:
            return
        progress.heard(reply.sent_at_us * MICROSECOND, reply.round_number)
        if isinstance(reply, SnapshotReply):
            self._replication.on_snapshot_reply(progress, reply)
        else:
            self._replication.on_append_reply(progress, reply)
            self.advance()

    def tick(self) -> None:
        """Step down without a majority, otherwise change voters if due."""
        now = self._state.now
        tenured = now - self._since >= QUORUM_CONTACT_TIMEOUT
        if tenured and not self.has_contact(now):
            self._state.become_follower(self.term, None)
            return
        self.advance()

    def advance(self) -> None:
        """Commit what a majority holds; then change voters if due."""
        state = self._state
        index = self._majority_index()
        # Only an entry of this term may be committed by counting: an older
        # one on a majority can still be replaced by a later leader.
        if index > state.commit_index and state.log.term_at(index) == self.term:
            state.commit_index = index
        if not self.change_allowed:
            return
        if state.node not in state.log.configuration.voters:
            state.become_follower(self.term, None)
            return
        changed = self._next_configuration()
        if changed is not None:
            self.append(changed)

    def flush(self) -> None:
        """Send new entries, commit indexes and heartbeats."""
        now = self._state.now
        self._refresh_progress()
        heartbeat = now >= self._heartbeat_due
        news = self._state.commit_index > self._announced_commit
        self._announced_commit = self._state.commit_index
        for progress in self._progress.values():
            sent_through = progress.next_index
            self._replication.send_new(progress)
            idle = progress.next_index == sent_through
            if heartbeat or (news and idle and not progress.probing):
                self._replication.send_heartbeat(progress)
        if heartbeat:
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
        changed = next_configuration(
            state.log.configuration,
            state.node,
            caught_up,
            reachable,
        )
        # A set without a reachable majority could never be left again if one
        # of its disks is lost.
        present = {state.node, *reachable}
        if changed is None or not changed.has_majority(present):
            return None
        return changed

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
