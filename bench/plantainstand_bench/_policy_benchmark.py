"""Comparison of the steering policy with three baselines."""

import time
from collections import deque
from collections.abc import Callable, Mapping, Sequence
from datetime import timedelta
from functools import partial
from random import Random
from typing import TypeAlias

from plantainstand_core import AvailabilityZoneId, SystemClock, TrafficClass
from plantainstand_steering import (
    Attempt,
    AttemptResult,
    Candidate,
    CandidateId,
    CandidateKind,
    ServiceView,
    rank_candidates,
)

from plantainstand_bench._policy_baselines import (
    BaselineEntry,
    pick_least_in_flight,
    pick_random,
    pick_round_robin,
)
from plantainstand_bench._policy_exchange import Exchange
from plantainstand_bench._policy_model import (
    DEADLINE_SECONDS,
    LOSS_AT,
    LOSS_KNOWN_AT,
    LOST_ZONE,
    SLOTS,
    ZONE_OF_TARGET,
    ZONE_OF_VM,
    Arrival,
    EventLoop,
    ModelTarget,
    Recorder,
    arrivals,
)
from plantainstand_bench._policy_owner import SlotOwner
from plantainstand_bench._policy_steering import SteeringEntry

_LOAD = 0.9
_RUN_SECONDS = 25.0
_RAMP_FROM = 10.0
_CRITICAL_ONLY = (1, 0, 0)
_DECISIONS = 20_000
_MIX = (0.6, 0.25, 0.15)
_BASELINE_QUEUE = 18

_Run: TypeAlias = Callable[[Sequence[Arrival], int], Recorder]
_Pick: TypeAlias = Callable[
    [BaselineEntry, Sequence[ModelTarget]],
    ModelTarget,
]


def run_baseline(
    pick_name: str,
    requests: Sequence[Arrival],
    seed: int,
) -> Recorder:
    """Run the requests under a baseline."""
    picks: Mapping[str, _Pick] = {
        'random': partial(pick_random, Random(seed)),
        'round_robin': pick_round_robin,
        'least_in_flight': partial(pick_least_in_flight, Random(seed)),
    }
    loop = EventLoop()
    targets = _targets(loop, _BASELINE_QUEUE)
    recorder = Recorder(targets)
    entries = [
        BaselineEntry(vm, loop, targets, picks[pick_name], recorder)
        for vm, _ in enumerate(ZONE_OF_VM)
    ]
    _play(loop, requests, [entry.arrive for entry in entries], targets)
    return recorder


def run_steering(
    requests: Sequence[Arrival],
    seed: int,
    hedges: bool = True,
) -> Recorder:
    """Run the requests under the steering library."""
    loop = EventLoop()
    targets = _targets(loop, 0)
    recorder = Recorder(targets)
    owners = [
        SlotOwner(
            vm,
            loop,
            _shares(vm, targets),
            recorder,
            Random(seed * len(ZONE_OF_VM) + vm),
        )
        for vm, _ in enumerate(ZONE_OF_VM)
    ]
    entries = [
        SteeringEntry(vm, loop, owner, recorder, hedges)
        for vm, owner in enumerate(owners)
    ]
    _meet(entries, lost=None)
    loop.after(LOSS_KNOWN_AT, partial(_meet, entries, LOST_ZONE))
    Exchange(loop, owners, Random(seed)).start()
    _play(loop, requests, [entry.arrive for entry in entries], targets)
    if max(target.most_busy for target in targets) > SLOTS:
        raise AssertionError('a target was above its slots')
    return recorder


def _targets(loop: EventLoop, queue_length: int) -> Sequence[ModelTarget]:
    return [
        ModelTarget(loop, number, queue_length)
        for number, _ in enumerate(ZONE_OF_TARGET)
    ]


def _shares(
    vm: int,
    targets: Sequence[ModelTarget],
) -> Mapping[ModelTarget, int]:
    zone = ZONE_OF_VM[vm]
    members = [peer for peer, home in enumerate(ZONE_OF_VM) if home == zone]
    place = members.index(vm)
    return {
        target: (SLOTS + (place + target.number) % len(members)) // len(members)
        for target in targets
        if target.zone == zone
    }


def _meet(entries: Sequence[SteeringEntry], lost: int | None) -> None:
    for entry in entries:
        entry.meet(
            {
                CandidateId(f'vm/{peer.vm}'): peer.owner
                for peer in entries
                if peer is not entry and peer.owner.zone != lost
            }
        )


def _play(
    loop: EventLoop,
    requests: Sequence[Arrival],
    handlers: Sequence[Callable[[Arrival], None]],
    targets: Sequence[ModelTarget],
) -> None:
    def lose_zone() -> None:
        for target in targets:
            target.is_alive = target.zone != LOST_ZONE

    loop.after(LOSS_AT, lose_zone)
    for arrival in requests:
        loop.after(arrival.at, partial(handlers[arrival.vm], arrival))
    loop.run(requests[-1].at + 2 * DEADLINE_SECONDS)


def _quantile(values: Sequence[float], fraction: float) -> float:
    ordered = sorted(values)
    return ordered[int(fraction * (len(ordered) - 1))]


def _figures(name: str, recorder: Recorder) -> dict[str, float]:
    critical = recorder.latencies[TrafficClass.CRITICAL]
    figures = {
        f'{name}_critical_p50_ms': 1000 * _quantile(critical, 0.5),
        f'{name}_critical_p99_ms': 1000 * _quantile(critical, 0.99),
        f'{name}_attempts': recorder.attempts,
    }
    for member in TrafficClass:
        sheds = recorder.sheds.get(member, 0)
        figures[f'{name}_{member.value}_sheds'] = sheds
    return figures


def measure_policies(seed: int) -> Mapping[str, float]:
    """Run all policies on the same arrivals and return their figures.

    The main runs have critical requests only, as a service has one class. The
    figures named ``mixed`` have three classes in one queue, and those named
    ``ramp`` raise the load until requests are shed.
    """
    requests = arrivals(Random(seed), _steady, _RUN_SECONDS, _CRITICAL_ONLY)
    runs: Mapping[str, _Run] = {
        'random': partial(run_baseline, 'random'),
        'round_robin': partial(run_baseline, 'round_robin'),
        'least_in_flight': partial(run_baseline, 'least_in_flight'),
        'steering': run_steering,
        'steering_without_hedges': partial(run_steering, hedges=False),
    }
    figures: dict[str, float] = {
        'service_time_p99_ms': 1000
        * _quantile([request.demands[0] for request in requests], 0.99),
    }
    for name, run in runs.items():
        figures.update(_figures(name, run(requests, seed)))
    mixed = arrivals(Random(seed), _steady, _RUN_SECONDS, _MIX)
    figures.update(_figures('mixed_steering', run_steering(mixed, seed)))
    return {**figures, **_ramp_figures(seed), **measure_decisions()}


def _steady(_now: float) -> float:
    return _LOAD


def _ramp(now: float) -> float:
    progress = max(now - _RAMP_FROM, 0) / (_RUN_SECONDS - _RAMP_FROM)
    return 0.8 + 0.5 * progress


def _ramp_figures(seed: int) -> Mapping[str, float]:
    requests = arrivals(Random(seed), _ramp, _RUN_SECONDS, _CRITICAL_ONLY)
    figures: dict[str, float] = {}
    for name, run in (
        ('least_in_flight', partial(run_baseline, 'least_in_flight')),
        ('steering', run_steering),
    ):
        use = run(requests, seed).use_at_first_shed
        figures[f'ramp_{name}_use_at_first_shed'] = 1 if use is None else use
    return figures


def measure_decisions() -> Mapping[str, float]:
    """Return the mean microseconds of one decision by candidate count."""
    figures: dict[str, float] = {}
    for size in (12, 60, 600):
        view = ServiceView(
            map(_candidate, range(size)), SystemClock(), Random(1)
        )
        attempts: deque[Attempt] = deque()
        spent: float = 0
        for _ in range(_DECISIONS):
            began = time.perf_counter()
            ranked = rank_candidates(view)
            spent += time.perf_counter() - began
            attempts.append(view.start(ranked[0].candidate.candidate_id))
            if len(attempts) > size:
                view.finish(attempts.popleft(), AttemptResult.ANSWERED)
        figures[f'decision_{size}_us'] = 1_000_000 * spent / _DECISIONS
    return figures


def _candidate(number: int) -> Candidate:
    # Six targets, then VMs at growing distance.
    kind = CandidateKind.TARGET if number < 6 else CandidateKind.VM
    return Candidate(
        CandidateId(f'candidate/{number}'),
        kind,
        AvailabilityZoneId(str(number % 64)),
        timedelta(milliseconds=number % 10),
        timedelta(milliseconds=20),
        slots=3,
    )
