"""Latency percentiles, headroom and drain times of a run."""

from collections.abc import Iterable, Mapping, Sequence

import msgspec
from hdrh.histogram import HdrHistogram
from plantainstand_core import TrafficClass

from plantainstand_bench._headroom import (
    Headroom,
    measure_headroom,
    measured_records,
)
from plantainstand_bench._journal import JournalEvent, JournalKind
from plantainstand_bench._records import (
    CallerRecord,
    Drain,
    Outcome,
    RunLog,
)

_LOWEST_MICROSECONDS = 1
_HIGHEST_MICROSECONDS = 600_000_000
_SIGNIFICANT_DIGITS = 3
_PERCENTILES = (50, 90, 99, 99.9)
_WORK_ENDS = frozenset((JournalKind.END, JournalKind.CANCEL))


class Latency(msgspec.Struct, frozen=True, kw_only=True):
    """Latency of the answered requests of one class."""

    answered: int
    percentiles_ms: Mapping[str, float]
    maximum_ms: float
    p99_with_failures_ms: float
    """99th percentile when each unanswered request counts as late.

    An unanswered request counts with its deadline, or with the time until
    its outcome if that is longer. Without it, a run that refuses its slow
    requests would look fast.
    """


class DrainTime(msgspec.Struct, frozen=True, kw_only=True):
    """How long a planned stop or a drain took."""

    subject: str
    seconds: float | None
    """Absent when it had not ended by the end of the run."""


class Measures(msgspec.Struct, frozen=True, kw_only=True):
    """All measures of a run."""

    latency: Mapping[str, Latency]
    """By class."""

    sending_delay_p99_ms: float
    """How late the tool itself sent; high values distort the latencies."""

    headroom: Headroom
    drain_times: Sequence[DrainTime]


def measure(log: RunLog, events: Sequence[JournalEvent]) -> Measures:
    """Compute the measures."""
    records = measured_records(log)
    return Measures(
        latency=measure_latency(records),
        sending_delay_p99_ms=_sending_delay(records),
        headroom=measure_headroom(log, events),
        drain_times=measure_drains(log, events),
    )


def measure_latency(
    records: Iterable[CallerRecord],
) -> Mapping[str, Latency]:
    """Return percentiles by class, from the scheduled arrivals."""
    by_class: dict[TrafficClass, list[CallerRecord]] = {}
    for record in records:
        by_class.setdefault(record.traffic_class, []).append(record)
    return {
        traffic_class.value: _latency_of(by_class[traffic_class])
        for traffic_class in TrafficClass
        if traffic_class in by_class
    }


def measure_drains(
    log: RunLog,
    events: Sequence[JournalEvent],
) -> Sequence[DrainTime]:
    """Return the time from each announcement to the end of its work."""
    stops = [
        DrainTime(
            subject=f'stop of vm/{stop.vm}',
            seconds=_difference(stop.exited, stop.started),
        )
        for stop in log.planned_stops
    ]
    drains = [
        DrainTime(
            subject=drain.subject,
            seconds=_last_work(events, drain),
        )
        for drain in log.drains
        if drain.targets
    ]
    return (*stops, *drains)


def _sending_delay(records: Iterable[CallerRecord]) -> float:
    delays = _new_histogram()
    for record in records:
        delay = record.begun - record.scheduled
        delays.record_value(_microseconds(delay * 1000))
    return _percentile(delays, 99)


def _new_histogram() -> HdrHistogram:
    return HdrHistogram(
        _LOWEST_MICROSECONDS,
        _HIGHEST_MICROSECONDS,
        _SIGNIFICANT_DIGITS,
    )


def _latency_of(records: Sequence[CallerRecord]) -> Latency:
    answered = _new_histogram()
    everything = _new_histogram()
    for record in records:
        milliseconds = record.latency_ms
        if record.outcome is Outcome.ANSWERED:
            answered.record_value(_microseconds(milliseconds))
        else:
            milliseconds = max(milliseconds, record.deadline_ms)
        everything.record_value(_microseconds(milliseconds))
    return Latency(
        answered=answered.get_total_count(),
        percentiles_ms={
            f'p{percentile}': _percentile(answered, percentile)
            for percentile in _PERCENTILES
        },
        maximum_ms=answered.get_max_value() / 1000,
        p99_with_failures_ms=_percentile(everything, 99),
    )


def _microseconds(milliseconds: float) -> int:
    return max(round(milliseconds * 1000), _LOWEST_MICROSECONDS)


def _percentile(histogram: HdrHistogram, percentile: float) -> float:
    return float(histogram.get_value_at_percentile(percentile)) / 1000


def _difference(later: float | None, earlier: float) -> float | None:
    return None if later is None else later - earlier


def _last_work(events: Iterable[JournalEvent], drain: Drain) -> float:
    """Return the time until the last target had no work in use."""
    withdrawn = drain.withdrawn or float('inf')
    ends = (
        event.time - drain.announced
        for event in events
        if event.target in drain.targets
        and event.event in _WORK_ENDS
        and drain.announced < event.time < withdrawn
    )
    return max(ends, default=float(0))
