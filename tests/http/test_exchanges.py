"""Guards against an exchange that acts on the next one of its connection."""

import asyncio
import unittest
from contextlib import AsyncExitStack
from datetime import timedelta

from plantainstand_core import SystemClock
from plantainstand_http import BodyStream, TargetConnectionPool, read_whole
from plantainstand_http._answer_reader import MAX_COLLECTED_BODY_BYTES
from plantainstand_http._exchange import ExchangeResult
from plantainstand_http._pacing import FREE_PIECES, PIECE_INTERVAL
from plantainstand_http._stream import STREAM_BUFFER_BYTES
from result import Err

from tests.http.working_target import Task, WorkingTarget

_SHORT = timedelta(milliseconds=200)
_LONG = timedelta(seconds=5)
_WORK_MS = 400
_LARGE_BYTES = MAX_COLLECTED_BODY_BYTES * 2
_SETTLING_SECONDS = 0.1
_PIECES_OF_A_SECOND = timedelta(seconds=1) // PIECE_INTERVAL


class SharedConnectionTests(unittest.IsolatedAsyncioTestCase):
    """Exchanges that follow each other on one connection.

    The next exchange begins after the response of the one before has been read
    and before the caller of that one runs again.
    """

    async def asyncSetUp(self) -> None:
        """Start a target, and a pool that connects to it."""
        self.stack = AsyncExitStack()
        self.addAsyncCleanup(self.stack.aclose)
        self.target = WorkingTarget()
        await self.target.start(self.stack)
        self.pool = TargetConnectionPool(SystemClock())
        self.stack.callback(self.pool.close)

    async def test_time_left_of_the_one_before(self) -> None:
        """Guards against a timer that ends a response of the next exchange."""
        before = await self._end_exchange(Task(1), _SHORT)
        outcome = await self._exchange(Task(2, _WORK_MS))
        self.assertEqual(_body_or_detail(outcome), Task(2).body)
        self.assertEqual(_body_or_detail(await before), Task(1).body)
        self.assertEqual(self.pool.opened_count, 1)

    async def test_timer_of_a_later_exchange(self) -> None:
        """Guards against a timer that nothing cancels.

        A streamed response sets a timer of its own in place of that of the
        exchange before, which then ends whatever the connection serves.
        """
        before = await self._end_exchange(Task(1), _SHORT)
        streamed = Task(2, body_bytes=_LARGE_BYTES, sending_ms=50)
        outcome = await self._exchange(streamed)
        self.assertEqual(_body_or_detail(outcome), streamed.body)
        outcome = await self._exchange(Task(3, _WORK_MS))
        self.assertEqual(_body_or_detail(outcome), Task(3).body)
        await before
        self.assertEqual(self.pool.opened_count, 1)

    async def test_caller_that_is_cancelled_late(self) -> None:
        """Guards against a cancelled caller that closes the connection.

        It is cancelled when its response has been read but not yet returned.
        """
        before = await self._end_exchange(Task(1), _LONG)
        before.cancel()
        outcome = await self._exchange(Task(2, _WORK_MS))
        self.assertEqual(_body_or_detail(outcome), Task(2).body)
        self.assertTrue(before.cancelled())
        self.assertEqual(self.pool.opened_count, 1)

    async def test_unread_parts_of_the_one_before(self) -> None:
        """Guards against a reader that resumes the body of another.

        The parts of a body that is whole may be read while the connection
        carries the next one, whose reader has enough.
        """
        earlier = await self._begin_stream(Task(1, 0, STREAM_BUFFER_BYTES))
        await asyncio.sleep(_SETTLING_SECONDS)
        size = STREAM_BUFFER_BYTES * 100
        later = await self._begin_stream(Task(2, 0, size))
        await asyncio.sleep(_SETTLING_SECONDS)
        buffered_bytes = later._buffered_bytes
        self.assertEqual(self.pool.opened_count, 1)
        while (await earlier.next_part()).unwrap():
            await asyncio.sleep(0)
        earlier.close()
        await asyncio.sleep(_SETTLING_SECONDS)
        self.assertEqual(later._buffered_bytes, buffered_bytes)

    async def test_pieces_of_the_one_before(self) -> None:
        """Guards against a response that waits for the pieces of another.

        A target that has sent many small pieces is not read for a while. Its
        next response would arrive after its deadline.
        """
        self.pool._budget.charge(_PIECES_OF_A_SECOND)
        first = Task(1, chunk_bytes=1, body_bytes=FREE_PIECES * 2)
        outcome = await self._exchange(first)
        self.assertEqual(_body_or_detail(outcome), first.body)
        outcome = await self._exchange(Task(2), _SHORT)
        self.assertEqual(_body_or_detail(outcome), Task(2).body)

    async def _end_exchange(
        self, task: Task, timeout: timedelta
    ) -> 'asyncio.Task[ExchangeResult]':
        """Return a caller whose response is read but not yet returned."""
        caller = asyncio.create_task(self._exchange(task, timeout))
        while not self.pool._idle.get(self.target.address):
            await asyncio.sleep(0)
        self.assertFalse(caller.done())
        return caller

    async def _begin_stream(self, task: Task) -> BodyStream:
        outcome = await self._send(task, _LONG)
        stream = outcome.unwrap().rest
        assert stream is not None
        return stream

    async def _exchange(
        self, task: Task, timeout: timedelta = _LONG
    ) -> ExchangeResult:
        outcome = await self._send(task, timeout)
        if isinstance(outcome, Err):
            return outcome
        return await read_whole(outcome.ok_value, task.body_bytes)

    async def _send(self, task: Task, timeout: timedelta) -> ExchangeResult:
        return await self.pool.exchange(
            self.target.address, task.payload, task.identity, timeout
        )


def _body_or_detail(outcome: ExchangeResult) -> bytes | str:
    if isinstance(outcome, Err):
        return outcome.err_value.detail
    return outcome.ok_value.body
