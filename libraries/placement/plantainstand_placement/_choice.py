"""Chooses the target of a request, or rejects the request at once.

Clients request the same objects repeatedly, and a target that has served an
object recently serves it several times faster (it is warm for the object).
Weighted rendezvous hashing therefore gives each object a fixed order of
targets, so that all entry VMs of a region send it to the same target. A later
target is used when this VM has sent the object there before and it responds
earlier, or when a request would wait at all of these and it has slots to spare.
An object in such demand that its first target cannot run all of its requests
has several first targets, or homes, which its requests use in turn. Each home
runs the object cold once and keeps fewer others, so there are only as many as
the demand fills. What targets report is seconds old where many VMs share them:
a target without a recent report is taken to be as busy as those of its region
that have reported.

The order does not depend on load, so each region's share of the objects stays
constant while traffic rises, falls and moves.

When more requests arrive than the targets can run, those that wait in the
targets' queues time out: their work is lost and targets never become warm for
their objects, so the overload outlasts its cause. A request is therefore
rejected at once when the response would come after the route's latency
objective and the queue before it is longer than one mean run, or when it would
be given up while it runs. A late response after a shorter queue is still worth
more to the client than a rejection.
"""

import math
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from datetime import timedelta
from enum import Enum

from plantainstand_core import RegionId

from plantainstand_placement._admission import Admission
from plantainstand_placement._criteria import PlacementCriteria
from plantainstand_placement._eligibility import (
    MAX_CANDIDATES,
    is_allowed,
    may_receive,
    pause_left,
)
from plantainstand_placement._run_times import Familiarity, RunTimeEstimates
from plantainstand_placement._service_targets import ServiceTargets
from plantainstand_placement._target import TargetState

MAX_WARM_WAIT_FRACTION = 1.0
"""Expected wait, as a fraction of the mean run time, up to which a request goes
to a target that is warm for its object rather than to another one."""

LATE_WAIT_FRACTION = 1.0
"""Expected wait, as a fraction of the mean run time, with which a request is
sent although its response will miss the objective."""

SPILLOVER_LOAD_FRACTION = 0.5
"""Load, as a fraction of its slots, up to which a later target is used. When
all targets are busy, spreading an object over more of them only adds cold,
slow requests."""

HOME_LOAD_FRACTION = 0.6
"""Load by one object, as a fraction of a target's slots, for which the object
has one home. In the replay, 0.5 cost evenly requested objects more cold runs
and 0.7 left objects in demand waiting."""

MAX_HOMES = 16
"""Largest number of homes of an object. Eight were too few at 2.5 times the
usual load for an object with a seventh of the requests of 90 targets."""

RUN_TIME_MARGIN = 1.2
"""Multiple of the expected run time that must be left after the queue, because
a request that is given up while it runs has cost a slot for nothing."""

FREE_SLOT_MARGIN = 0.5
"""Fraction of a slot that must be free, because the load that other VMs cause
is only estimated."""

RETRY_AFTER_MIN = timedelta(milliseconds=100)
"""Shortest Retry-After of a rejected request."""

RETRY_AFTER_MAX = timedelta(seconds=3)
"""Longest Retry-After; waits beyond it cannot be estimated. A client that comes
back while the backlog lasts is rejected again, and may give up then."""

NO_TARGET_RETRY_AFTER = timedelta(milliseconds=500)
"""Retry-After while no target may receive the request: as long as the first
pause after a failed connection."""


_SENT_BEFORE = frozenset((Familiarity.REPEATED, Familiarity.STARTED))


class RefusalReason(Enum):
    """Why no target was chosen."""

    NO_TARGET = 'no target'
    """No target of the service may receive the request."""

    LIMITED = 'request limits spent'
    """All targets that may receive the request have stated limits, and this
    VM has used its shares."""

    PAUSED = 'targets paused'
    """No target may receive the request, and some want nothing for a while."""

    NO_CAPACITY = 'no capacity'
    """The response would come too late."""

    STOPPING = 'stopping'
    """This process may end before the response."""


@dataclass(frozen=True, slots=True)
class Refusal:
    """Decision to reject the request without sending it."""

    reason: RefusalReason
    retry_after: timedelta
    """Time after which a retry may find capacity."""


@dataclass(frozen=True, slots=True)
class Choice:
    """Decision to send the request to a target."""

    state: TargetState
    rank: int
    """Index in the object's order of allowed targets, from 0."""

    familiarity: Familiarity
    expected_wait: timedelta
    """Estimated time in the target's queue."""

    expected_run: timedelta
    """Estimated time between the queue and the response."""

    @property
    def expected_duration(self) -> timedelta:
        """Estimated time to the response."""
        return self.expected_wait + self.expected_run


@dataclass(frozen=True, slots=True)
class RatedTarget:
    """One of the first targets of an object's order, as a decision sees it."""

    option: Choice
    """What sending the request there is expected to take."""

    load: float
    """Estimated number of requests at the target."""

    is_candidate: bool
    """Whether the request may go there now; ``option.rank`` holds then."""


@dataclass(frozen=True, slots=True)
class ServiceEstimates:
    """Times that one VM has observed, as of now."""

    now: timedelta
    """Monotonic time."""

    run_times: RunTimeEstimates
    """Run times of the request's route."""

    mean_run_time: timedelta
    """Mean over all requests of the service, which share the queues."""

    returning_callers: int = 0
    """Callers that this VM has rejected because of request limits and that are
    yet to return."""


@dataclass(frozen=True, slots=True)
class _Knowledge:
    """What one decision is based on, beside the criteria."""

    estimates: ServiceEstimates
    usual_loads: Mapping[RegionId, float] = field(default_factory=dict)
    """Load of a target that has not reported its own, by region."""

    homes: int = 1
    """Number of first targets between which requests for the object turn."""

    turn: int = 0

    def load(self, state: TargetState) -> float:
        """Return the estimated number of requests at a target."""
        usual = self.usual_loads.get(state.entry.region, 0)
        return state.load(self.estimates.now, usual)

    def expected_wait(self, state: TargetState) -> timedelta:
        """Return the estimated time in a target's queue."""
        slots = max(1, state.entry.slots)
        ahead = self.load(state) + FREE_SLOT_MARGIN - slots
        wait = self.estimates.mean_run_time * (ahead / slots)
        return max(timedelta(), wait)


def choose_target(
    criteria: PlacementCriteria,
    targets: ServiceTargets,
    estimates: ServiceEstimates,
) -> Choice | Refusal:
    """Choose one of a service's targets, or reject the request."""
    known = _knowledge(criteria, targets, estimates)
    limit = max(MAX_CANDIDATES, known.homes)
    candidates = _candidates(criteria, targets, estimates, limit)
    if not candidates:
        return _refuse_without_target(criteria, targets, estimates)
    options = [
        _option(state, rank, criteria, known)
        for rank, state in enumerate(candidates)
    ]
    chosen = _best(options, known)
    if chosen.expected_wait > _max_wait(chosen, criteria, estimates):
        return Refusal(
            RefusalReason.NO_CAPACITY, _retry_after(chosen, criteria.admission)
        )
    return chosen


def _retry_after(chosen: Choice, admission: Admission | None) -> timedelta:
    """Return the time in which the backlog at the target is worked off."""
    backlog = max(chosen.expected_wait, RETRY_AFTER_MIN)
    if admission is not None:
        backlog *= 1 + admission.retry_spread
    return min(backlog, RETRY_AFTER_MAX)


def rate_targets(
    criteria: PlacementCriteria,
    targets: ServiceTargets,
    estimates: ServiceEstimates,
) -> Sequence[RatedTarget]:
    """Return the first targets of the order, and those that may be chosen.

    They are rated as :func:`choose_target` does it.
    """
    known = _knowledge(criteria, targets, estimates)
    limit = max(MAX_CANDIDATES, known.homes)
    candidates = _candidates(criteria, targets, estimates, limit)
    order = targets.order(
        criteria.object_key,
        criteria.region,
        criteria.evacuated_availability_zones,
    )
    rated: list[RatedTarget] = []
    for position, state in enumerate(order):
        is_candidate = state in candidates
        if position < limit or is_candidate:
            # The rank of a target that is no candidate is behind all others.
            rank = candidates.index(state) if is_candidate else len(order)
            rated.append(
                RatedTarget(
                    _option(state, rank, criteria, known),
                    known.load(state),
                    is_candidate,
                )
            )
    return rated


def _max_wait(
    chosen: Choice, criteria: PlacementCriteria, estimates: ServiceEstimates
) -> timedelta:
    """Return the expected wait above which the request is rejected.

    A request that is late anyway, because its object runs cold, may wait as
    long as one that is late because of its wait.
    """
    in_objective = criteria.objective_left - chosen.expected_run
    before_timeout = max(
        timedelta(),
        criteria.time_left - chosen.expected_run * RUN_TIME_MARGIN,
    )
    late = estimates.mean_run_time * LATE_WAIT_FRACTION
    longest = max(in_objective, min(late, before_timeout))
    if criteria.admission is None:
        return longest
    return longest * criteria.admission.wait_fraction


def _knowledge(
    criteria: PlacementCriteria,
    targets: ServiceTargets,
    estimates: ServiceEstimates,
) -> _Knowledge:
    demand = criteria.demand
    if demand is None or not targets.states:
        return _Knowledge(estimates)
    usual_loads = targets.usual_loads(estimates.now)
    homes = _count_homes(criteria, demand.share, targets, usual_loads)
    return _Knowledge(estimates, usual_loads, homes, demand.turn)


def _count_homes(
    criteria: PlacementCriteria,
    share: float,
    targets: ServiceTargets,
    usual_loads: Mapping[RegionId, float],
) -> int:
    """Return how many targets the requests for the object fill.

    All homes are in the region of the first target, so that no request changes
    region because of a change in demand.
    """
    order = targets.order(
        criteria.object_key,
        criteria.region,
        criteria.evacuated_availability_zones,
    )
    if not share or not order:
        return 1
    first = order[0].entry
    count = targets.count_in(first.region)
    load = share * usual_loads.get(first.region, 0) * count
    homes = math.ceil(load / (max(1, first.slots) * HOME_LOAD_FRACTION))
    return max(1, min(homes, count, MAX_HOMES))


def _option(
    state: TargetState,
    rank: int,
    criteria: PlacementCriteria,
    known: _Knowledge,
) -> Choice:
    familiarity = Familiarity.OTHER
    is_home = known.homes > 1 and rank < known.homes
    if is_home or state.knows(criteria.object_key):
        familiarity = Familiarity.REPEATED
    elif state.has_started(criteria.object_key):
        familiarity = Familiarity.STARTED
    elif rank == 0:
        familiarity = Familiarity.PREFERRED
    estimates = known.estimates
    slowdown = state.slowdown.at(estimates.now)
    return Choice(
        state,
        rank,
        familiarity,
        known.expected_wait(state) * slowdown,
        estimates.run_times.expected(familiarity) * slowdown,
    )


def _best(options: Sequence[Choice], known: _Knowledge) -> Choice:
    """Return the first target unless another one is clearly better.

    A target that this VM knows to be warm for the object is used when it
    responds earlier. Any other one has to run the object cold, which takes
    time from its own objects, and is used only while it has slots to spare.
    """
    turn = known.turn % known.homes
    in_turn = (*options[turn : known.homes], *options[:turn])
    best = min(
        (
            option
            for option in (*in_turn, *options[known.homes :])
            if option.rank < known.homes or option.familiarity in _SENT_BEFORE
        ),
        key=lambda option: option.expected_duration,
    )
    mean_run_time = known.estimates.mean_run_time
    if best.expected_wait <= mean_run_time * MAX_WARM_WAIT_FRACTION:
        return best
    for option in options[known.homes :]:
        slots = option.state.entry.slots
        if known.load(option.state) <= slots * SPILLOVER_LOAD_FRACTION:
            return option
    return best


def _candidates(
    criteria: PlacementCriteria,
    targets: ServiceTargets,
    estimates: ServiceEstimates,
    limit: int,
) -> Sequence[TargetState]:
    """Return the first allowed targets, failing and silent ones last."""
    now = estimates.now
    failure_limit = targets.failure_limit(now)
    healthy: list[TargetState] = []
    failing: list[TargetState] = []
    order = targets.order(
        criteria.object_key,
        criteria.region,
        criteria.evacuated_availability_zones,
    )
    for state in order:
        if not may_receive(state, criteria, now):
            continue
        if _is_failing(state, failure_limit, estimates):
            failing.append(state)
            continue
        healthy.append(state)
        if len(healthy) == limit:
            return healthy
    return (healthy + failing)[:limit]


def _is_failing(
    state: TargetState, failure_limit: float, estimates: ServiceEstimates
) -> bool:
    now = estimates.now
    return state.failure_rate(now) > failure_limit or state.is_silent(
        now, estimates.mean_run_time
    )


def _refuse_without_target(
    criteria: PlacementCriteria,
    targets: ServiceTargets,
    estimates: ServiceEstimates,
) -> Refusal:
    """Reject a request that no target may receive now.

    If only request limits are in the way, the client may return when the limits
    allow its request and those of the callers that return before.
    """
    now = estimates.now
    order = targets.order(
        criteria.object_key,
        criteria.region,
        criteria.evacuated_availability_zones,
    )
    allowed = [state for state in order if is_allowed(state, criteria, now)]
    if not allowed:
        return _refuse_unusable(criteria, order, now)
    wait = criteria.request_limits.wait_of_next(
        allowed, now, estimates.returning_callers
    )
    retry_after = NO_TARGET_RETRY_AFTER if wait is None else wait
    return Refusal(
        RefusalReason.LIMITED,
        min(max(retry_after, RETRY_AFTER_MIN), RETRY_AFTER_MAX),
    )


def _refuse_unusable(
    criteria: PlacementCriteria, order: Sequence[TargetState], now: timedelta
) -> Refusal:
    left = pause_left(order, criteria, now)
    if left is None:
        return Refusal(RefusalReason.NO_TARGET, NO_TARGET_RETRY_AFTER)
    return Refusal(
        RefusalReason.PAUSED,
        min(max(left, RETRY_AFTER_MIN), RETRY_AFTER_MAX),
    )
