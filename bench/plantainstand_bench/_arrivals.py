"""Open-loop arrivals, drawn before the run from a fixed seed."""

import heapq
import random
from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass

from plantainstand_core import AvailabilityZoneId, ServiceId

from plantainstand_bench._deployment import Deployment, TrafficPlan
from plantainstand_bench._system_map import SystemMap


@dataclass(frozen=True)
class Arrival:
    """One request of one caller."""

    at_s: float
    """Seconds after the start of the load."""

    traffic: TrafficPlan
    caller: int
    """Number of the caller."""


def draw_arrivals(
    deployment: Deployment,
    rates: Mapping[ServiceId, float],
    callers: int,
    seed: int,
) -> Sequence[Arrival]:
    """Draw Poisson arrivals for the whole duration, in order of time.

    The rate rises linearly during the warm-up, so that cold targets do not
    start under the full load.
    """
    streams = [
        _stream(traffic, rates[traffic.service], callers, seed)
        for traffic in deployment.traffic
    ]
    merged = _ramp(
        heapq.merge(*streams, key=lambda arrival: arrival.at_s),
        deployment.warm_up_s,
        seed,
    )
    arrivals: list[Arrival] = []
    for arrival in merged:
        if arrival.at_s >= deployment.duration_s:
            break
        arrivals.append(arrival)
    return arrivals


def _ramp(
    arrivals: Iterable[Arrival],
    warm_up_s: float,
    seed: int,
) -> Iterator[Arrival]:
    source = random.Random(f'{seed}/ramp')
    for arrival in arrivals:
        is_warm = arrival.at_s >= warm_up_s
        if is_warm or source.random() < arrival.at_s / warm_up_s:
            yield arrival


def planned_rates(
    deployment: Deployment,
    load_factor: float,
) -> Mapping[ServiceId, float]:
    """Return the rates of the deployment file times the load factor."""
    return {
        traffic.service: traffic.requests_per_second * load_factor
        for traffic in deployment.traffic
    }


def occupancy_rates(
    deployment: Deployment,
    system_map: SystemMap,
    occupancy: float,
    lost_zone: AvailabilityZoneId | None,
) -> Mapping[ServiceId, float]:
    """Return the rates that keep a share of the remaining slots busy."""
    return {
        traffic.service: occupancy
        * system_map.slots_of(traffic.service, lost_zone)
        / deployment.target_plan(traffic.service).mean_seconds
        for traffic in deployment.traffic
    }


def _stream(
    traffic: TrafficPlan,
    rate: float,
    callers: int,
    seed: int,
) -> Iterator[Arrival]:
    source = random.Random(f'{seed}/{traffic.service}/{traffic.path}')
    moment = float(0)
    while rate > 0:
        moment += source.expovariate(rate)
        yield Arrival(moment, traffic, source.randrange(callers))
