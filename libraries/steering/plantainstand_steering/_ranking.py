"""Order of the candidates for one request."""

import math
from bisect import insort
from collections.abc import Collection, Iterator, Sequence
from datetime import timedelta
from operator import itemgetter
from random import Random
from typing import TypeAlias

from plantainstand_steering._candidate import CandidateId, RankedCandidate
from plantainstand_steering._estimate import (
    Estimate,
    has_free_slot,
    refresh_cost,
)
from plantainstand_steering._view import ServiceView

# A first attempt, a retry and a hedge.
_DEFAULT_LIMIT = 3
# VMs with the same reports would otherwise all pick the same candidate.
_JITTER = 0.1
# A cost changes with age only; this is short against the report interval.
_COST_LIFETIME_SECONDS = 0.05

_Scored: TypeAlias = tuple[float, Estimate]
_cost_of = itemgetter(0)


def rank_candidates(
    view: ServiceView,
    random_source: Random,
    *,
    queued: int = 0,
    excluded: Collection[CandidateId] = (),
    limit: int = _DEFAULT_LIMIT,
) -> Sequence[RankedCandidate]:
    """Return up to ``limit`` candidates, the cheapest first.

    ``queued`` is the number of requests of the service that wait at this VM
    for a slot of a local target. ``excluded`` are candidates that the request
    has already tried.
    """
    now = view.clock.monotonic().total_seconds()
    local_wait = (queued + 1) / max(view.local_slots, 1)
    costs = _costs(view, excluded, now, local_wait)
    scored: list[_Scored] = []
    bound = math.inf
    for estimate, certain in costs:
        # The list is ordered by delay, and no cost is below the delay.
        if estimate.delay >= bound:
            break
        cost = certain * (1 + _JITTER * random_source.random())
        if cost < bound:
            insort(scored, (cost, estimate), key=_cost_of)
            bound = _cut(scored, limit)
    return tuple(
        RankedCandidate(
            ranked.candidate,
            timedelta(seconds=cost),
            has_free_slot(ranked, now),
        )
        for cost, ranked in scored
    )


def _cut(scored: list[_Scored], limit: int) -> float:
    if len(scored) > limit:
        scored.pop()
    return scored[-1][0] if len(scored) == limit else math.inf


def _costs(
    view: ServiceView,
    excluded: Collection[CandidateId],
    now: float,
    local_wait: float,
) -> Iterator[tuple[Estimate, float]]:
    for estimate in view.nearest_first:
        if estimate.candidate.candidate_id not in excluded:
            yield estimate, _cost(estimate, now, local_wait)


def _cost(estimate: Estimate, now: float, local_wait: float) -> float:
    if now > estimate.valid_until:
        refresh_cost(estimate, now)
        estimate.valid_until = now + _COST_LIFETIME_SECONDS
    if estimate.is_vm or estimate.in_flight < estimate.slots:
        return estimate.cost
    return estimate.cost + local_wait * estimate.service_time
