"""Statistics of one candidate and its expected cost, in seconds."""

import math
from dataclasses import dataclass

from plantainstand_steering._candidate import (
    AttemptResult,
    Candidate,
    CandidateKind,
    LoadReport,
)

# An observation loses two thirds of its weight in this time, so a candidate
# that was left is tried again after a few of these periods.
_OBSERVATION_DECAY_SECONDS = 5.0
# Reports are exchanged every 0.5 s; one that missed three exchanges counts
# for little.
_REPORT_DECAY_SECONDS = 0.7
_FRESH_REPORT_SECONDS = 1.5
# Weights in the mean of observation, report and assumption. One observation
# equals one fresh credible report; the sum of many outweighs it.
_OWN_WEIGHT = 1.0
_REPORT_WEIGHT = 6.0
_PRIOR_WEIGHT = 0.5
_MAX_OBSERVATIONS = 30.0
# Wait assumed without any report, as a multiple of the service time.
_UNKNOWN_WAIT = 0.5
# A failed attempt costs the caller about this many service times.
_FAILURE_COST = 8.0
_MAX_FAILURE_SHARE = 0.95
# Part of a service time added at full use, so that equal targets share load.
_SPREAD = 0.1
# A refusal says that the wait would have been at least this many service
# times.
_REFUSED_WAIT = 3.0
# No end of any attempt for this time and this many usual latencies shows a
# lost candidate before its calls time out.
_MIN_SILENCE_SECONDS = 0.1
_SILENT_TIMES = 3
_TRUST_STEP = 0.15
_MIN_TRUST = 0.02
_MAX_USE = 0.99
_ANSWERS = frozenset((AttemptResult.ANSWERED, AttemptResult.REFUSED))


@dataclass(slots=True, eq=False)
class Estimate:
    """Mutable statistics of one candidate; owned by a service's view."""

    candidate: Candidate
    delay: float
    service_time: float
    """Mean over the service's candidates, or the stated one."""

    slots: int
    is_vm: bool
    in_flight: int = 0
    started_since_report: int = 0
    reported_busy: float = 0
    reported_at: float = -math.inf
    trust: float = 1.0
    """Share of the report's weight that own results have left it."""

    observed: float = 0
    """Mean latency of own attempts."""

    failure_share: float = 0
    observations: float = 0
    """Number of own attempts, decayed with age."""

    observed_at: float = 0
    started_at: float = -math.inf
    unanswered_since: float = math.inf
    """Time from which attempts are in flight and none was answered.

    A silent candidate keeps it when its attempts have timed out or were
    cancelled, until it answers.
    """

    cost: float = 0
    """Cost at the last refresh, with its jitter."""

    is_stale: bool = True
    """Whether facts have changed since the last refresh."""

    is_touched: bool = False
    """Whether facts have changed since the last sort."""


def new_estimate(candidate: Candidate) -> Estimate:
    """Return the statistics of a candidate that was never used."""
    return Estimate(
        candidate=candidate,
        delay=candidate.network_delay.total_seconds(),
        service_time=candidate.service_time.total_seconds(),
        slots=candidate.slots,
        is_vm=candidate.kind is CandidateKind.VM,
    )


def replace_candidate(estimate: Estimate, candidate: Candidate) -> None:
    """Take over changed catalogue facts; observations stay."""
    estimate.candidate = candidate
    estimate.delay = candidate.network_delay.total_seconds()
    estimate.slots = candidate.slots


def accept_report(estimate: Estimate, report: LoadReport) -> None:
    """Take over a report unless a newer one is known."""
    measured_at = report.measured_at.total_seconds()
    if measured_at <= estimate.reported_at:
        return
    busy = report.total_slots - report.free_slots + report.queued
    estimate.reported_busy = max(0, busy)
    estimate.reported_at = measured_at
    estimate.started_since_report = 0


def record_start(estimate: Estimate, now: float) -> None:
    """Count an own attempt as in flight."""
    if not (estimate.in_flight or _is_silent(estimate, now)):
        estimate.unanswered_since = now
    estimate.started_at = now
    estimate.in_flight += 1
    estimate.started_since_report += 1


def record_end(estimate: Estimate, result: AttemptResult, now: float) -> None:
    """Count an own attempt as no longer in flight."""
    estimate.in_flight = max(estimate.in_flight - 1, 0)
    is_silent = _is_silent(estimate, now)
    if result in _ANSWERS:
        estimate.unanswered_since = now if estimate.in_flight else math.inf
    elif not (estimate.in_flight or is_silent):
        estimate.unanswered_since = math.inf


def record_result(
    estimate: Estimate,
    result: AttemptResult,
    latency: float,
    now: float,
) -> None:
    """Add the end of an own attempt to the statistics."""
    if result is AttemptResult.REFUSED:
        refused_wait = _REFUSED_WAIT * estimate.service_time
        latency += refused_wait + estimate.service_time
    _adjust_trust(estimate, latency, now)
    fade = _fade(now - estimate.observed_at)
    count = min(estimate.observations * fade + 1, _MAX_OBSERVATIONS)
    failed = 1 if result is AttemptResult.FAILED else 0
    estimate.observed += (latency - estimate.observed) / count
    estimate.failure_share += (failed - estimate.failure_share) / count
    estimate.observations = count
    estimate.observed_at = now


def _adjust_trust(estimate: Estimate, latency: float, now: float) -> None:
    if now - estimate.reported_at > _FRESH_REPORT_SECONDS:
        return
    scale = estimate.service_time
    observed_wait = latency - estimate.delay - scale
    error = abs(reported_wait(estimate) - max(observed_wait, 0))
    agreement = 1 if error <= 2 * scale else 0
    moved = estimate.trust + (agreement - estimate.trust) * _TRUST_STEP
    estimate.trust = max(moved, _MIN_TRUST)


def reported_wait(estimate: Estimate) -> float:
    """Return the wait that the last report and own starts imply.

    Uses Sakasegawa's approximation of the mean wait with several servers,
    ``S * u ** (sqrt(2 * (c + 1)) - 1) / (c * (1 - u))``, and the length of
    the queue when no slot is free.
    """
    slots = max(estimate.slots, 1)
    busy = estimate.reported_busy + estimate.started_since_report
    busy = max(busy, estimate.in_flight)
    use = min(busy / slots, _MAX_USE)
    power = math.sqrt(2 * (slots + 1)) - 1
    random_wait = math.pow(use, power) / (slots * (1 - use))
    queue_wait = max(busy - slots + 1, 0) / slots
    return estimate.service_time * max(min(random_wait, 1), queue_wait)


def has_free_slot(estimate: Estimate, now: float) -> bool:
    """Return whether a slot is known to be free."""
    if not estimate.is_vm:
        return estimate.in_flight < estimate.slots
    busy = estimate.reported_busy + estimate.started_since_report
    is_fresh = now - estimate.reported_at <= _FRESH_REPORT_SECONDS
    is_credible = 2 * estimate.trust >= 1
    return is_fresh and is_credible and busy < estimate.slots


def refresh_cost(estimate: Estimate, now: float) -> float:
    """Return the cost without the wait for own slots."""
    base = estimate.delay + estimate.service_time
    own_weight = _OWN_WEIGHT * _count_at(estimate, now)
    observed = max(estimate.observed, estimate.delay)
    if estimate.is_vm:
        expected, weight = _expected_of_vm(estimate, now)
    else:
        use = estimate.in_flight / max(estimate.slots, 1)
        spread = use * _SPREAD * estimate.service_time
        expected, weight = base + spread, 1
        observed += spread
    total = own_weight * observed + weight * expected
    return total / (own_weight + weight) + _risk(estimate, now)


def _expected_of_vm(estimate: Estimate, now: float) -> tuple[float, float]:
    age = max(now - estimate.reported_at, 0)
    fade = math.exp(-age / _REPORT_DECAY_SECONDS)
    weight = _REPORT_WEIGHT * estimate.trust * fade
    unknown_wait = _UNKNOWN_WAIT * estimate.service_time
    wait = weight * reported_wait(estimate) + _PRIOR_WEIGHT * unknown_wait
    weight += _PRIOR_WEIGHT
    base = estimate.delay + estimate.service_time
    return base + wait / weight, weight


def _count_at(estimate: Estimate, now: float) -> float:
    return estimate.observations * _fade(now - estimate.observed_at)


def _fade(age: float) -> float:
    return math.exp(-age / _OBSERVATION_DECAY_SECONDS)


def _is_silent(estimate: Estimate, now: float) -> bool:
    silence = now - estimate.unanswered_since
    usual = estimate.delay + estimate.service_time
    return silence > _MIN_SILENCE_SECONDS + _SILENT_TIMES * usual


def _risk(estimate: Estimate, now: float) -> float:
    if _is_silent(estimate, now):
        # It is tried again when the time since the last start is long.
        fade = _fade(now - estimate.started_at)
        return fade * _FAILURE_COST * estimate.service_time
    if not estimate.failure_share:
        return 0
    count = _count_at(estimate, now)
    share = estimate.failure_share * count / (count + 1)
    share = min(share, _MAX_FAILURE_SHARE)
    return share / (1 - share) * _FAILURE_COST * estimate.service_time
