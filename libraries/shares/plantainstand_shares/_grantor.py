"""Leader side of authority: support, revocation and reclaim.

A process has authority to use its shares while it holds a lease from the
leader (leader support) or from a majority of the VMs of its availability zone
(zone support), or as the only member of its zone during a grace period.

Safety argument. The shares of an incarnation are reclaimed only when it can no
longer have authority and its work has ended:

1. Leader support. The leader counts the lease from the time of its answer,
   which is later than the send time from which the VM counts it, and extends
   it by the clock drift factor. An earlier leader answered only within the
   quorum contact timeout, counted from the send time of messages that a
   majority answered; so its last answer came before the election of the new
   leader plus that timeout. A leader answers and reclaims only after it has
   applied the first entry of its own term, and never supports an incarnation
   whose reclaim it has proposed; so no support follows a reclaim decision.
2. Zone support. The VM needs a majority of the members in *its own* view,
   which may be outdated. The leader therefore checks every set of members
   since the index that the VM is known to have applied: in each, too few
   peers must remain that could support the VM. A peer is excluded by its
   promise to give no support, which it keeps as long as it runs, by a clean
   departure, or by the termination of its VM. A restarted peer supports
   nobody before its own registration is in its view; that registration
   either follows the committed reclaim in the log, or voids a reclaim that
   was decided before.
3. Grace period. For a view in which the VM is the only member, its authority
   ends with the grace period, counted from the last possible leader support.
4. A terminated VM, or an incarnation whose VM has registered a later one, no
   longer uses its shares.
5. Work that the VM has dispatched ends within the longest deadline that the
   VM has known, which the registry stores for each incarnation.

A membership change between the decision and its commit voids the reclaim, so
the examined sets of members are all that the VM can have seen.
"""

from collections.abc import Collection
from datetime import timedelta

from plantainstand_core import AvailabilityZoneId, Clock, LogIndex, VmId

from plantainstand_shares._commands import ReclaimVm
from plantainstand_shares._exclusion import Exclusions
from plantainstand_shares._heartbeat import (
    Heartbeat,
    HeartbeatAnswer,
    HeartbeatStatus,
)
from plantainstand_shares._timing import (
    CLOCK_DRIFT_FACTOR,
    DEFAULT_TIMING,
    NEVER,
    SupportTiming,
)
from plantainstand_shares._view import ShareView, VmIncarnation, VmRecord

_LAPSED_CACHE_LIFETIME = timedelta(milliseconds=100)
_NO_LAPSED_CACHED: tuple[timedelta, frozenset[VmIncarnation]] = (
    NEVER,
    frozenset(),
)


class SupportGrantor:
    """Grants leader support during one term of one leader."""

    def __init__(self, clock: Clock, timing: SupportTiming = DEFAULT_TIMING):
        """Create the grantor; must be called when the election is won."""
        self._clock = clock
        self._timing = timing
        self._started_at = clock.monotonic()
        self._quorum_sent_at = NEVER
        self._view: ShareView | None = None
        self._answered_at: dict[VmIncarnation, timedelta] = {}
        # When this leader first saw each incarnation in the registry. A new
        # incarnation without a heartbeat so far must not count as lapsed;
        # otherwise its zone peers are told to revoke their support at once.
        self._first_seen_at: dict[VmIncarnation, timedelta] = {}
        self._applied_indexes: dict[VmIncarnation, LogIndex] = {}
        self._proposed_reclaims: dict[VmIncarnation, set[LogIndex]] = {}
        self._exclusions = Exclusions(timing)
        self._lapsed_by_zone: dict[
            AvailabilityZoneId,
            tuple[timedelta, frozenset[VmIncarnation]],
        ] = {}

    def record_quorum(self, sent_at: timedelta) -> None:
        """Record that a majority of voters answered messages of ``sent_at``."""
        self._quorum_sent_at = max(self._quorum_sent_at, sent_at)

    def apply(self, view: ShareView) -> None:
        """Apply the committed state.

        Must not be called before the first entry of the leader's own term is
        applied, and must be called then and after every change.
        """
        if self._view and self._view.registry is view.registry:
            self._view = view
            return
        self._view = view
        self._lapsed_by_zone = {}
        now = self._clock.monotonic()
        self._exclusions.apply(view.registry, now)
        self._remove_ended(view)
        for key in view.registry.records:
            self._first_seen_at.setdefault(key, now)

    def record_terminated(self, vms: Collection[VmId]) -> None:
        """Record the VMs that the platform's list shows as terminated."""
        self._exclusions.record_terminated(vms, self._clock.monotonic())

    def answer(self, heartbeat: Heartbeat) -> HeartbeatAnswer:
        """Record a heartbeat and grant or refuse support."""
        now = self._clock.monotonic()
        sender = heartbeat.sender
        view = self._view
        if (
            view is None
            or now - self._quorum_sent_at >= self._timing.quorum_contact_timeout
        ):
            return HeartbeatAnswer(HeartbeatStatus.NO_QUORUM)
        record = view.member(sender)
        if record is None:
            return HeartbeatAnswer(HeartbeatStatus.UNKNOWN_INCARNATION)
        self._exclusions.record_promises(sender, heartbeat.revoked, now)
        self._applied_indexes[sender] = max(
            heartbeat.applied_index,
            self._applied_indexes.get(sender, record.applied_floor),
        )
        status = HeartbeatStatus.UNKNOWN_INCARNATION
        if sender not in self._proposed_reclaims:
            status = HeartbeatStatus.SUPPORTED
            self._answered_at[sender] = now
        lapsed = self._lapsed_peers(record.availability_zone, view, now)
        if sender in lapsed:
            self._lapsed_by_zone.pop(record.availability_zone)
        return HeartbeatAnswer(status, lapsed.difference((sender,)))

    def lapsed(self) -> frozenset[VmIncarnation]:
        """Return the members whose leader support has certainly expired."""
        if self._view is None:
            return frozenset()
        now = self._clock.monotonic()
        return frozenset(
            record.key
            for record in self._view.registry.records.values()
            if record.is_member and now >= self._lease_end(record.key)
        )

    def reclaims(self) -> tuple[ReclaimVm, ...]:
        """Return the reclaims to propose now, at most one per zone.

        An incarnation with a proposed reclaim gets no more support, unless
        :meth:`record_refused_reclaim` has been called for every proposal.
        """
        if self._view is None:
            return ()
        now = self._clock.monotonic()
        index = self._view.index
        due = {
            record.availability_zone: record.key
            for record in self._view.registry.records.values()
            if record.ended_at is None and self._can_reclaim(record, now)
        }
        for key in due.values():
            self._proposed_reclaims.setdefault(key, set()).add(index)
        return tuple(ReclaimVm(*lost, index) for lost in due.values())

    def record_refused_reclaim(self, command: ReclaimVm) -> None:
        """Record that the state machine refused a proposed reclaim.

        Later reclaims of the same incarnation may still be accepted. A
        proposal with an unknown outcome counts as pending.
        """
        key = VmIncarnation(command.vm, command.incarnation)
        pending = self._proposed_reclaims.get(key, set())
        pending.discard(command.decided_at)
        if not pending:
            self._proposed_reclaims.pop(key, None)

    def _can_reclaim(self, record: VmRecord, now: timedelta) -> bool:
        work = timedelta(milliseconds=record.longest_deadline_ms)
        work_end_delay = (
            work + self._timing.dispatch_allowance
        ) * CLOCK_DRIFT_FACTOR
        if now < self._lease_end(record.key) + work_end_delay:
            return False
        end = self._authority_end(record)
        return end is not None and now >= end + work_end_delay

    def _authority_end(self, record: VmRecord) -> timedelta | None:
        if self._view is None:
            return None
        last_support = self._last_support(record.key)
        zone_end = self._exclusions.authority_end(
            self._view.registry,
            record,
            self._applied_indexes.get(record.key, record.applied_floor),
            last_support + self._timing.sole_member_grace * CLOCK_DRIFT_FACTOR,
        )
        if zone_end is None:
            return None
        return max(zone_end, self._lease_end(record.key))

    def _lease_end(self, key: VmIncarnation) -> timedelta:
        return self._last_support(key) + self._timing.lease * CLOCK_DRIFT_FACTOR

    def _last_support(self, key: VmIncarnation) -> timedelta:
        earlier_leader_end = (
            self._started_at
            + self._timing.quorum_contact_timeout * CLOCK_DRIFT_FACTOR
        )
        return max(
            earlier_leader_end,
            self._first_seen_at.get(key, NEVER),
            self._answered_at.get(key, NEVER),
        )

    def _remove_ended(self, view: ShareView) -> None:
        for known in (
            self._answered_at,
            self._first_seen_at,
            self._applied_indexes,
            self._proposed_reclaims,
        ):
            for key in tuple(known):
                if key not in view.registry.records:
                    known.pop(key)

    def _lapsed_peers(
        self,
        zone: AvailabilityZoneId,
        view: ShareView,
        now: timedelta,
    ) -> frozenset[VmIncarnation]:
        # Cached, because examining the whole zone for each heartbeat of its
        # members has a cost quadratic in their number.
        computed_at, lapsed = self._lapsed_by_zone.get(zone, _NO_LAPSED_CACHED)
        if now - computed_at >= _LAPSED_CACHE_LIFETIME:
            lapsed = frozenset(
                member.key
                for member in view.registry.members(zone)
                if now >= self._lease_end(member.key)
            )
            self._lapsed_by_zone[zone] = (now, lapsed)
        return lapsed
