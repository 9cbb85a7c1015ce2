"""Leader side of authority: support, revocation and reclaim.

Safety argument. Shares of an incarnation are reclaimed only when it can no
longer have authority and its work has ended:

1. Leader support. The leader counts it from its own answer, later than the
   send time the VM counts from, and adds the drift bound. An earlier leader
   answered only within its tenure, which counts from the send time of the
   messages that a majority answered, so before the new leader's election
   plus the tenure. A leader answers and reclaims only after it has applied
   the first entry of its own term, and never supports an incarnation whose
   reclaim it has proposed; so no support follows a reclaim decision.
2. Zone support. The VM needs a majority of the members in *its* view, which
   may be old. The leader therefore requires, for every set of members since
   the index that the VM is known to have applied, that too few peers are
   left that could support it. A peer is excluded by its promise, which it
   keeps as long as it runs, by a clean departure, or by its end. A peer that
   restarts supports nobody before its own registration is in its view; that
   registration lies after a committed reclaim, or voids one decided before.
3. Grace. A view in which the VM is the only member is excluded only by the
   grace, counted from the last possible leader support.
4. A terminated VM, or one whose later process has registered, uses nothing.
5. Work that it has dispatched ends within the longest deadline that it has
   known, which the register keeps for each incarnation.

A membership change between decision and commit voids the reclaim, so the
sets of members examined are all that the VM can have seen.
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
    DEFAULT_TIMING,
    DRIFT,
    NEVER,
    SupportTiming,
)
from plantainstand_shares._view import ShareView, VmIncarnation, VmRecord

_EXAMINE_INTERVAL = timedelta(milliseconds=100)
_NOT_EXAMINED: tuple[timedelta, frozenset[VmIncarnation]] = (
    NEVER,
    frozenset(),
)


class SupportGrantor:
    """Support given by one leader during one term."""

    def __init__(self, clock: Clock, timing: SupportTiming = DEFAULT_TIMING):
        """Start when the election is won."""
        self._clock = clock
        self._timing = timing
        self._started_at = clock.monotonic()
        self._quorum_sent_at = NEVER
        self._view: ShareView | None = None
        self._answered_at: dict[VmIncarnation, timedelta] = {}
        # When each incarnation was first seen in the register. One that has
        # just registered has not lapsed, although no heartbeat came yet;
        # otherwise its zone peers would be told to refuse it at once.
        self._seen_at: dict[VmIncarnation, timedelta] = {}
        self._applied: dict[VmIncarnation, LogIndex] = {}
        self._proposed: dict[VmIncarnation, set[LogIndex]] = {}
        self._exclusions = Exclusions(timing)
        self._lapsed_in: dict[
            AvailabilityZoneId,
            tuple[timedelta, frozenset[VmIncarnation]],
        ] = {}

    def record_quorum(self, sent_at: timedelta) -> None:
        """Note that a majority of voters answered messages of ``sent_at``."""
        self._quorum_sent_at = max(self._quorum_sent_at, sent_at)

    def apply(self, view: ShareView) -> None:
        """Take the committed state.

        Called first when the first entry of the leader's own term is applied,
        then after every change.
        """
        if self._view and self._view.registry is view.registry:
            self._view = view
            return
        self._view = view
        self._lapsed_in = {}
        now = self._clock.monotonic()
        self._exclusions.apply(view.registry, now)
        self._forget_ended(view)
        for key in view.registry.records:
            self._seen_at.setdefault(key, now)

    def record_terminated(self, vms: Collection[VmId]) -> None:
        """Note the VMs that the platform's list calls terminated."""
        self._exclusions.note_terminated(vms, self._clock.monotonic())

    def answer(self, heartbeat: Heartbeat) -> HeartbeatAnswer:
        """Record a heartbeat and give or refuse support."""
        now = self._clock.monotonic()
        sender = heartbeat.sender
        view = self._view
        if view is None or now - self._quorum_sent_at >= self._timing.tenure:
            return HeartbeatAnswer(HeartbeatStatus.NO_QUORUM)
        record = view.member(sender)
        if record is None:
            return HeartbeatAnswer(HeartbeatStatus.UNKNOWN_INCARNATION)
        self._exclusions.note_promises(sender, heartbeat.revoked, now)
        self._applied[sender] = max(
            heartbeat.applied_index,
            self._applied.get(sender, record.applied_floor),
        )
        status = HeartbeatStatus.UNKNOWN_INCARNATION
        if sender not in self._proposed:
            status = HeartbeatStatus.SUPPORTED
            self._answered_at[sender] = now
        lapsed = self._lapsed_peers(record.availability_zone, view, now)
        if sender in lapsed:
            self._lapsed_in.pop(record.availability_zone)
        return HeartbeatAnswer(status, lapsed.difference((sender,)))

    def lapsed(self) -> frozenset[VmIncarnation]:
        """Return the members whose leader support has certainly ended."""
        if self._view is None:
            return frozenset()
        now = self._clock.monotonic()
        return frozenset(
            record.key
            for record in self._view.registry.records.values()
            if record.is_member and now >= self._lease_end(record.key)
        )

    def reclaims(self) -> tuple[ReclaimVm, ...]:
        """Return the reclaims to propose now, at most one for each zone.

        A proposed incarnation gets no support again, unless
        :meth:`reclaim_refused` has been called for every proposal.
        """
        if self._view is None:
            return ()
        now = self._clock.monotonic()
        index = self._view.index
        due = {
            record.availability_zone: record.key
            for record in self._view.registry.records.values()
            if record.ended_at is None and self._is_due(record, now)
        }
        for key in due.values():
            self._proposed.setdefault(key, set()).add(index)
        return tuple(ReclaimVm(*lost, index) for lost in due.values())

    def record_refused_reclaim(self, command: ReclaimVm) -> None:
        """Note that the state machine refused a proposed reclaim.

        Others of the same incarnation, decided later, may still be accepted.
        A proposal whose end is not known counts as pending.
        """
        key = VmIncarnation(command.vm, command.incarnation)
        pending = self._proposed.get(key, set())
        pending.discard(command.decided_at)
        if not pending:
            self._proposed.pop(key, None)

    def _is_due(self, record: VmRecord, now: timedelta) -> bool:
        work = timedelta(milliseconds=record.longest_deadline_ms)
        settling = (work + self._timing.dispatch_allowance) * DRIFT
        if now < self._lease_end(record.key) + settling:
            return False
        end = self._authority_end(record)
        return end is not None and now >= end + settling

    def _authority_end(self, record: VmRecord) -> timedelta | None:
        if self._view is None:
            return None
        last_support = self._last_support(record.key)
        zone_end = self._exclusions.authority_end(
            self._view.registry,
            record,
            self._applied.get(record.key, record.applied_floor),
            last_support + self._timing.sole_member_grace * DRIFT,
        )
        if zone_end is None:
            return None
        return max(zone_end, self._lease_end(record.key))

    def _lease_end(self, key: VmIncarnation) -> timedelta:
        return self._last_support(key) + self._timing.lease * DRIFT

    def _last_support(self, key: VmIncarnation) -> timedelta:
        earlier_leader = self._started_at + self._timing.tenure * DRIFT
        return max(
            earlier_leader,
            self._seen_at.get(key, NEVER),
            self._answered_at.get(key, NEVER),
        )

    def _forget_ended(self, view: ShareView) -> None:
        for known in (
            self._answered_at,
            self._seen_at,
            self._applied,
            self._proposed,
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
        # Examining the whole zone for each of its heartbeats would cost the
        # square of its size.
        examined_at, lapsed = self._lapsed_in.get(zone, _NOT_EXAMINED)
        if now - examined_at >= _EXAMINE_INTERVAL:
            lapsed = frozenset(
                member.key
                for member in view.registry.members(zone)
                if now >= self._lease_end(member.key)
            )
            self._lapsed_in[zone] = (now, lapsed)
        return lapsed
