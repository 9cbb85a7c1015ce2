"""Peer side of zone support."""

from collections.abc import Iterable
from enum import Enum

from plantainstand_shares._view import ShareView, VmIncarnation


class ZoneSupportAnswer(Enum):
    """Answer to a peer's request for zone support."""

    GIVEN = 'given'
    REVOKED = 'revoked'
    """This VM has promised the leader never to support that incarnation."""

    NOT_REGISTERED = 'not_registered'
    """One of the two is not a registered member of the zone."""


class ZoneSupport:
    """Gives or refuses support to peers of one zone.

    A revocation is kept in memory only. That is enough: after a restart the
    VM gives no support before its own new registration is in its view, and
    the register refuses a reclaim that was decided before that registration.
    """

    def __init__(self, owner: VmIncarnation):
        """Start for one process, without revocations."""
        self._owner = owner
        self._revoked: frozenset[VmIncarnation] = frozenset()
        self._view: ShareView | None = None
        self._closed = False

    @property
    def revoked(self) -> frozenset[VmIncarnation]:
        """Peers never supported again; part of every heartbeat."""
        return self._revoked

    def apply(self, view: ShareView) -> None:
        """Take a newer view; an older one is ignored."""
        if self._view and view.index < self._view.index:
            return
        self._view = view
        # A view never goes back, so an ended incarnation needs no entry.
        self._revoked = frozenset(
            peer for peer in self._revoked if not _has_ended(view, peer)
        )

    def revoke(self, peers: Iterable[VmIncarnation]) -> None:
        """Promise never to support these incarnations again."""
        self._revoked = self._revoked.union(peers)

    def close(self) -> None:
        """Give no support any more; called before a clean departure."""
        self._closed = True

    def answer(self, requester: VmIncarnation) -> ZoneSupportAnswer:
        """Decide on a request that has just arrived."""
        if requester in self._revoked:
            return ZoneSupportAnswer.REVOKED
        if self._closed or self._view is None:
            return ZoneSupportAnswer.NOT_REGISTERED
        own = self._view.member(self._owner)
        peer = self._view.member(requester)
        if own is None or peer is None:
            return ZoneSupportAnswer.NOT_REGISTERED
        if own.availability_zone != peer.availability_zone:
            return ZoneSupportAnswer.NOT_REGISTERED
        return ZoneSupportAnswer.GIVEN


def _has_ended(view: ShareView, peer: VmIncarnation) -> bool:
    record = view.registry.records.get(peer)
    if record is not None:
        return not record.is_member
    newest = view.registry.newest.get(peer.vm)
    return newest is not None and newest.incarnation > peer.incarnation
