"""How large a share of requests any placement could answer in objective.

An upper bound for a day, from arrivals, slots and service times alone. It
takes every choice as perfect: no queue while a slot is free anywhere, no
object served cold at more than one target, no request lost on the way. What
remains are objects that have to be run cold once, arrivals beyond the slots,
and the time in which no entry VM runs.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from datetime import timedelta

_SECOND = timedelta(seconds=1)


@dataclass(frozen=True)
class ServiceLoad:
    """One service during a day."""

    arrivals_per_second: float
    """Requests of clients, repeats left out."""

    slots: int
    """Requests that all its targets run at once."""

    objects: int
    """Objects that its requests concern, each asked for alike."""

    cold_run: timedelta
    """Run at a target that has not served the object lately."""

    warm_run: timedelta
    """Run at a target that has."""

    objective: timedelta


@dataclass(frozen=True)
class DaySketch:
    """What of a day no placement can change."""

    duration: timedelta
    cold_shares: Sequence[float]
    """For each event that moves or cools targets, the start of the day among
    them: the share of all objects that must be run cold once more."""

    outage: timedelta
    """Time in which no entry VM can run."""

    load_factors: Sequence[tuple[timedelta, float]] = ()
    """Times in which the arrivals are multiplied, for example by a burst."""


def objective_share_bound(
    services: Iterable[ServiceLoad],
    day: DaySketch,
) -> float:
    """Return the largest share of a day's requests in objective, 0 to 1."""
    arrived = float(0)
    lost = float(0)
    for load in services:
        total = load.arrivals_per_second * _loaded_seconds(day)
        arrived += total
        lost += min(total, _lost(load, day))
    return 1 - lost / arrived


def _lost(load: ServiceLoad, day: DaySketch) -> float:
    return (
        sum(day.cold_shares) * _lost_to_cold_objects(load)
        + _lost_to_outage(load, day)
        + _lost_beyond_slots(load, day)
    )


def _lost_to_cold_objects(load: ServiceLoad) -> float:
    """Return the requests that come before their object's first run ends."""
    if load.cold_run <= load.objective:
        return 0
    during_first_run = load.arrivals_per_second * (load.cold_run / _SECOND)
    return load.objects + during_first_run


def _lost_to_outage(load: ServiceLoad, day: DaySketch) -> float:
    spare = load.objective - load.warm_run
    hopeless = max(timedelta(), day.outage - spare)
    return load.arrivals_per_second * (hopeless / _SECOND)


def _lost_beyond_slots(load: ServiceLoad, day: DaySketch) -> float:
    per_second = load.slots / (load.warm_run / _SECOND)
    return sum(
        max(float(0), load.arrivals_per_second * factor - per_second)
        * (duration / _SECOND)
        for duration, factor in _phases(day)
    )


def _loaded_seconds(day: DaySketch) -> float:
    return sum(
        (duration / _SECOND) * factor for duration, factor in _phases(day)
    )


def _phases(day: DaySketch) -> Sequence[tuple[timedelta, float]]:
    special = sum((phase[0] for phase in day.load_factors), timedelta())
    return ((day.duration - special, 1), *day.load_factors)
