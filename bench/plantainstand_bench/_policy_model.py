"""Event queue model for the comparison of steering policies.

It has slots, service times with a heavy tail, network delays and the loss of
one availability zone. It has no protocol, storage or process behaviour.
"""

import heapq
import math
from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from datetime import UTC, datetime, timedelta
from itertools import count
from random import Random
from typing import TypeAlias

from plantainstand_core import TrafficClass

# Trefila's catalogue service: 14 targets of 9 slots in 3 regions of 2 zones.
ZONES = 6
LOST_ZONE = 1
ZONE_OF_VM = (0, 0, 1, 1, 2, 2, 3, 3, 4, 4, 5)
ZONE_OF_TARGET = (0, 0, 0, 1, 1, 2, 2, 2, 3, 3, 4, 4, 5, 5)
SLOTS = 9
SLOW_TARGET = 5
SLOW_FACTOR = 2.0
MEAN_SERVICE_SECONDS = 0.06
# Log-normal with this shape has its p99 at 6 times its mean.
TAIL_SHAPE = 1.0
DEADLINE_SECONDS = 3.0
ATTEMPT_TIMEOUT_SECONDS = 1.0
LOSS_AT = 5.0
LOSS_KNOWN_AT = 6.5
_SAME_ZONE_SECONDS = 0.0002
_SAME_REGION_SECONDS = 0.0005
_OTHER_REGION_SECONDS = 0.02

Action: TypeAlias = Callable[[], None]


class EventLoop:
    """Runs actions in order of their time; a clock for the policies."""

    def __init__(self) -> None:
        """Start at zero seconds."""
        self.now: float = 0
        self._events: list[tuple[float, int, Action]] = []
        self._numbers = count()

    def monotonic(self) -> timedelta:
        """See :meth:`plantainstand_core.Clock.monotonic`."""
        return timedelta(seconds=self.now)

    def wall(self) -> datetime:
        """See :meth:`plantainstand_core.Clock.wall`."""
        return datetime.fromtimestamp(self.now, UTC)

    def after(self, seconds: float, action: Action) -> None:
        """Run an action ``seconds`` from now."""
        event = (self.now + seconds, next(self._numbers), action)
        heapq.heappush(self._events, event)

    def run(self, until: float) -> None:
        """Run the actions that are due before ``until``."""
        while self._events and self._events[0][0] < until:
            due, _number, action = heapq.heappop(self._events)
            self.now = due
            action()


@dataclass(frozen=True, slots=True)
class Arrival:
    """One request as a caller sends it."""

    number: int
    at: float
    vm: int
    traffic_class: TrafficClass

    demands: tuple[float, float]
    """Service seconds of the first attempt and of a later one.

    They are independent: the tail is the target's, not the request's.
    """

    @property
    def deadline(self) -> float:
        """Time at which the caller gives up."""
        return self.at + DEADLINE_SECONDS


@dataclass(eq=False, slots=True)
class Work:
    """One attempt at a target."""

    demand: float
    deadline: float
    done: Callable[[bool], None]
    """Told whether the work was finished, when it leaves the target."""

    running: bool = False
    ended: bool = False


class ModelTarget:
    """Slots and a queue of bounded length."""

    def __init__(self, loop: EventLoop, number: int, queue_length: int):
        """Start idle."""
        self.number = number
        self.zone = ZONE_OF_TARGET[number]
        self.is_alive = True
        self.busy = 0
        self.most_busy = 0
        self._loop = loop
        self._queue_length = queue_length
        self._waiting: deque[Work] = deque()
        self._factor = SLOW_FACTOR if number == SLOW_TARGET else 1.0

    def take(self, work: Work) -> None:
        """Run, queue or shed the work; a lost target does nothing."""
        if not self.is_alive:
            return
        if self.busy < SLOTS:
            self._start(work)
        elif len(self._waiting) < self._queue_length:
            self._waiting.append(work)
        else:
            work.ended = True
            work.done(False)

    def cancel(self, work: Work) -> None:
        """Free the slot of work that is not wanted any more."""
        if not work.ended:
            work.ended = True
            if work.running:
                self._free()

    def _start(self, work: Work) -> None:
        work.running = True
        self.busy += 1
        self.most_busy = max(self.most_busy, self.busy)
        seconds = work.demand * self._factor
        left = max(work.deadline - self._loop.now, 0)
        is_finished = seconds <= left
        self._loop.after(
            min(seconds, left),
            lambda: self._finish(work, is_finished),
        )

    def _finish(self, work: Work, is_finished: bool) -> None:
        if work.ended or not self.is_alive:
            return
        work.ended = True
        work.done(is_finished)
        self._free()

    def _free(self) -> None:
        self.busy -= 1
        while self._waiting and self.busy < SLOTS:
            work = self._waiting.popleft()
            if not work.ended:
                self._start(work)


@dataclass(slots=True)
class Recorder:
    """What callers saw after the loss of the zone."""

    targets: Sequence[ModelTarget]
    latencies: dict[TrafficClass, list[float]] = field(default_factory=dict)
    sheds: dict[TrafficClass, int] = field(default_factory=dict)
    attempts: int = 0
    use_at_first_shed: float | None = None
    """Share of the remaining slots in use at the first critical shed."""

    def answered(self, arrival: Arrival, now: float) -> None:
        """Add a request whose answer arrived."""
        if arrival.at >= LOSS_AT:
            found = self.latencies.setdefault(arrival.traffic_class, [])
            found.append(now - arrival.at)

    def shed(self, arrival: Arrival) -> None:
        """Add a request that ended without an answer."""
        if arrival.at < LOSS_AT:
            return
        traffic_class = arrival.traffic_class
        self.sheds[traffic_class] = self.sheds.get(traffic_class, 0) + 1
        is_first = self.use_at_first_shed is None
        if traffic_class is TrafficClass.CRITICAL and is_first:
            alive = [target for target in self.targets if target.is_alive]
            busy = sum(target.busy for target in alive)
            self.use_at_first_shed = busy / (SLOTS * len(alive))


def one_way(first_zone: int, second_zone: int) -> float:
    """Return the delay between two zones in seconds."""
    if first_zone == second_zone:
        return _SAME_ZONE_SECONDS
    if first_zone // 2 == second_zone // 2:
        return _SAME_REGION_SECONDS
    return _OTHER_REGION_SECONDS


def remaining_slots() -> int:
    """Return the slots outside the lost zone."""
    return SLOTS * sum(zone != LOST_ZONE for zone in ZONE_OF_TARGET)


def arrivals(
    random_source: Random,
    load: Callable[[float], float],
    until: float,
    mix: Sequence[float],
) -> Sequence[Arrival]:
    """Draw the requests of a run.

    ``load`` gives the offered share of the remaining slots at a time, and
    ``mix`` the weights of the classes. Callers spread over the zones; those
    of the lost one then use the other zone of its region.
    """
    classes = tuple(TrafficClass)
    found: list[Arrival] = []
    now: float = 0
    location = math.log(MEAN_SERVICE_SECONDS) - TAIL_SHAPE * TAIL_SHAPE / 2
    while now < until:
        rate = load(now) * remaining_slots() / MEAN_SERVICE_SECONDS
        now += random_source.expovariate(rate)
        demands = (
            random_source.lognormvariate(location, TAIL_SHAPE),
            random_source.lognormvariate(location, TAIL_SHAPE),
        )
        traffic_class = random_source.choices(classes, mix)[0]
        vm = _entry_vm(random_source, now)
        found.append(Arrival(len(found), now, vm, traffic_class, demands))
    return found


def _entry_vm(random_source: Random, now: float) -> int:
    zone = random_source.randrange(ZONES)
    if now >= LOSS_AT and zone == LOST_ZONE:
        zone = LOST_ZONE - 1
    members = [vm for vm, home in enumerate(ZONE_OF_VM) if home == zone]
    return random_source.choice(members)
