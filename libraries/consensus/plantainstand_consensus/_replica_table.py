"""Replicas that a leader sends the log to."""

from collections import deque
from collections.abc import Collection, Iterator, Mapping
from datetime import timedelta

from plantainstand_consensus._entries import Configuration, Node
from plantainstand_consensus._progress import Progress
from plantainstand_consensus._state import (
    HEARTBEAT_INTERVAL,
    QUORUM_CONTACT_TIMEOUT,
    CoreState,
)

CATCH_UP_MARGIN = HEARTBEAT_INTERVAL
"""Time that a learner's disk may take beyond the way of an answer: answers name
the newest message received, and what is durable is older."""

COMMIT_RETENTION = QUORUM_CONTACT_TIMEOUT + CATCH_UP_MARGIN


class ReplicaTable:
    """Progress of the other voters and of the learners."""

    def __init__(self, state: CoreState):
        """Start without learners; :meth:`refresh` adds the voters."""
        self._state = state
        self._progress: dict[Node, Progress] = {}
        self._learners: set[Node] = set()
        self._commits: deque[tuple[timedelta, int]] = deque()

    def __iter__(self) -> Iterator[Progress]:
        """Iterate over the voters and learners, in the order of their ids."""
        return iter(self._progress.values())

    def find(self, node: Node) -> Progress | None:
        """Return the progress of a voter or learner."""
        return self._progress.get(node)

    def add_learner(self, node: Node) -> None:
        """Add a disk that is to become a voter.

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

    def apply(self, configuration: Configuration) -> None:
        """Remove learners that have become voters or are no members."""
        self._learners = {
            node
            for node in self._learners - set(configuration.voters)
            if node.vm in configuration.members
        }

    def refresh(self) -> None:
        """Follow a change of the voters or learners."""
        configuration = self._state.log.configuration
        wanted = {*configuration.voters, *self._learners} - {self._state.node}
        next_index = self._state.log.last_index + 1
        self._progress = {
            node: self._progress.get(node) or Progress(node, next_index)
            for node in sorted(wanted)
        }

    def reachable(self, since: timedelta) -> set[Node]:
        """Return the replicas that answered a message sent since then."""
        return {
            node
            for node, progress in self._progress.items()
            if progress.in_contact_since(since)
        }

    def silent_voters(self, since: timedelta) -> set[Node]:
        """Return the other voters that answered no message sent since then."""
        voters = set(self._state.log.configuration.voters)
        return voters - self.reachable(since) - {self._state.node}

    def record_commit(self) -> None:
        """Record that the commit index has grown."""
        now = self._state.now
        self._commits.append((now, self._state.commit_index))
        while self._commits[0][0] < now - COMMIT_RETENTION:
            self._commits.popleft()

    def record_acknowledgement(
        self, progress: Progress, sent_at: timedelta
    ) -> None:
        """Record whether a replica keeps up with the commits.

        It is compared with what was committed when the message left that it
        answers. Later commits may always be on their way: a replica that is
        farther from the leader than a majority never has all of them while
        commands keep coming. A leader that has not committed anything yet does
        not know what is committed.
        """
        if self._commits and progress.node in self._learners:
            committed = self._committed_at(sent_at - CATCH_UP_MARGIN)
            progress.has_caught_up = progress.match_index >= committed

    def caught_up_learners(self, since: timedelta) -> Collection[Node]:
        """Return the learners that keep up and answered since then."""
        return {
            node
            for node in self._learners & self.reachable(since)
            if self._progress[node].has_caught_up
        }

    def missing_entries(self, since: timedelta) -> Mapping[Node, int]:
        """Return how many committed entries learners lack.

        Learners that answered no message sent since then are left out.
        """
        commit_index = self._state.commit_index
        return {
            node: max(0, commit_index - self._progress[node].match_index)
            for node in self._learners & self.reachable(since)
        }

    def majority_index(self) -> int:
        """Return the newest index that is durable on a majority of voters."""
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

    def _committed_at(self, instant: timedelta) -> int:
        """Return the commit index at a time, or a newer one if forgotten."""
        for at, index in reversed(self._commits):
            if at <= instant:
                return index
        return self._commits[0][1]
