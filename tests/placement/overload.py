"""Simulates loads of a service without sockets.

By default fourteen targets with nine slots each serve objects whose first run
at a target takes several times as long as later ones. At the start every target
is cold for every object, so the arrivals need twice the slots; once the targets
are warm, half of the slots suffice. ``replayed_load`` has other loads.
"""

import heapq
import random
from collections import Counter, OrderedDict, deque
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from datetime import timedelta
from functools import partial
from itertools import accumulate

from plantainstand_core import AvailabilityZoneId, RegionId, ServiceId, TargetId
from plantainstand_fleet import TargetEntry
from plantainstand_placement import (
    Admission,
    Choice,
    ColdRequestShare,
    DemandEstimate,
    Familiarity,
    FleetShare,
    LoadReport,
    ObjectDemand,
    PlacementCriteria,
    RankCounts,
    Refusal,
    RequestLimits,
    RunTimes,
    ServiceEstimates,
    ServiceTargets,
    TargetState,
    record_shared_load,
)

from tests.placement.replayed_load import (
    COLD_START,
    LoadExchange,
    ReplayedLoad,
)

REGIONS = (RegionId('bajio'), RegionId('norte'), RegionId('occidente'))
_NO_SHARE = FleetShare(None, {})
ZERO = timedelta()
_SECOND = timedelta(seconds=1)

ROUTE = 'catalogue'

ChooseTarget = Callable[
    [PlacementCriteria, ServiceTargets, ServiceEstimates],
    Choice | Refusal,
]


@dataclass(eq=False)
class ReplayedVm:
    """What one entry VM knows."""

    region: RegionId
    targets: ServiceTargets
    demand: ObjectDemand = field(default_factory=ObjectDemand)
    ranks: RankCounts = field(default_factory=RankCounts)
    run_times: RunTimes = field(default_factory=RunTimes)
    mean_run_time: timedelta = timedelta(milliseconds=200)
    unreported: dict[TargetId, tuple[timedelta, LoadReport]] = field(
        default_factory=dict
    )
    """Newest load of each target that answered since the last report."""

    def receive(
        self, loads: Mapping[TargetId, tuple[timedelta, LoadReport]]
    ) -> None:
        """Take over loads of an update."""
        for state in self.targets.states:
            known = loads.get(state.entry.target)
            if known is not None:
                record_shared_load(state, known[1], known[0])

    def record(self, choice: Choice, duration: timedelta) -> None:
        """Add the time from sending a request to its response."""
        run = duration - choice.expected_wait
        self.run_times.record(ROUTE, choice.familiarity, run)
        run = max(run, timedelta(milliseconds=1))
        self.mean_run_time += (run - self.mean_run_time) * 0.05


@dataclass(eq=False)
class ReplayedRequest:
    """One simulated request."""

    arrived: timedelta
    object_key: bytes
    vm: ReplayedVm
    rank: int = 0
    demand: DemandEstimate | None = None
    admission: Admission | None = None
    choice: Choice | None = None
    sent: timedelta = ZERO
    tried: set[TargetId] = field(default_factory=set)
    has_ended: bool = False


@dataclass(eq=False)
class ReplayedTarget:
    """A target that is warm for the objects that it has served."""

    running: int = 0
    waiting: deque[ReplayedRequest] = field(default_factory=deque)
    warm: OrderedDict[bytes, None] = field(default_factory=OrderedDict)
    slowdown: float = 1.0


@dataclass
class ReplayResult:
    """Number of requests by outcome."""

    arrived: int = 0
    in_objective: int = 0
    late: int = 0
    refused: int = 0
    timed_out: int = 0
    cold_runs: int = 0
    arrived_at: Counter[int] = field(default_factory=Counter)
    """Requests by second of their arrival."""

    in_objective_at: Counter[int] = field(default_factory=Counter)
    """Requests in the objective by second of their arrival."""

    arrived_of: Counter[int] = field(default_factory=Counter)
    """Requests by rank."""

    in_objective_of: Counter[int] = field(default_factory=Counter)
    """Requests in the objective by rank."""

    ran_in: Counter[tuple[RegionId, int, RegionId]] = field(
        default_factory=Counter
    )
    """Requests by region, interval of two seconds and region of the run."""

    def share(self, first: int = 0, end: int | None = None) -> float:
        """Return the share in the objective of what arrived in a span."""
        seconds = [
            second
            for second in self.arrived_at
            if second >= first and (end is None or second < end)
        ]
        arrived = sum(self.arrived_at[second] for second in seconds)
        answered = sum(self.in_objective_at[second] for second in seconds)
        return answered / max(1, arrived)

    def largest_move(self, first: int = 0) -> float:
        """Return the largest share that changed region between intervals.

        Intervals before the second ``first`` are left out.
        """
        last = max(self.arrived_at) // 2
        return max(
            self._move(region, interval)
            for region in REGIONS
            for interval in range(first // 2, last - 1)
        )

    def _move(self, region: RegionId, interval: int) -> float:
        before = self._regions_of(region, interval)
        after = self._regions_of(region, interval + 1)
        return sum(
            max(float(0), after[place] - before[place]) for place in REGIONS
        )

    def _regions_of(
        self, region: RegionId, interval: int
    ) -> dict[RegionId, float]:
        counts = {
            place: self.ran_in[region, interval, place] for place in REGIONS
        }
        total = max(1, sum(counts.values()))
        return {place: count / total for place, count in counts.items()}


class Replay:
    """Simulates one overload with a function that chooses targets."""

    def __init__(
        self,
        choose: ChooseTarget,
        seed: int,
        load: ReplayedLoad = COLD_START,
        exchange: LoadExchange | None = None,
    ):
        self.result = ReplayResult()
        self._load = load
        self._exchange = exchange
        self._collected: dict[TargetId, tuple[timedelta, LoadReport]] = {}
        self._choose = choose
        self._random = random.Random(seed)  # noqa: S311
        self._start = timedelta(seconds=1)
        self._now = self._start
        self._events: list[tuple[timedelta, int, Callable[[], None]]] = []
        self._sequence = 0
        self._entries = _entries(load)
        self._targets = {
            each.target: ReplayedTarget() for each in self._entries
        }
        self._vms = [
            ReplayedVm(region, _targets(self._entries, self._now))
            for region in REGIONS
            for _ in range(load.vms_by_region)
        ]
        self._objects = range(load.objects)
        self._demand = list(
            accumulate((1 + number) ** -load.skew for number in self._objects)
        )

    def run(self, duration: timedelta) -> ReplayResult:
        """Simulate arrivals for ``duration``; return their outcomes."""
        end = self._now + duration
        self._at(self._now, lambda: self._arrive(end))
        if self._load.slow is not None:
            self._at(self._now, lambda: self._draw_slow(end))
        if self._exchange is not None:
            self._begin_exchange(self._exchange, end)
        while self._events:
            event = heapq.heappop(self._events)
            self._now = event[0]
            event[2]()
        return self.result

    def _at(self, moment: timedelta, action: Callable[[], None]) -> None:
        self._sequence += 1
        heapq.heappush(self._events, (moment, self._sequence, action))

    def _begin_exchange(self, exchange: LoadExchange, end: timedelta) -> None:
        """Let VMs report one after the other; updates go to all at once."""
        for number, vm in enumerate(self._vms):
            phase = exchange.period * (number / len(self._vms))
            self._repeat(
                self._now + phase,
                exchange.period,
                end,
                partial(self._report_loads, vm, exchange),
            )
        self._repeat(
            self._now,
            exchange.period,
            end,
            partial(self._send_loads, exchange),
        )

    def _repeat(
        self,
        first: timedelta,
        period: timedelta,
        end: timedelta,
        action: Callable[[], None],
    ) -> None:
        def act() -> None:
            action()
            self._repeat(self._now + period, period, end, action)

        if first < end:
            self._at(first, act)

    def _report_loads(self, vm: ReplayedVm, exchange: LoadExchange) -> None:
        loads = vm.unreported
        vm.unreported = {}
        self._at(
            self._now + exchange.transit,
            lambda: self._collect(loads, exchange.transit),
        )

    def _collect(
        self,
        loads: Mapping[TargetId, tuple[timedelta, LoadReport]],
        transit: timedelta,
    ) -> None:
        for target, (read_at, report) in loads.items():
            known = self._collected.get(target)
            # The time on the link is not part of the age.
            if known is None or known[0] < read_at + transit:
                self._collected[target] = (read_at + transit, report)

    def _send_loads(self, exchange: LoadExchange) -> None:
        loads = {
            target: (read_at + exchange.transit, report)
            for target, (read_at, report) in self._collected.items()
        }
        self._collected = {}
        for vm in self._vms:
            self._at(self._now + exchange.transit, partial(vm.receive, loads))

    def _draw_slow(self, end: timedelta) -> None:
        slow = self._load.slow
        assert slow is not None
        for target in self._targets.values():
            is_slow = self._random.random() < slow.share
            target.slowdown = slow.factor if is_slow else 1.0
        if self._now < end:
            self._at(self._now + slow.period, lambda: self._draw_slow(end))

    def _arrive(self, end: timedelta) -> None:
        elapsed = (self._now - self._start) / _SECOND
        pause = self._random.expovariate(self._load.arrivals_at(elapsed))
        following = self._now + timedelta(seconds=pause)
        if following < end:
            self._at(following, lambda: self._arrive(end))
        vm = self._random.choice(self._vms)
        number = self._random.choices(self._objects, cum_weights=self._demand)
        group = 'all' if self._load.shared_objects else vm.region
        ranks = self._load.rank_shares
        request = ReplayedRequest(
            self._now,
            f'{group}-{number[0]}'.encode(),
            vm,
            self._random.choices(range(len(ranks)), ranks)[0],
        )
        if self._load.counts_objects:
            request.demand = vm.demand.count(request.object_key)
        if self._load.counts_ranks:
            draw = self._random.random()
            request.admission = vm.ranks.count(request.rank, draw)
        self.result.arrived += 1
        self.result.arrived_at[int(elapsed)] += 1
        self.result.arrived_of[request.rank] += 1
        self._send(request)

    def _send(self, request: ReplayedRequest) -> None:
        vm = request.vm
        spent = self._now - request.arrived
        criteria = PlacementCriteria(
            object_key=request.object_key,
            region=vm.region,
            home_regions=(),
            objective_left=self._load.objective - spent,
            time_left=self._load.timeout - spent,
            cold_share=ColdRequestShare(0, _NO_SHARE),
            request_limits=RequestLimits(vm.region, _NO_SHARE),
            tried_targets=frozenset(request.tried),
            demand=request.demand,
            admission=request.admission,
        )
        estimates = ServiceEstimates(
            self._now, vm.run_times.estimates(ROUTE), vm.mean_run_time
        )
        chosen = self._choose(criteria, vm.targets, estimates)
        if isinstance(chosen, Refusal):
            self.result.refused += 1
            request.has_ended = True
            return
        request.choice = chosen
        request.sent = self._now
        request.tried.add(chosen.state.entry.target)
        chosen.state.record_sent(self._now)
        chosen.state.record_object(request.object_key, responded=False)
        target = self._targets[chosen.state.entry.target]
        if len(target.waiting) >= self._load.queue_length:
            self._reject(target, request)
            return
        target.waiting.append(request)
        timeout_at = request.arrived + self._load.timeout
        self._at(timeout_at, lambda: self._time_out(request, chosen))
        self._start_next(target)

    def _reject(self, target: ReplayedTarget, request: ReplayedRequest) -> None:
        report = self._report(target)

        def receive() -> None:
            choice = request.choice
            assert choice is not None
            choice.state.record_ended()
            choice.state.forget_object(request.object_key)
            choice.state.record_rejection(self._now, report)
            target_id = choice.state.entry.target
            request.vm.unreported[target_id] = (self._now, report)
            if len(request.tried) < self._load.max_sends:
                self._send(request)
                return
            self.result.refused += 1
            request.has_ended = True

        self._at(self._now + self._load.response_delay, receive)

    def _report(self, target: ReplayedTarget) -> LoadReport:
        return LoadReport(
            target.running,
            len(target.waiting),
            self._load.slots,
            target.slowdown,
        )

    def _start_next(self, target: ReplayedTarget) -> None:
        while target.waiting and target.running < self._load.slots:
            request = target.waiting.popleft()
            if request.has_ended:
                continue
            target.running += 1
            run = self._load.warm_run
            if request.object_key not in target.warm:
                self.result.cold_runs += 1
                run = self._load.cold_run
            self._record_run(request)
            ends = self._now + run * target.slowdown
            cut_at = request.arrived + self._load.timeout
            self._at(min(ends, cut_at), self._ending(target, request, ends))

    def _record_run(self, request: ReplayedRequest) -> None:
        interval = int((request.arrived - self._start) / _SECOND) // 2
        choice = request.choice
        assert choice is not None
        place = choice.state.entry.region
        self.result.ran_in[request.vm.region, interval, place] += 1

    def _ending(
        self,
        target: ReplayedTarget,
        request: ReplayedRequest,
        ends: timedelta,
    ) -> Callable[[], None]:
        def end() -> None:
            target.running -= 1
            if self._now >= ends and not request.has_ended:
                self._keep(target, request.object_key)
                report = self._report(target)
                self._at(
                    self._now + self._load.response_delay,
                    lambda: self._answer(report, request),
                )
            self._start_next(target)

        return end

    def _keep(self, target: ReplayedTarget, object_key: bytes) -> None:
        target.warm[object_key] = None
        target.warm.move_to_end(object_key)
        kept = self._load.kept
        if kept is not None and len(target.warm) > kept:
            target.warm.popitem(last=False)

    def _answer(self, report: LoadReport, request: ReplayedRequest) -> None:
        if request.has_ended:
            return
        request.has_ended = True
        duration = self._now - request.arrived
        if duration <= self._load.objective:
            self.result.in_objective += 1
            second = int((request.arrived - self._start) / _SECOND)
            self.result.in_objective_at[second] += 1
            self.result.in_objective_of[request.rank] += 1
        else:
            self.result.late += 1
        choice = request.choice
        assert choice is not None
        state = choice.state
        state.record_ended()
        state.record_response(self._now, report, failed=False)
        request.vm.unreported[state.entry.target] = (self._now, report)
        state.record_object(request.object_key, responded=True)
        request.vm.record(choice, self._now - request.sent)

    def _time_out(self, request: ReplayedRequest, choice: Choice) -> None:
        if request.has_ended:
            return
        request.has_ended = True
        self.result.timed_out += 1
        choice.state.record_ended()
        choice.state.record_failure(self._now)


def choose_least_loaded(
    criteria: PlacementCriteria,
    targets: ServiceTargets,
    estimates: ServiceEstimates,
) -> Choice | Refusal:
    """Baseline: the target with the fewest requests; none is rejected."""
    chosen = min(targets.states, key=lambda state: state.load(estimates.now))
    return Choice(chosen, 0, Familiarity.PREFERRED, ZERO, ZERO)


def choose_first_in_order(
    criteria: PlacementCriteria,
    targets: ServiceTargets,
    _estimates: ServiceEstimates,
) -> Choice | Refusal:
    """Baseline: always the first target of the object's order."""
    order = targets.order(criteria.object_key, criteria.region, frozenset())
    return Choice(order[0], 0, Familiarity.PREFERRED, ZERO, ZERO)


def _targets(
    entries: Sequence[TargetEntry],
    now: timedelta,
) -> ServiceTargets:
    return ServiceTargets([TargetState(each, now) for each in entries])


def _entries(load: ReplayedLoad) -> list[TargetEntry]:
    return [
        TargetEntry(
            target=TargetId(f'{region}-{number}'),
            service=ServiceId('catalogue'),
            address=f'192.0.2.{number}:80',
            availability_zone=AvailabilityZoneId(f'{region}-a'),
            region=region,
            slots=load.slots,
            draining=False,
            started_ms=0,
            cold_seconds=0,
        )
        for region, count in zip(REGIONS, load.targets_by_region, strict=True)
        for number in range(count)
    ]
