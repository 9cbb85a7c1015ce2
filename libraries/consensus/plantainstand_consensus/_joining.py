"""How a disk that is no voter becomes one."""

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
    """Asks to join, or founds the cluster.

    Exactly one VM founds: the first of the founding members. It does so only
    after every other member has said that it never was part of a cluster, so
    a founder whose disk was lost and formatted again finds the data of the
    others and joins them.
    """

    def __init__(
        self,
        state: CoreState,
        peers: Sequence[VmId],
        founding_members: Sequence[VmId],
    ):
        """Know the other voter VMs; be a founder if listed first."""
        self._state = state
        self._peers = [peer for peer in peers if peer != state.node.vm]
        self._founding_members = tuple(founding_members)
        self._blank_members: set[VmId] = set()
        self._found_data = False
        self._due = state.now

    @property
    def founds(self) -> bool:
        """Whether this disk is to found the cluster."""
        first = self._founding_members[:1] == (self._state.node.vm,)
        return first and self._state.is_blank and not self._found_data

    def replace_peers(self, peers: Sequence[VmId]) -> None:
        """Replace the VMs to ask; only the leader admits a disk."""
        own = self._state.node.vm
        self._peers = [peer for peer in peers if peer != own]

    def tick(self) -> None:
        """Repeat the request while nobody sends the log."""
        state = self._state
        outside = state.role != Role.LEADER and not state.is_voter
        if not outside or state.hears_leader or state.now < self._due:
            return
        self._due = state.now + ELECTION_TIMEOUT_MIN
        request = JoinRequest(state.node.disk, founding=self.founds)
        for peer in self._contacts():
            state.outbox.send(peer, request)
        self._found_if_agreed()

    def on_request(self, source: VmId, request: JoinRequest) -> None:
        """Tell a founder whether this disk was ever part of a cluster."""
        state = self._state
        reply = JoinReply(
            source_disk=state.node.disk,
            destination_disk=request.source_disk,
            blank=state.is_blank,
        )
        state.outbox.send(source, reply)

    def on_reply(self, source: VmId, reply: JoinReply) -> None:
        """Collect answers; those to an earlier disk of this VM are void."""
        if reply.destination_disk != self._state.node.disk or not self.founds:
            return
        if reply.blank:
            self._blank_members.add(source)
        else:
            self._found_data = True
        self._found_if_agreed()

    def _contacts(self) -> Sequence[VmId]:
        known = {*self._peers, *self._founding_members}
        known.update(self._state.log.configuration.members)
        return sorted(known - {self._state.node.vm})

    def _found_if_agreed(self) -> None:
        state = self._state
        others = set(self._founding_members) - {state.node.vm}
        if not self.founds or not others <= self._blank_members:
            return
        configuration = Configuration(
            members=self._founding_members,
            voters=(state.node,),
            formed=not others,
        )
        entry = Entry(1, _FOUNDING_TERM, configuration)
        state.log.append((entry,))
        state.outbox.write(WriteEntries((entry,)))
