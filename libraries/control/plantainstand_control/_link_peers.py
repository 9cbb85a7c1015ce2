"""Which VMs have opened links to this control VM."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from datetime import timedelta
from types import MappingProxyType
from typing import Final

import structlog
from plantainstand_core import Clock, LogIndex, VmId
from plantainstand_fleet import Hello, TargetListing, VmRole
from plantainstand_links import Link

from plantainstand_control._publishing import DesiredTransfer

_log = structlog.get_logger()

MAX_FRAME_BYTES_BY_ROLE: Final[Mapping[VmRole, int]] = MappingProxyType(
    {VmRole.ENTRY: 1024 * 1024, VmRole.CONTROL: 16 * 1024 * 1024}
)
"""Longest frame by role. A report of an entry VM takes some 100 bytes for each
target; control VMs send entries of the log."""


@dataclass
class LinkPeer:
    """State of the VM that opened an accepted link."""

    vm: VmId
    role: VmRole
    transfer: DesiredTransfer
    """Sends the desired state, if the VM is an entry VM."""

    connected_at: timedelta

    listing: TargetListing = field(default_factory=TargetListing)
    """Target list that the VM has sent, if it is a control VM."""


class LinkPeers:
    """Admits the peers that are VMs, and knows which link is whose.

    The id of a VM is its address, so a peer is who it says it is if it connects
    from there. Each VM has one link in each role.
    """

    def __init__(self, clock: Clock):
        """Know no peers."""
        self._clock = clock
        self._peers: dict[Link, LinkPeer] = {}

    @property
    def waiting_items(self) -> int:
        """Items of the desired state that entry VMs have yet to read."""
        return sum(peer.transfer.waiting_items for peer in self._peers.values())

    def admit(self, link: Link, hello: Hello) -> LinkPeer | None:
        """Admit the sender of a ``Hello``; None if it is not the VM it names.

        Its link is closed then. An earlier link of the VM is closed too: it
        has been replaced, whether or not that is known at this end.
        """
        known = self._peers.get(link)
        if link.peer_address != hello.vm or known is not None:
            _log.warning(
                'peer refused', peer=link.peer_address, stated=hello.vm[:64]
            )
            link.abort()
            return None
        for earlier in self._links_of(hello):
            earlier.abort()
        link.admit(MAX_FRAME_BYTES_BY_ROLE[hello.role])
        peer = LinkPeer(
            hello.vm,
            hello.role,
            DesiredTransfer(LogIndex(hello.desired_index)),
            self._clock.monotonic(),
        )
        self._peers[link] = peer
        return peer

    def get(self, link: Link) -> LinkPeer | None:
        """Return the peer of a link, or None if it has not been admitted."""
        return self._peers.get(link)

    def forget(self, link: Link) -> None:
        """Forget a link that is closed."""
        self._peers.pop(link, None)

    def entry_vms(self) -> Mapping[Link, VmId]:
        """Return the links of entry VMs."""
        return {
            link: peer.vm
            for link, peer in self._peers.items()
            if peer.role is VmRole.ENTRY
        }

    def _links_of(self, hello: Hello) -> Sequence[Link]:
        return [
            link
            for link, peer in self._peers.items()
            if (peer.vm, peer.role) == (hello.vm, hello.role)
        ]
