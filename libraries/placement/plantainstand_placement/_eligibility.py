"""Which targets may receive a request now, and which have to be asked."""

from collections.abc import Sequence
from datetime import timedelta
from itertools import islice

from plantainstand_placement._cold import COLD_WINDOW
from plantainstand_placement._criteria import PlacementCriteria
from plantainstand_placement._service_targets import ServiceTargets
from plantainstand_placement._target import TargetState

MAX_CANDIDATES = 4
"""Targets of an object's order that are considered. Each further target would
first have to become warm for the object, which costs as much as several warm
requests."""


def targets_to_probe(
    criteria: PlacementCriteria, targets: ServiceTargets, now: timedelta
) -> Sequence[TargetState]:
    """Return targets of a request that are to be asked whether they are cold.

    These are the ones among the first of the object's order that this VM takes
    for cold only because it would not know. A target that is known to be cold
    has nothing to add.
    """
    order = targets.order(
        criteria.object_key,
        criteria.region,
        criteria.evacuated_availability_zones,
    )
    usable = (state for state in order if _is_usable(state, criteria, now))
    return [
        state
        for state in islice(usable, MAX_CANDIDATES)
        if not state.is_cold(now)
        and not _is_state_known(state, criteria, now)
        and state.knowledge.is_probe_due(now)
    ]


def may_receive(
    state: TargetState, criteria: PlacementCriteria, now: timedelta
) -> bool:
    """Tell whether a target may receive the request now."""
    if not is_allowed(state, criteria, now):
        return False
    return criteria.request_limits.wait(state, now) == timedelta()


def is_allowed(
    state: TargetState, criteria: PlacementCriteria, now: timedelta
) -> bool:
    """Tell whether nothing but a stated request limit can be in the way."""
    if not _is_usable(state, criteria, now):
        return False
    limit = cold_limit(state, criteria, now)
    if limit is None:
        return True
    return state.sends.count(now - COLD_WINDOW) < limit


def _is_usable(
    state: TargetState, criteria: PlacementCriteria, now: timedelta
) -> bool:
    entry = state.entry
    if entry.target in criteria.tried_targets:
        return False
    if now < state.paused_until:
        return False
    limits = criteria.request_limits
    if limits.stated.leaving_since and limits.is_leaving(entry):
        return False
    if criteria.home_regions and entry.region not in criteria.home_regions:
        return False
    return not state.is_backing_off(now)


def cold_limit(
    state: TargetState, criteria: PlacementCriteria, now: timedelta
) -> int | None:
    """Return this VM's requests in a second to a target that may be cold.

    None for a target that is known to be warm.
    """
    if not state.is_cold(now) and _is_state_known(state, criteria, now):
        return None
    return criteria.cold_share.limit(state.order_seed)


def _is_state_known(
    state: TargetState, criteria: PlacementCriteria, now: timedelta
) -> bool:
    reading = criteria.list_reading
    return reading is None or state.knowledge.is_known(now, reading)


def pause_left(
    states: Sequence[TargetState], criteria: PlacementCriteria, now: timedelta
) -> timedelta | None:
    """Return the time until the first pause ends; None if there is none."""
    limits = criteria.request_limits
    ends = [
        state.paused_until
        for state in states
        if state.paused_until > now and not limits.is_leaving(state.entry)
    ]
    return min(ends) - now if ends else None
