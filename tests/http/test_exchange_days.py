"""Random exchanges on few connections, with cancellations and deadlines.

``EXCHANGE_SEEDS=1-50 python -m unittest <this module>`` plays more seeds.
"""

import asyncio
import os
import unittest
from collections.abc import Iterator
from contextlib import AsyncExitStack
from dataclasses import dataclass
from datetime import timedelta
from itertools import count
from random import Random

from plantainstand_core import SystemClock
from plantainstand_http import (
    BodyStream,
    ExchangeFailure,
    FailureKind,
    TargetConnectionPool,
)
from plantainstand_http._answer_reader import MAX_COLLECTED_BODY_BYTES
from result import Err, Ok, Result

from tests.http.working_target import Task, WorkingTarget

_CALLERS = 12
_EXCHANGES_PER_CALLER = 20
_LONG = timedelta(seconds=20)
_SHORT_MS = 40
_PAUSE_SECONDS = 0.002
_CLOCK_TOLERANCE = timedelta(milliseconds=2)
_MILLISECOND = timedelta(milliseconds=1)

_SHORT_PERCENT = 30
_LEAVING_PERCENT = 30
_CUT_PERCENT = 5
_LARGE_BYTES = MAX_COLLECTED_BODY_BYTES * 12


@dataclass(frozen=True)
class _Plan:
    """What one exchange is to do."""

    task: Task
    timeout: timedelta
    leaves_after_ms: int | None
    """When the caller is cancelled, or None if it stays."""

    reads_slowly: bool


@dataclass
class _Day:
    """Exchanges of several callers with one target."""

    target: WorkingTarget
    pool: TargetConnectionPool
    random: Random
    ids: Iterator[int]

    async def run_caller(self) -> list[str]:
        """Make exchanges, one after the other; return what was wrong."""
        problems = []
        for _ in range(_EXCHANGES_PER_CALLER):
            plan = _draw(self.random, next(self.ids))
            problem = await self._run(plan) or self._pool_problem()
            if problem is not None:
                problems.append(f'{problem}: {plan}')
            if self.random.randrange(2):
                await asyncio.sleep(self.random.random() * _PAUSE_SECONDS)
        return problems

    async def _run(self, plan: _Plan) -> str | None:
        loop = asyncio.get_running_loop()
        began = loop.time()
        caller = loop.create_task(self._exchange(plan))
        leave_after = plan.leaves_after_ms
        if leave_after is not None:
            loop.call_later(leave_after / 1000, caller.cancel)
        await asyncio.wait((caller,))
        took = timedelta(seconds=loop.time() - began)
        if caller.cancelled():
            return 'cancelled' if leave_after is None else None
        return _problem(plan, caller.result(), took)

    async def _exchange(self, plan: _Plan) -> Result[bytes, ExchangeFailure]:
        task = plan.task
        outcome = await self.pool.exchange(
            self.target.address, task.payload, task.identity, plan.timeout
        )
        if isinstance(outcome, Err):
            return outcome
        stream = outcome.ok_value.rest
        if stream is None:
            return Ok(outcome.ok_value.body)
        try:
            return await _read(stream, slowly=plan.reads_slowly)
        finally:
            stream.close()

    def _pool_problem(self) -> str | None:
        idle = tuple(self.pool._idle.get(self.target.address, ()))
        if len(idle) != len(set(idle)):
            return 'a connection is twice in the pool'
        if any(each.is_usable and each._reader.is_expecting for each in idle):
            return 'a connection in the pool is in use'
        return None


async def _read(
    stream: BodyStream, *, slowly: bool
) -> Result[bytes, ExchangeFailure]:
    parts: list[bytes] = []
    while True:
        part = await stream.next_part()
        if isinstance(part, Err):
            return part
        if not part.ok_value:
            return Ok(b''.join(parts))
        parts.append(part.ok_value)
        if slowly:
            await asyncio.sleep(_PAUSE_SECONDS)


def _draw(random: Random, request_id: int) -> _Plan:
    is_short = random.randrange(100) < _SHORT_PERCENT
    may_leave = random.randrange(100) < _LEAVING_PERCENT
    task = Task(
        request_id,
        work_ms=random.choice((0, 0, 2, 20, 2 * _SHORT_MS)),
        body_bytes=random.choice((2, 2, 2, _LARGE_BYTES)),
        sending_ms=random.choice((0, 0, 20)),
        cut=random.randrange(100) < _CUT_PERCENT,
    )
    return _Plan(
        task,
        random.randint(1, _SHORT_MS) * _MILLISECOND if is_short else _LONG,
        random.randint(0, _SHORT_MS) if may_leave else None,
        reads_slowly=bool(random.randrange(2)),
    )


def _problem(
    plan: _Plan, outcome: Result[bytes, ExchangeFailure], took: timedelta
) -> str | None:
    """Return how an exchange ended otherwise than by its own doing."""
    if isinstance(outcome, Ok):
        whole = outcome.ok_value == plan.task.body and not plan.task.cut
        return None if whole else 'not the whole body'
    failure = outcome.err_value
    if failure.kind is FailureKind.BROKEN and plan.task.cut:
        return None
    if failure.kind is FailureKind.TIMED_OUT or 'TimeoutError' in str(failure):
        is_late = took >= plan.timeout - _CLOCK_TOLERANCE
        return None if is_late else f'{failure.detail} after {took}'
    return failure.detail


def _seeds() -> range:
    first, _dash, last = os.environ.get('EXCHANGE_SEEDS', '1-3').partition('-')
    return range(int(first), int(last or first) + 1)


class ExchangeDayTests(unittest.IsolatedAsyncioTestCase):
    """Guards against an exchange that ends by the doing of another."""

    async def test_each_ends_by_its_own_doing(self) -> None:
        """Only its deadline, its caller and its target end an exchange."""
        for seed in _seeds():
            with self.subTest(seed=seed):
                self.assertEqual(await _run_day(seed), [])


async def _run_day(seed: int) -> list[str]:
    async with AsyncExitStack() as stack:
        pool = TargetConnectionPool(SystemClock())
        target = WorkingTarget()
        await target.start(stack)
        stack.callback(pool.close)
        day = _Day(target, pool, Random(seed), count(1))
        callers = (day.run_caller() for _ in range(_CALLERS))
        found = await asyncio.gather(*callers)
    return [problem for problems in found for problem in problems]
