"""Chooses the target of a request, or rejects the request at once.

Clients request the same objects repeatedly, and a target that has served an
object recently serves it several times faster (it is warm for the object).
Weighted rendezvous hashing therefore gives each object a fixed order of
targets, so that all entry VMs of a region send it to the same target; a later
target is used when a request would wait at the first one. The order does not
depend on load, so each region's share of the objects stays constant while
traffic rises, falls and moves.

When more requests arrive than the targets can run, those that wait in the
targets' queues time out: their work is lost and targets never become warm for
their objects, so the overload outlasts its cause. A request is therefore
rejected as soon as the few targets of its object would respond after the
route's latency objective.
"""

from collections.abc import Sequence
from dataclasses import dataclass, field
from datetime import timedelta
from enum import Enum

from plantainstand_core import AvailabilityZoneId, RegionId, TargetId

from plantainstand_placement._service_targets import ServiceTargets
from plantainstand_placement._target import TargetState

MAX_CANDIDATES = 4
"""Targets of an object's order that are considered. Each further target would
first have to become warm for the object, which costs as much as several warm
requests."""

FIRST_TARGET_WAIT_FRACTION = 1.0
"""Expected wait, as a fraction of the service time, up to which a request goes
to the first target of its order rather than to a later one."""

SPILLOVER_LOAD_FRACTION = 0.5
"""Load, as a fraction of its slots, up to which a later target is used. When
all targets are busy, spreading an object over more of them only adds cold,
slow requests."""

FREE_SLOT_MARGIN = 0.5
"""Fraction of a slot that must be free, because the load that other VMs cause
is only estimated."""

RETRY_AFTER_MIN = timedelta(milliseconds=100)
"""Shortest Retry-After of a rejected request."""

RETRY_AFTER_MAX = timedelta(seconds=1)
"""Longest Retry-After; waits beyond it cannot be estimated."""


class RefusalReason(Enum):
    """Why no target was chosen."""

    NO_TARGET = 'no target'
    """No target of the service may receive the request."""

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

    expected_wait: timedelta
    """Estimated time in the target's queue."""


@dataclass(frozen=True, slots=True)
class PlacementCriteria:
    """Criteria by which the target of one request is chosen."""

    object_key: bytes
    """Identifies the object; equal for all requests for it."""

    region: RegionId
    """Region of the entry VM."""

    home_regions: tuple[RegionId, ...]
    """Regions whose targets may serve the request; empty for all."""

    max_wait: timedelta
    """Longest time in a target's queue with which the request is sent."""

    cold_limit: int
    """Requests per second that this VM may send to one cold target."""

    evacuated_availability_zones: frozenset[AvailabilityZoneId] = frozenset()
    """Availability zones whose targets receive no requests."""

    tried_targets: frozenset[TargetId] = field(default_factory=frozenset)
    """Targets to which the request has been sent already."""


def choose_target(
    criteria: PlacementCriteria,
    targets: ServiceTargets,
    service_time: timedelta,
    now: timedelta,
) -> Choice | Refusal:
    """Choose one of a service's targets.

    ``service_time`` is the usual time from sending a request to the response;
    ``now`` is a monotonic time.
    """
    candidates = _candidates(criteria, targets, service_time, now)
    if not candidates:
        return Refusal(RefusalReason.NO_TARGET, RETRY_AFTER_MAX / 2)
    rank = _best_rank(candidates, service_time, now)
    wait = _expected_wait(candidates[rank], service_time, now)
    if wait > criteria.max_wait:
        retry_after = min(max(wait, RETRY_AFTER_MIN), RETRY_AFTER_MAX)
        return Refusal(RefusalReason.NO_CAPACITY, retry_after)
    return Choice(candidates[rank], rank, wait)


def _candidates(
    criteria: PlacementCriteria,
    targets: ServiceTargets,
    service_time: timedelta,
    now: timedelta,
) -> Sequence[TargetState]:
    """Return the first allowed targets, failing and silent ones last."""
    failure_limit = targets.failure_limit(now)
    healthy: list[TargetState] = []
    failing: list[TargetState] = []
    order = targets.order(
        criteria.object_key,
        criteria.region,
        criteria.evacuated_availability_zones,
    )
    for state in order:
        if not _is_allowed(state, criteria, now):
            continue
        if state.failure_rate(now) > failure_limit or state.is_silent(
            now,
            service_time,
        ):
            failing.append(state)
            continue
        healthy.append(state)
        if len(healthy) == MAX_CANDIDATES:
            return healthy
    return (healthy + failing)[:MAX_CANDIDATES]


def _best_rank(
    candidates: Sequence[TargetState],
    service_time: timedelta,
    now: timedelta,
) -> int:
    max_first_wait = service_time * FIRST_TARGET_WAIT_FRACTION
    if _expected_wait(candidates[0], service_time, now) <= max_first_wait:
        return 0
    for rank, state in enumerate(candidates[1:], start=1):
        if state.load(now) <= state.entry.slots * SPILLOVER_LOAD_FRACTION:
            return rank
    return 0


def _is_allowed(
    state: TargetState, criteria: PlacementCriteria, now: timedelta
) -> bool:
    entry = state.entry
    if entry.target in criteria.tried_targets:
        return False
    if criteria.home_regions and entry.region not in criteria.home_regions:
        return False
    if state.is_cold(now) and not state.cold_limiter.allows(
        now, criteria.cold_limit
    ):
        return False
    return not state.is_backing_off(now)


def _expected_wait(
    state: TargetState,
    service_time: timedelta,
    now: timedelta,
) -> timedelta:
    slots = max(1, state.entry.slots)
    ahead = state.load(now) + FREE_SLOT_MARGIN - slots
    return max(timedelta(), service_time * (ahead / slots))
