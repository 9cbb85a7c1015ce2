"""Elections with pre-votes and votes."""

from plantainstand_core import VmId

from plantainstand_consensus._entries import HardState, Node
from plantainstand_consensus._messages import VoteReply, VoteRequest
from plantainstand_consensus._state import CoreState, Role


class Election:
    """Elections as a candidate and as a voter."""

    def __init__(self, state: CoreState):
        """Work on the replica's state."""
        self._state = state
        self._preliminary = True
        self._granted: set[Node] = set()

    def tick(self) -> None:
        """Request pre-votes once the election deadline has passed."""
        state = self._state
        due = state.now >= state.election_deadline
        if due and state.role != Role.LEADER and state.is_voter:
            self._campaign(preliminary=True)

    def on_request(self, source: VmId, request: VoteRequest) -> None:
        """Answer a request for a vote or a pre-vote."""
        state = self._state
        # Candidates address the disks in their voter set. An emptied disk has a
        # new id, so it never votes in place of the lost one.
        if request.destination_disk != state.node.disk:
            return
        if request.preliminary:
            granted = self._would_grant(request)
            if granted:
                self._yield_to(source, request)
        else:
            granted = self._grant(source, request)
        reply = VoteReply(
            source_disk=state.node.disk,
            term=state.term,
            election_term=request.term,
            granted=granted,
            preliminary=request.preliminary,
        )
        state.outbox.send(source, reply)

    def on_reply(self, source: VmId, reply: VoteReply) -> None:
        """Count a vote, and become leader with a majority."""
        state = self._state
        voter = Node(source, reply.source_disk)
        if voter not in state.log.configuration.voters:
            return
        if reply.term > state.term and not reply.granted:
            state.become_follower(reply.term, None)
        if state.role != Role.CANDIDATE or not reply.granted:
            return
        expected = (self._preliminary, self._election_term())
        if (reply.preliminary, reply.election_term) == expected:
            self._granted.add(voter)
            self._check_majority()

    def _campaign(self, *, preliminary: bool) -> None:
        state = self._state
        state.role = Role.CANDIDATE
        state.leader = None
        state.reset_election_deadline()
        self._preliminary = preliminary
        self._granted = {state.node}
        if not preliminary:
            state.store_hard_state(HardState(state.term + 1, state.node))
        for voter in state.log.configuration.voters:
            if voter != state.node:
                state.outbox.send(voter.vm, self._request(voter))
        self._check_majority()

    def _request(self, voter: Node) -> VoteRequest:
        state = self._state
        return VoteRequest(
            source_disk=state.node.disk,
            destination_disk=voter.disk,
            term=self._election_term(),
            last_index=state.log.last_index,
            last_term=state.log.last_term,
            preliminary=self._preliminary,
        )

    def _election_term(self) -> int:
        return self._state.term + 1 if self._preliminary else self._state.term

    def _check_majority(self) -> None:
        state = self._state
        configuration = state.log.configuration
        votes = self._granted.intersection(configuration.voters)
        if len(votes) < configuration.quorum:
            return
        if self._preliminary:
            self._campaign(preliminary=False)
        else:
            state.role = Role.LEADER
            state.leader = state.node.vm

    def _would_grant(self, request: VoteRequest) -> bool:
        state = self._state
        if state.role == Role.LEADER or state.has_recent_leader:
            return False
        return request.term > state.term and self._is_up_to_date(request)

    def _yield_to(self, source: VmId, request: VoteRequest) -> None:
        """Give up an own pre-vote for that of a candidate with precedence.

        Replicas that restart together often begin their first elections within
        one round trip. If both went on, they would split the votes, and nobody
        would lead before another election timeout.
        """
        state = self._state
        if state.role != Role.CANDIDATE or not self._preliminary:
            return
        theirs = (request.last_term, request.last_index, source)
        own = (state.log.last_term, state.log.last_index, state.node.vm)
        if theirs > own:
            state.role = Role.FOLLOWER
            state.reset_election_deadline()

    def _grant(self, source: VmId, request: VoteRequest) -> bool:
        state = self._state
        if request.term > state.term:
            state.become_follower(request.term, None)
        candidate = Node(source, request.source_disk)
        vote_available = state.hard_state.vote in {None, candidate}
        if request.term < state.term or not vote_available:
            return False
        if not self._is_up_to_date(request):
            return False
        state.store_hard_state(HardState(state.term, candidate))
        state.reset_election_deadline()
        return True

    def _is_up_to_date(self, request: VoteRequest) -> bool:
        log = self._state.log
        candidate = (request.last_term, request.last_index)
        return candidate >= (log.last_term, log.last_index)
