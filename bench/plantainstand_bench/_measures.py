"""Latency percentiles, headroom and drain times of a run."""

from collections.abc import Iterable, Mapping, Sequence

import msgspec
from hdrh.histogram import HdrHistogram
from plantainstand_core import ServiceId, TrafficClass

from plantainstand_bench._journal import JournalEvent, JournalKind
from plantainstand_bench._records import CallerRecord, Outcome, RunLog

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


class Headroom(msgspec.Struct, frozen=True, kw_only=True):
    """Use of slots up to the first shed of the critical class."""

    highest_share: float
    """Highest share of the slots of the critical class in use, 0 to 1."""

    first_shed: float | None
    """Seconds since the epoch; absent when nothing was shed."""


class DrainTime(msgspec.Struct, frozen=True, kw_only=True):
    """How long a planned stop or a drain took."""

    subject: str
    seconds: float | None
    """Absent when it had not ended by the end of the run."""


class Measures(msgspec.Struct, frozen=True, kw_only=True):
    """All measures of a run."""

    latency: Mapping[str, Latency]
    """By class."""

    headroom: Headroom
    drain_times: Sequence[DrainTime]


def measure(log: RunLog, events: Sequence[JournalEvent]) -> Measures:
    """Compute the measures."""
    records = [
        record
        for record in log.records
        if record.scheduled >= log.measured_from
    ]
    return Measures(
        latency=measure_latency(records),
        headroom=measure_headroom(records, events, log.measured_from),
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


def measure_headroom(
    records: Sequence[CallerRecord],
    events: Iterable[JournalEvent],
    measured_from: float = 0,
) -> Headroom:
    """Return the highest share of the critical slots in use at one time.

    Only targets that have run are counted, and a restarted target starts
    with free slots.
    """
    critical = _critical_services(records)
    first_shed = _first_critical_shed(records)
    end = float('inf') if first_shed is None else first_shed
    in_use: dict[str, int] = {}
    slots: dict[str, int] = {}
    highest = float(0)
    for event in events:
        if event.service not in critical or event.time > end:
            continue
        in_use[event.target] = min(event.in_use, event.slots)
        slots[event.target] = event.slots
        if event.time >= measured_from:
            share = sum(in_use.values()) / sum(slots.values())
            highest = max(highest, share)
    return Headroom(highest_share=highest, first_shed=first_shed)


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
            seconds=_last_work(events, drain.targets, drain.announced),
        )
        for drain in log.drains
        if drain.targets
    ]
    return (*stops, *drains)


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


def _critical_services(
    records: Iterable[CallerRecord],
) -> frozenset[ServiceId]:
    return frozenset(
        record.service
        for record in records
        if record.traffic_class is TrafficClass.CRITICAL
    )


def _first_critical_shed(records: Iterable[CallerRecord]) -> float | None:
    sheds = (
        record.ended
        for record in records
        if record.outcome is Outcome.NOT_RUN
        and record.traffic_class is TrafficClass.CRITICAL
    )
    return min(sheds, default=None)


def _difference(later: float | None, earlier: float) -> float | None:
    return None if later is None else later - earlier


def _last_work(
    events: Iterable[JournalEvent],
    targets: Sequence[str],
    announced: float,
) -> float:
    """Return the time until the last target had no work in use."""
    ends = (
        event.time - announced
        for event in events
        if event.target in targets
        and event.event in _WORK_ENDS
        and event.time > announced
    )
    return max(ends, default=float(0))
