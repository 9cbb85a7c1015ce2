"""Pooled connections to targets.

A failure states whether any byte of the request was sent.
"""

import asyncio
from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import replace
from datetime import timedelta
from functools import partial

from plantainstand_core import Clock
from result import Err, Ok, Result

from plantainstand_http._answer_reader import EchoedHeader, TargetResponse
from plantainstand_http._connection import TargetConnection
from plantainstand_http._exchange import ExchangeResult
from plantainstand_http._pacing import PieceBudget
from plantainstand_http._stream import ExchangeFailure, FailureKind

CONNECT_TIMEOUT = timedelta(milliseconds=400)
"""Longest time to connect: several round trips between regions."""


def _always() -> bool:
    return True


MAX_IDLE_CONNECTIONS = 4096
"""Idle connections that a pool without a stated limit keeps."""


class TargetConnectionPool:
    """Pool of connections to targets by address; owned by one event loop."""

    def __init__(self, clock: Clock, max_idle: int = MAX_IDLE_CONNECTIONS):
        """Create an empty pool that keeps ``max_idle`` idle connections."""
        self._clock = clock
        self._idle: dict[str, deque[TargetConnection]] = {}
        self._budget = PieceBudget(clock)
        self._max_idle = max_idle
        self._idle_count = 0
        self.opened_count = 0

    @property
    def pause_count(self) -> int:
        """How often a target that sends small pieces was not read."""
        return self._budget.pause_count

    async def exchange(
        self,
        address: str,
        payload: bytes,
        echoed_header: EchoedHeader,
        timeout: timedelta,
        *,
        head_only: bool = False,
        may_send: Callable[[], bool] = _always,
        long_body: Sequence[bytes | bytearray] = (),
    ) -> ExchangeResult:
        """Send a request and wait for the response.

        ``echoed_header`` is the header that the response must echo. A small
        response is returned whole, a large one as its head and a stream that
        the caller closes; the timeout covers both. When the caller is
        cancelled the connection is closed, so that the target stops working on
        the request. ``may_send`` is called once there is a connection, right
        before the request leaves; if it returns False, nothing is sent.
        ``long_body`` is sent after ``payload``.
        """
        started = self._clock.monotonic()
        connected = await self._connect(address, min(timeout, CONNECT_TIMEOUT))
        if isinstance(connected, Err):
            return connected
        connection = connected.ok_value
        if not may_send():
            self._release(address, connection)
            detail = 'the permission to send has ended'
            return Err(ExchangeFailure(FailureKind.NOT_SENT, detail))
        time_left = timeout - (self._clock.monotonic() - started)
        exchange = connection.send(
            payload,
            echoed_header,
            time_left,
            head_only=head_only,
            long_body=long_body,
        )
        outcome = await exchange.wait()
        if _is_timeout(outcome):
            # Other idle connections may have lost their network path as well.
            self.close_idle(address)
        return outcome

    async def fetch(
        self,
        address: str,
        payload: bytes,
        timeout: timedelta,
        max_bytes: int,
        *,
        foreign_header: bytes = b'',
    ) -> ExchangeResult:
        """Send a request; return the whole response, at most ``max_bytes``.

        ``foreign_header`` names a header of responses to other requests.
        """
        outcome = await self.exchange(
            address,
            payload,
            (foreign_header, None),
            timeout,
        )
        if isinstance(outcome, Err):
            return outcome
        return await read_whole(outcome.ok_value, max_bytes)

    def close_idle(self, address: str) -> None:
        """Close the idle connections to an address."""
        idle = self._idle.pop(address, ())
        self._idle_count -= len(idle)
        for connection in idle:
            connection.abort()

    def close(self) -> None:
        """Close all idle connections."""
        for address in tuple(self._idle):
            self.close_idle(address)

    def close_expired(self) -> None:
        """Close connections that have exceeded their idle limit."""
        for address, idle in tuple(self._idle.items()):
            while idle and not idle[0].is_usable:
                self._idle_count -= 1
                idle.popleft().abort()
            if not idle:
                self._idle.pop(address)

    async def _connect(
        self,
        address: str,
        timeout: timedelta,
    ) -> Result[TargetConnection, ExchangeFailure]:
        idle = self._idle.get(address)
        while idle:
            self._idle_count -= 1
            connection = idle.pop()
            if connection.is_usable:
                return Ok(connection)
            connection.abort()
        return await self._open(address, timeout)

    async def _open(
        self,
        address: str,
        timeout: timedelta,
    ) -> Result[TargetConnection, ExchangeFailure]:
        host, _colon, port = address.rpartition(':')
        loop = asyncio.get_running_loop()
        self.opened_count += 1
        try:
            async with asyncio.timeout(timeout.total_seconds()):
                _transport, connection = await loop.create_connection(
                    lambda: TargetConnection(
                        self._clock,
                        self._budget,
                        partial(self._release, address),
                    ),
                    host,
                    int(port),
                )
        except (OSError, OverflowError, ValueError) as problem:
            detail = f'no connection: {problem!r}'
            return Err(ExchangeFailure(FailureKind.NOT_SENT, detail))
        return Ok(connection)

    def _release(self, address: str, connection: TargetConnection) -> None:
        if connection.is_usable and self._idle_count < self._max_idle:
            self._idle_count += 1
            self._idle.setdefault(address, deque()).append(connection)
        else:
            connection.abort()


def _is_timeout(outcome: ExchangeResult) -> bool:
    failure = outcome.err()
    return failure is not None and failure.kind is FailureKind.TIMED_OUT


async def read_whole(answer: TargetResponse, max_bytes: int) -> ExchangeResult:
    """Collect the rest of a response; fail if it exceeds ``max_bytes``."""
    rest = answer.rest
    if rest is None:
        return Ok(answer)
    parts: list[bytes] = []
    size = 0
    try:
        while size <= max_bytes:
            part = await rest.next_part()
            if isinstance(part, Err):
                return part
            if not part.ok_value:
                return Ok(replace(answer, body=b''.join(parts), rest=None))
            parts.append(part.ok_value)
            size += len(part.ok_value)
    finally:
        rest.close()
    detail = f'body longer than {max_bytes} bytes'
    return Err(ExchangeFailure(FailureKind.BROKEN, detail))
