"""Baseline policies: random, round robin and least in-flight."""

from collections.abc import Callable, Sequence
from functools import partial
from random import Random
from typing import TypeAlias

from plantainstand_bench._policy_model import (
    ATTEMPT_TIMEOUT_SECONDS,
    LOSS_KNOWN_AT,
    LOST_ZONE,
    ZONE_OF_VM,
    Arrival,
    EventLoop,
    ModelTarget,
    Recorder,
    Work,
    one_way,
)

_MAX_ATTEMPTS = 3

Pick: TypeAlias = Callable[[Sequence[ModelTarget]], ModelTarget]


class BaselineEntry:
    """An entry VM that sends each request straight to a picked target.

    It leaves out targets that this request has tried, and the lost zone once
    its loss is known.
    """

    def __init__(
        self,
        vm: int,
        loop: EventLoop,
        targets: Sequence[ModelTarget],
        pick: Callable[['BaselineEntry', Sequence[ModelTarget]], ModelTarget],
        recorder: Recorder,
    ):
        """Use ``pick`` to choose among the targets left."""
        self.in_flight = [0 for _ in targets]
        self.turn = vm
        self._zone = ZONE_OF_VM[vm]
        self._loop = loop
        self._targets = targets
        self._pick = pick
        self._recorder = recorder

    def arrive(self, arrival: Arrival) -> None:
        """Handle a request of a caller."""
        self._attempt(arrival, frozenset())

    def _attempt(self, arrival: Arrival, tried: frozenset[int]) -> None:
        is_loss_known = self._loop.now >= LOSS_KNOWN_AT
        left = [
            target
            for target in self._targets
            if target.number not in tried
            and not (is_loss_known and target.zone == LOST_ZONE)
        ]
        target = self._pick(self, left)
        self._send(arrival, target, tried | {target.number})

    def _send(
        self,
        arrival: Arrival,
        target: ModelTarget,
        tried: frozenset[int],
    ) -> None:
        delay = one_way(self._zone, target.zone)
        ended: list[bool] = []
        self.in_flight[target.number] += 1
        self._recorder.attempts += 1

        def end(is_finished: bool) -> None:
            if not ended:
                ended.append(is_finished)
                self.in_flight[target.number] -= 1
                self._end(arrival, is_finished, tried)

        def answer(is_finished: bool) -> None:
            self._loop.after(delay, partial(end, is_finished))

        demand = arrival.demands[min(len(tried) - 1, 1)]
        work = Work(demand, arrival.deadline, answer)
        self._loop.after(delay, partial(target.take, work))
        if target.zone == LOST_ZONE:
            self._loop.after(ATTEMPT_TIMEOUT_SECONDS, partial(end, False))

    def _end(
        self,
        arrival: Arrival,
        is_finished: bool,
        tried: frozenset[int],
    ) -> None:
        if is_finished:
            self._recorder.answered(arrival, self._loop.now)
        elif len(tried) < _MAX_ATTEMPTS and self._loop.now < arrival.deadline:
            self._attempt(arrival, tried)
        else:
            self._recorder.shed(arrival)


def pick_random(
    random_source: Random,
    _entry: BaselineEntry,
    left: Sequence[ModelTarget],
) -> ModelTarget:
    """Pick any target."""
    return random_source.choice(left)


def pick_round_robin(
    entry: BaselineEntry,
    left: Sequence[ModelTarget],
) -> ModelTarget:
    """Pick the targets in turn."""
    entry.turn += 1
    return left[entry.turn % len(left)]


def pick_least_in_flight(
    random_source: Random,
    entry: BaselineEntry,
    left: Sequence[ModelTarget],
) -> ModelTarget:
    """Pick the target with the fewest own requests in flight."""
    return min(
        left,
        key=lambda target: (
            entry.in_flight[target.number],
            random_source.random(),
        ),
    )
