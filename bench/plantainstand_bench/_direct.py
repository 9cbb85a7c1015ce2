"""Baselines: callers that choose a target themselves."""

import asyncio
import itertools
import random
import time
from collections import Counter
from collections.abc import Callable, Mapping, Sequence

import msgspec
from plantainstand_core import ServiceId, TargetId
from result import Ok

from plantainstand_bench._arrivals import Arrival
from plantainstand_bench._caller import final_outcome
from plantainstand_bench._caller_api import (
    Destination,
    attempt,
    new_request_id,
)
from plantainstand_bench._http_client import (
    Address,
    HttpClient,
    HttpRequest,
)
from plantainstand_bench._records import Attempt, CallerRecord, Outcome
from plantainstand_bench._system_map import (
    MappedService,
    MappedTarget,
    SystemMap,
)

_MAX_SENDINGS = 3
_POLL_SECONDS = 0.5
_POLL_TIMEOUT_SECONDS = 1
# A target that refused a connection is passed over for this time.
_AVOID_SECONDS = 1

Chooser = Callable[[Sequence[MappedTarget]], MappedTarget]
POLICIES = ('random', 'round_robin', 'least_in_flight')


class _LoadReport(msgspec.Struct, frozen=True):
    in_flight: int
    state: str = 'ready'


class LoadBoard:
    """Reports and own requests in flight, shared by all callers.

    One board for all callers is more than separate callers would know, so
    the baseline is stronger than it would be in use.
    """

    def __init__(self, system_map: SystemMap, client: HttpClient):
        """Start without reports."""
        self._targets = system_map.targets
        self._client = client
        self._reported: dict[TargetId, int] = {}
        self._own: Counter[TargetId] = Counter()
        self._avoided_until: dict[TargetId, float] = {}

    async def poll(self) -> None:
        """Read the load reports until cancelled."""
        while True:
            await asyncio.gather(*map(self._read, self._targets))
            await asyncio.sleep(_POLL_SECONDS)

    def usable(
        self,
        targets: Sequence[MappedTarget],
    ) -> Sequence[MappedTarget]:
        """Leave out targets that refused a connection a moment ago."""
        now = time.monotonic()
        usable = [
            target
            for target in targets
            if self._avoided_until.get(target.id, 0) <= now
        ]
        return usable or targets

    def load(self, target: MappedTarget) -> float:
        """Return requests in flight per slot, by report or own count."""
        reported = self._reported.get(target.id, 0)
        return max(reported, self._own[target.id]) / target.slots

    def begin(self, target: MappedTarget) -> None:
        """Count a request that is being sent."""
        self._own[target.id] += 1

    def end(self, target: MappedTarget, outcome: Outcome) -> None:
        """Count its end."""
        self._own[target.id] -= 1
        if outcome is Outcome.REFUSED:
            until = time.monotonic() + _AVOID_SECONDS
            self._avoided_until[target.id] = until

    async def _read(self, target: MappedTarget) -> None:
        answered = await self._client.send(
            Address(target.host, target.port),
            HttpRequest('GET', '/load'),
            _POLL_TIMEOUT_SECONDS,
        )
        if isinstance(answered, Ok):
            body = answered.ok_value.body
            report = msgspec.json.decode(body, type=_LoadReport)
            self._reported[target.id] = report.in_flight


def make_chooser(policy: str, board: LoadBoard, seed: int) -> Chooser:
    """Return the function that chooses a target under a policy."""
    source = random.Random(f'{seed}/direct')
    turns: dict[ServiceId, itertools.count[int]] = {}

    def choose_random(targets: Sequence[MappedTarget]) -> MappedTarget:
        return source.choice(board.usable(targets))

    def choose_in_turn(targets: Sequence[MappedTarget]) -> MappedTarget:
        turn = turns.setdefault(targets[0].service, itertools.count())
        usable = board.usable(targets)
        return usable[next(turn) % len(usable)]

    def choose_least(targets: Sequence[MappedTarget]) -> MappedTarget:
        usable = board.usable(targets)
        lowest = min(map(board.load, usable))
        return source.choice(
            [target for target in usable if board.load(target) == lowest],
        )

    choosers: Mapping[str, Chooser] = {
        'random': choose_random,
        'round_robin': choose_in_turn,
        'least_in_flight': choose_least,
    }
    return choosers[policy]


class DirectCaller:
    """Sends requests straight to targets.

    A refused request is sent to another target under a new id; a
    non-idempotent one with an unknown outcome is not sent again.
    """

    def __init__(
        self,
        name: str,
        system_map: SystemMap,
        client: HttpClient,
        board: LoadBoard,
        choose: Chooser,
    ):
        """Share the board and the client with the other callers."""
        self._name = name
        self._map = system_map
        self._client = client
        self._board = board
        self._choose = choose

    async def request(
        self,
        arrival: Arrival,
        service: MappedService,
        scheduled: float,
    ) -> CallerRecord:
        """Make one request; ``scheduled`` is in seconds since the epoch."""
        begun = time.time()
        attempts = await self._send_until_done(arrival, service, scheduled)
        return CallerRecord(
            caller=self._name,
            service=service.id,
            traffic_class=service.traffic_class,
            is_idempotent=service.is_idempotent,
            scheduled=scheduled,
            begun=begun,
            deadline_ms=arrival.traffic.deadline_ms,
            ended=time.time(),
            outcome=final_outcome(attempts),
            attempts=attempts,
        )

    async def _send_until_done(
        self,
        arrival: Arrival,
        service: MappedService,
        scheduled: float,
    ) -> Sequence[Attempt]:
        deadline = scheduled + arrival.traffic.deadline_ms / 1000
        repeated = {Outcome.REFUSED, Outcome.NOT_RUN}
        if service.is_idempotent:
            repeated.add(Outcome.CUT)
        attempts: list[Attempt] = []
        while len(attempts) < _MAX_SENDINGS:
            sent = await self._send(arrival, deadline)
            attempts.append(sent)
            if sent.outcome not in repeated or time.time() >= deadline:
                break
        return attempts

    async def _send(self, arrival: Arrival, deadline: float) -> Attempt:
        traffic = arrival.traffic
        target = self._choose(self._map.targets_of(traffic.service))
        address = Address(target.host, target.port)
        destination = Destination(target.id, address, f'/{traffic.path}')
        self._board.begin(target)
        sent = await attempt(
            self._client,
            destination,
            arrival,
            new_request_id(),
            deadline,
        )
        self._board.end(target, sent.outcome)
        return sent
