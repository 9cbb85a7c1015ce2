"""Founding of a cluster, and join requests of replicas without a leader."""

from collections.abc import Sequence

from plantainstand_core import VmId

from plantainstand_consensus._effects import WriteEntries
from plantainstand_consensus._entries import Configuration, Entry
from plantainstand_consensus._messages import JoinReply, JoinRequest
from plantainstand_consensus._state import (
    ELECTION_TIMEOUT_MIN,
    CoreState,
    Role,
)

_FOUNDING_TERM = 0


class Joining:
    """Sends join requests while no leader sends the log; founds the cluster.

    A replica cannot tell from its own log whether it still is a voter: the
    entry that removed it may not have arrived, and its newest voter set may
    lack the VM that leads now.

    Only one VM may found the cluster: the first of the founding members. It
    does so only after every other member has replied that it was never part of
    a cluster. A founder whose disk was lost and formatted again thus learns
    that the others have data, and joins them.
    """

    def __init__(
        self,
        state: CoreState,
        peers: Sequence[VmId],
        founding_members: Sequence[VmId],
    ):
        """Send requests to ``peers`` and members; found if listed first."""
        self._state = state
        self._peers = [peer for peer in peers if peer != state.node.vm]
        self._founding_members = tuple(founding_members)
        self._blank_members: set[VmId] = set()
        self._others_have_data = False
        self._next_request_at = state.now

    @property
    def is_founder(self) -> bool:
        """Whether this disk founds the cluster, as far as it knows."""
        first = self._founding_members[:1] == (self._state.node.vm,)
        return first and self._state.is_blank and not self._others_have_data

    def replace_peers(self, peers: Sequence[VmId]) -> None:
        """Replace the VMs that get join requests.

        Only the leader adds a disk.
        """
        own = self._state.node.vm
        self._peers = [peer for peer in peers if peer != own]

    def tick(self) -> None:
        """Repeat the join request of a learner or of a VM without a leader.

        The leader ignores it if this disk is a voter. Learners go on, since a
        new leader does not know them.
        """
        state = self._state
        if (
            state.role == Role.LEADER
            or (state.is_voter and state.has_recent_leader)
            or state.now < self._next_request_at
        ):
            return
        self._next_request_at = state.now + ELECTION_TIMEOUT_MIN
        request = JoinRequest(state.node.disk, founding=self.is_founder)
        for peer in self._request_destinations():
            state.outbox.send(peer, request)
        self._found_cluster_if_agreed()

    def on_request(self, source: VmId, request: JoinRequest) -> None:
        """Reply whether this disk was ever part of a cluster."""
        state = self._state
        reply = JoinReply(
            source_disk=state.node.disk,
            destination_disk=request.source_disk,
            blank=state.is_blank,
        )
        state.outbox.send(source, reply)

    def on_reply(self, source: VmId, reply: JoinReply) -> None:
        """Record a reply; replies to an earlier disk of this VM are ignored."""
        if (
            reply.destination_disk != self._state.node.disk
            or not self.is_founder
        ):
            return
        if reply.blank:
            self._blank_members.add(source)
        else:
            self._others_have_data = True
        self._found_cluster_if_agreed()

    def _request_destinations(self) -> Sequence[VmId]:
        known = {*self._peers, *self._founding_members}
        known.update(self._state.log.configuration.members)
        return sorted(known - {self._state.node.vm})

    def _found_cluster_if_agreed(self) -> None:
        state = self._state
        others = set(self._founding_members) - {state.node.vm}
        if not self.is_founder or not others <= self._blank_members:
            return
        configuration = Configuration(
            members=self._founding_members,
            voters=(state.node,),
            formed=not others,
        )
        entry = Entry(1, _FOUNDING_TERM, configuration)
        state.log.append((entry,))
        state.outbox.write(WriteEntries((entry,)))
