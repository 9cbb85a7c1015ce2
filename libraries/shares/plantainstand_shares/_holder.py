"""VM side of authority."""

from datetime import timedelta

from plantainstand_core import Clock, VmId

from plantainstand_shares._timing import DEFAULT_TIMING, NEVER, SupportTiming
from plantainstand_shares._view import ShareView, VmIncarnation
from plantainstand_shares._zone_support import ZoneSupportAnswer


class SupportHolder:
    """Knows until when one process may use its shares.

    Every time counts from the *send time* of the request that was answered,
    read from :meth:`now` just before sending. An answer that arrives late
    thus gives no authority that its sender has stopped to count with.
    """

    def __init__(
        self,
        owner: VmIncarnation,
        clock: Clock,
        timing: SupportTiming = DEFAULT_TIMING,
    ):
        """Start without authority."""
        self._owner = owner
        self._clock = clock
        self._timing = timing
        self._view: ShareView | None = None
        self._leader_sent_at = NEVER
        self._peer_sent_at: dict[VmId, timedelta] = {}
        self._until = NEVER
        self._refused = False

    @property
    def authority_until(self) -> timedelta:
        """Reading of the own clock at which authority ends."""
        return self._until

    @property
    def needs_new_incarnation(self) -> bool:
        """Whether the register or a peer has given up this incarnation.

        The process should finish its work, depart and register again.
        """
        return self._refused

    def now(self) -> timedelta:
        """Return the send time to remember with a request for support."""
        return self._clock.monotonic()

    def has_authority(self, now: timedelta | None = None) -> bool:
        """Tell whether shares may be used; ``now`` saves a clock reading."""
        reading = self._clock.monotonic() if now is None else now
        return reading < self._until

    def apply(self, view: ShareView) -> None:
        """Take a newer view; an older one is ignored."""
        if self._view and view.index < self._view.index:
            return
        self._view = view
        self._refresh()

    def record_leader_support(self, sent_at: timedelta) -> None:
        """Note that the leader supported the heartbeat of ``sent_at``."""
        self._leader_sent_at = max(self._leader_sent_at, sent_at)
        self._refresh()

    def record_leader_refusal(self) -> None:
        """Note that the leader does not know this incarnation."""
        if self._view and self._owner in self._view.registry.records:
            self._refused = True

    def record_peer_answer(
        self,
        peer: VmId,
        sent_at: timedelta,
        answer: ZoneSupportAnswer,
    ) -> None:
        """Note a peer's answer to the request of ``sent_at``."""
        if answer is ZoneSupportAnswer.REVOKED:
            self._refused = True
        if answer is ZoneSupportAnswer.GIVEN:
            known = self._peer_sent_at.get(peer, NEVER)
            self._peer_sent_at[peer] = max(known, sent_at)
            self._refresh()

    def _refresh(self) -> None:
        own = self._view.member(self._owner) if self._view else None
        if own is None or self._view is None:
            self._until = NEVER
            return
        members = self._view.registry.members(own.availability_zone)
        peers = [peer.vm for peer in members if peer.vm != self._owner.vm]
        self._until = max(
            self._leader_sent_at + self._timing.lease,
            self._zone_until(peers),
        )

    def _zone_until(self, peers: list[VmId]) -> timedelta:
        if not peers:
            # Only the leader's support starts the grace.
            return self._leader_sent_at + self._timing.sole_member_grace
        # Of n members, n // 2 peers and the VM itself are a majority; n is
        # one more than the number of peers.
        needed = (len(peers) + 1) // 2
        sent = sorted(
            (self._peer_sent_at.get(peer, NEVER) for peer in peers),
            reverse=True,
        )
        return sent[needed - 1] + self._timing.lease
