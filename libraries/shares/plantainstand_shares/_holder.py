"""Authority of a VM's process to use its shares."""

from datetime import timedelta

from plantainstand_core import Clock, VmId

from plantainstand_shares._timing import DEFAULT_TIMING, NEVER, SupportTiming
from plantainstand_shares._view import ShareView, VmIncarnation
from plantainstand_shares._zone_support import ZoneSupportAnswer


class SupportHolder:
    """Tracks until when one process may use its shares.

    Every lease counts from the *send time* of the answered request, read from
    :meth:`now` just before sending. A late answer thus never extends authority
    beyond the time that its sender assumes.
    """

    def __init__(
        self,
        owner: VmIncarnation,
        clock: Clock,
        timing: SupportTiming = DEFAULT_TIMING,
    ):
        """Create the state of a process without authority."""
        self._owner = owner
        self._clock = clock
        self._timing = timing
        self._view: ShareView | None = None
        self._leader_sent_at = NEVER
        self._peer_sent_at: dict[VmId, timedelta] = {}
        self._authority_until = NEVER
        self._needs_new_incarnation = False

    @property
    def authority_until(self) -> timedelta:
        """Reading of this VM's monotonic clock at which authority ends."""
        return self._authority_until

    @property
    def needs_new_incarnation(self) -> bool:
        """Whether the leader or a peer no longer supports this incarnation.

        The process should finish its work, depart and register again.
        """
        return self._needs_new_incarnation

    def now(self) -> timedelta:
        """Return the clock reading to store as send time of a request."""
        return self._clock.monotonic()

    def has_authority(self, now: timedelta | None = None) -> bool:
        """Return whether shares may be used.

        Reads the clock unless its reading is passed as ``now``.
        """
        reading = self._clock.monotonic() if now is None else now
        return reading < self._authority_until

    def apply(self, view: ShareView) -> None:
        """Apply a view; an older one is ignored."""
        if self._view and view.index < self._view.index:
            return
        self._view = view
        self._update_authority()

    def record_leader_support(self, sent_at: timedelta) -> None:
        """Record leader support for the heartbeat sent at ``sent_at``."""
        self._leader_sent_at = max(self._leader_sent_at, sent_at)
        self._update_authority()

    def record_leader_refusal(self) -> None:
        """Record that the leader refused this incarnation as unknown."""
        if self._view and self._owner in self._view.registry.records:
            self._needs_new_incarnation = True

    def record_peer_answer(
        self,
        peer: VmId,
        sent_at: timedelta,
        answer: ZoneSupportAnswer,
    ) -> None:
        """Record a peer's answer to the request sent at ``sent_at``."""
        if answer is ZoneSupportAnswer.REVOKED:
            self._needs_new_incarnation = True
        if answer is ZoneSupportAnswer.GIVEN:
            known = self._peer_sent_at.get(peer, NEVER)
            self._peer_sent_at[peer] = max(known, sent_at)
            self._update_authority()

    def _update_authority(self) -> None:
        own = self._view.member(self._owner) if self._view else None
        if own is None or self._view is None:
            self._authority_until = NEVER
            return
        members = self._view.registry.members(own.availability_zone)
        peers = [peer.vm for peer in members if peer.vm != self._owner.vm]
        self._authority_until = max(
            self._leader_sent_at + self._timing.lease,
            self._zone_support_until(peers),
        )

    def _zone_support_until(self, peers: list[VmId]) -> timedelta:
        if not peers:
            # The grace period counts from the last leader support.
            return self._leader_sent_at + self._timing.sole_member_grace
        # n // 2 peers and the VM itself are a majority of n members, where n is
        # the number of peers plus one.
        needed_support_count = (len(peers) + 1) // 2
        sent_times = sorted(
            (self._peer_sent_at.get(peer, NEVER) for peer in peers),
            reverse=True,
        )
        return sent_times[needed_support_count - 1] + self._timing.lease
