"""Sends commands to the leader of the log in batches, with backoff."""

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass
from datetime import timedelta
from random import Random

from plantainstand_core import Clock
from plantainstand_protocol import CallFailure, CallProblem
from plantainstand_protocol.steering_pb2 import ProposeReply, ProposeResult
from result import Err, Ok, Result

from plantainstand_daemon._control_problems import (
    ControlFailure,
    ControlProblem,
)
from plantainstand_daemon._tasks import sleep

_MAX_BATCH_COMMANDS = 64
_MAX_CONCURRENT_CALLS = 4
_INITIAL_BACKOFF = timedelta(milliseconds=20)
_MAX_BACKOFF_DOUBLINGS = 6

Send = Callable[
    [Sequence[bytes]],
    Awaitable[Result[ProposeReply, CallProblem]],
]
Outcome = Result[bytes, ControlProblem]


@dataclass
class _PendingCommand:
    command: bytes
    future: asyncio.Future[Outcome]
    may_be_committed: bool = False
    message: str = 'no voter was asked'

    def expire(self) -> None:
        """Resolve the future with the reason why there is no outcome."""
        if not self.future.done():
            failure = ControlFailure.NOT_PROPOSED
            if self.may_be_committed:
                failure = ControlFailure.OUTCOME_UNKNOWN
            self.future.set_result(Err(ControlProblem(failure, self.message)))


class Proposer:
    """Batches the commands of one VM and retries them until their timeout.

    While calls fail, only one is made at a time, with exponential backoff.
    Otherwise all commands that wait for a new leader are resent at short
    intervals, which leaves the new leader no processor time to commit them.
    Not thread-safe: used on the event loop only.
    """

    def __init__(
        self,
        send: Send,
        clock: Clock,
        random_source: Random,
    ) -> None:
        """Send each batch with ``send``."""
        self._send = send
        self._clock = clock
        self._random = random_source
        self._waiting: deque[_PendingCommand] = deque()
        self._calls: set[asyncio.Task[None]] = set()
        self._failures = 0

    async def propose(self, command: bytes, timeout: timedelta) -> Outcome:
        """Commit a command and return its outcome.

        After ``timeout`` the problem says whether the command may have been
        accepted.
        """
        loop = asyncio.get_running_loop()
        pending = _PendingCommand(command, loop.create_future())
        timer = loop.call_later(timeout.total_seconds(), pending.expire)
        self._waiting.append(pending)
        self._start_calls()
        try:
            return await pending.future
        finally:
            timer.cancel()

    def _start_calls(self) -> None:
        limit = 1 if self._failures else _MAX_CONCURRENT_CALLS
        while len(self._calls) < limit:
            batch = self._take_batch()
            if not batch:
                return
            call = asyncio.ensure_future(self._call(batch))
            self._calls.add(call)
            call.add_done_callback(self._end_call)

    def _end_call(self, call: asyncio.Task[None]) -> None:
        self._calls.discard(call)
        if not call.cancelled():
            self._start_calls()

    def _take_batch(self) -> list[_PendingCommand]:
        batch: list[_PendingCommand] = []
        while self._waiting and len(batch) < _MAX_BATCH_COMMANDS:
            pending = self._waiting.popleft()
            if not pending.future.done():
                batch.append(pending)
        return batch

    async def _call(self, batch: Sequence[_PendingCommand]) -> None:
        called = await self._send([pending.command for pending in batch])
        if isinstance(called, Err):
            _record_failed_call(batch, called.err_value)
        else:
            _apply_results(batch, called.ok_value.results)
        unfinished = [pending for pending in batch if not pending.future.done()]
        if not unfinished:
            self._failures = 0
            return
        self._waiting.extendleft(reversed(unfinished))
        self._failures = min(self._failures + 1, _MAX_BACKOFF_DOUBLINGS)
        await sleep(self._backoff())

    def _backoff(self) -> timedelta:
        longest = _INITIAL_BACKOFF * (1 << self._failures)
        # Jitter: VMs that lost the same leader must not retry in step.
        return longest * self._random.uniform(0.5, 1)


def _record_failed_call(
    batch: Sequence[_PendingCommand],
    problem: CallProblem,
) -> None:
    for pending in batch:
        pending.message = str(problem)
        if problem.failure is not CallFailure.NOT_SENT:
            pending.may_be_committed = True


def _apply_results(
    batch: Sequence[_PendingCommand],
    results: Sequence[ProposeResult],
) -> None:
    for pending, result in zip(batch, results, strict=False):
        if pending.future.done():
            continue
        if result.status == ProposeResult.COMMITTED:
            pending.future.set_result(Ok(result.outcome))
            continue
        pending.message = ProposeResult.Status.Name(result.status)
        if result.status != ProposeResult.NOT_LEADER:
            pending.may_be_committed = True
