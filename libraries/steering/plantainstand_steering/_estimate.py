"""Load and latency statistics of a candidate, and its expected cost.

Times and costs are in seconds.
"""

import math
from dataclasses import dataclass

from plantainstand_steering._candidate import (
    AttemptResult,
    Candidate,
    CandidateKind,
    LoadReport,
)

# Time constant of the exponential decay of observations (about two thirds of
# the weight), so an avoided candidate is tried again after a few periods.
_OBSERVATION_DECAY_SECONDS = 5.0
# Reports are exchanged every 0.5 s; a report that is three exchanges old has
# little weight.
_REPORT_DECAY_SECONDS = 0.7
_FRESH_REPORT_SECONDS = 1.5
# Weights of one observation, of a fresh and fully trusted report, and of the
# assumed wait. The sum of many observations outweighs a report.
_OBSERVATION_WEIGHT = 1.0
_REPORT_WEIGHT = 6.0
_ASSUMPTION_WEIGHT = 0.5
_MAX_OBSERVATION_COUNT = 30.0
# Wait that is assumed without a report.
_ASSUMED_WAIT_SERVICE_TIMES = 0.5
# Cost to the caller of a failed attempt.
_FAILURE_COST_SERVICE_TIMES = 8.0
_MAX_FAILURE_RATE = 0.95
# Added when all slots are in use, so that equal targets share the load.
_FULL_USE_COST_SERVICE_TIMES = 0.1
# Lower bound of the wait at a candidate that refuses a request.
_REFUSED_WAIT_SERVICE_TIMES = 3.0
# A candidate is unresponsive when no attempt was answered for this time plus
# this many expected latencies; this detects a loss before the calls time out.
_UNRESPONSIVE_MIN_SECONDS = 0.1
_UNRESPONSIVE_LATENCY_COUNT = 3
_TRUST_SMOOTHING_FACTOR = 0.15
_MIN_REPORT_TRUST = 0.02
_MAX_UTILISATION = 0.99
_RESPONSIVE_RESULTS = frozenset((AttemptResult.ANSWERED, AttemptResult.REFUSED))


@dataclass(slots=True, eq=False)
class Estimate:
    """Mutable statistics of one candidate, owned by a `ServiceView`."""

    candidate: Candidate
    delay: float
    service_time: float
    """Mean over the service's local targets, else the configured value."""

    slots: int
    is_vm: bool
    in_flight: int = 0
    started_since_report: int = 0
    reported_busy: float = 0
    reported_at: float = -math.inf
    report_trust: float = 1.0
    """Factor on the weight of reports, between 0 and 1.

    Falls when the reported wait disagrees with observed latencies.
    """

    mean_latency: float = 0
    """Mean latency of this VM's attempts."""

    failure_rate: float = 0
    observation_count: float = 0
    """Number of this VM's attempts, decayed with age."""

    observed_at: float = 0
    started_at: float = -math.inf
    unanswered_since: float = math.inf
    """Time since when attempts are in flight and none was answered.

    An unresponsive candidate keeps this time after its attempts have timed
    out or were cancelled, until it answers.
    """

    cost: float = 0
    """Cost at the last refresh, with jitter."""

    is_cost_stale: bool = True
    """Whether the statistics have changed since the last refresh."""

    is_changed: bool = False
    """Whether the statistics have changed since the last sort."""


def new_estimate(candidate: Candidate) -> Estimate:
    """Return the initial statistics of a candidate."""
    return Estimate(
        candidate=candidate,
        delay=candidate.network_delay.total_seconds(),
        service_time=candidate.service_time.total_seconds(),
        slots=candidate.slots,
        is_vm=candidate.kind is CandidateKind.VM,
    )


def replace_candidate(estimate: Estimate, candidate: Candidate) -> None:
    """Update the candidate's properties; observations are kept."""
    estimate.candidate = candidate
    estimate.delay = candidate.network_delay.total_seconds()
    estimate.slots = candidate.slots


def accept_report(estimate: Estimate, report: LoadReport) -> None:
    """Store a load report unless a newer one is known."""
    measured_at = report.measured_at.total_seconds()
    if measured_at <= estimate.reported_at:
        return
    busy = report.total_slots - report.free_slots + report.queued
    estimate.reported_busy = max(0, busy)
    estimate.reported_at = measured_at
    estimate.started_since_report = 0


def record_start(estimate: Estimate, now: float) -> None:
    """Count an attempt of this VM as in flight."""
    if not (estimate.in_flight or _is_unresponsive(estimate, now)):
        estimate.unanswered_since = now
    estimate.started_at = now
    estimate.in_flight += 1
    estimate.started_since_report += 1


def record_end(estimate: Estimate, result: AttemptResult, now: float) -> None:
    """Count an attempt of this VM as no longer in flight."""
    estimate.in_flight = max(estimate.in_flight - 1, 0)
    was_unresponsive = _is_unresponsive(estimate, now)
    if result in _RESPONSIVE_RESULTS:
        estimate.unanswered_since = now if estimate.in_flight else math.inf
    elif not (estimate.in_flight or was_unresponsive):
        estimate.unanswered_since = math.inf


def record_result(
    estimate: Estimate,
    result: AttemptResult,
    latency: float,
    now: float,
) -> None:
    """Add the result of an attempt of this VM to the statistics."""
    if result is AttemptResult.REFUSED:
        refused_wait = _REFUSED_WAIT_SERVICE_TIMES * estimate.service_time
        latency += refused_wait + estimate.service_time
    _adjust_trust(estimate, latency, now)
    decay = _decay_factor(now - estimate.observed_at)
    count = min(estimate.observation_count * decay + 1, _MAX_OBSERVATION_COUNT)
    failed = 1 if result is AttemptResult.FAILED else 0
    estimate.mean_latency += (latency - estimate.mean_latency) / count
    estimate.failure_rate += (failed - estimate.failure_rate) / count
    estimate.observation_count = count
    estimate.observed_at = now


def _adjust_trust(estimate: Estimate, latency: float, now: float) -> None:
    if now - estimate.reported_at > _FRESH_REPORT_SECONDS:
        return
    service_time = estimate.service_time
    observed_wait = latency - estimate.delay - service_time
    error = abs(reported_wait(estimate) - max(observed_wait, 0))
    agreement = 1 if error <= 2 * service_time else 0
    updated = (
        estimate.report_trust
        + (agreement - estimate.report_trust) * _TRUST_SMOOTHING_FACTOR
    )
    estimate.report_trust = max(updated, _MIN_REPORT_TRUST)


def reported_wait(estimate: Estimate) -> float:
    """Return the wait implied by the last report and later own attempts.

    Uses Sakasegawa's approximation of the mean wait in a queue with ``c``
    servers, service time ``S`` and utilisation ``u``,
    ``S * u ** (sqrt(2 * (c + 1)) - 1) / (c * (1 - u))``, and the length of
    the queue when no slot is free.
    """
    slots = max(estimate.slots, 1)
    busy = estimate.reported_busy + estimate.started_since_report
    busy = max(busy, estimate.in_flight)
    utilisation = min(busy / slots, _MAX_UTILISATION)
    exponent = math.sqrt(2 * (slots + 1)) - 1
    random_wait = math.pow(utilisation, exponent) / (slots * (1 - utilisation))
    queue_wait = max(busy - slots + 1, 0) / slots
    return estimate.service_time * max(min(random_wait, 1), queue_wait)


def has_free_slot(estimate: Estimate, now: float) -> bool:
    """Return whether an own slot is free, or a credible report says so."""
    if not estimate.is_vm:
        return estimate.in_flight < estimate.slots
    busy = estimate.reported_busy + estimate.started_since_report
    is_fresh = now - estimate.reported_at <= _FRESH_REPORT_SECONDS
    is_credible = 2 * estimate.report_trust >= 1
    return is_fresh and is_credible and busy < estimate.slots


def refresh_cost(estimate: Estimate, now: float) -> float:
    """Return the expected cost without the wait for slots of this VM."""
    base = estimate.delay + estimate.service_time
    observed_weight = _OBSERVATION_WEIGHT * _decayed_count(estimate, now)
    observed = max(estimate.mean_latency, estimate.delay)
    if estimate.is_vm:
        expected, weight = _expected_vm_latency(estimate, now)
    else:
        utilisation = estimate.in_flight / max(estimate.slots, 1)
        load_cost = (
            utilisation * _FULL_USE_COST_SERVICE_TIMES * estimate.service_time
        )
        expected, weight = base + load_cost, 1
        observed += load_cost
    total = observed_weight * observed + weight * expected
    return total / (observed_weight + weight) + _failure_cost(estimate, now)


def _expected_vm_latency(estimate: Estimate, now: float) -> tuple[float, float]:
    age = max(now - estimate.reported_at, 0)
    decay = math.exp(-age / _REPORT_DECAY_SECONDS)
    weight = _REPORT_WEIGHT * estimate.report_trust * decay
    assumed_wait = _ASSUMED_WAIT_SERVICE_TIMES * estimate.service_time
    wait = weight * reported_wait(estimate) + _ASSUMPTION_WEIGHT * assumed_wait
    weight += _ASSUMPTION_WEIGHT
    base = estimate.delay + estimate.service_time
    return base + wait / weight, weight


def _decayed_count(estimate: Estimate, now: float) -> float:
    return estimate.observation_count * _decay_factor(
        now - estimate.observed_at
    )


def _decay_factor(age: float) -> float:
    return math.exp(-age / _OBSERVATION_DECAY_SECONDS)


def _is_unresponsive(estimate: Estimate, now: float) -> bool:
    silence = now - estimate.unanswered_since
    expected_latency = estimate.delay + estimate.service_time
    return (
        silence
        > _UNRESPONSIVE_MIN_SECONDS
        + _UNRESPONSIVE_LATENCY_COUNT * expected_latency
    )


def _failure_cost(estimate: Estimate, now: float) -> float:
    if _is_unresponsive(estimate, now):
        # The cost decays with the time since the last attempt, so an
        # unresponsive candidate is tried again later.
        decay = _decay_factor(now - estimate.started_at)
        return decay * _FAILURE_COST_SERVICE_TIMES * estimate.service_time
    if not estimate.failure_rate:
        return 0
    count = _decayed_count(estimate, now)
    rate = estimate.failure_rate * count / (count + 1)
    rate = min(rate, _MAX_FAILURE_RATE)
    return (
        rate / (1 - rate) * _FAILURE_COST_SERVICE_TIMES * estimate.service_time
    )
