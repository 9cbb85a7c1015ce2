"""One request and its response on a connection to a target."""

import asyncio
from collections.abc import Callable
from datetime import timedelta

from result import Err, Ok, Result

from plantainstand_http._answer_reader import TargetResponse
from plantainstand_http._stream import (
    BodyStream,
    ExchangeFailure,
    FailureKind,
    StreamSource,
)

LATE_BODY_TIME = timedelta(seconds=30)
"""Longest time after the deadline for which a body goes on that its reader has
yet to take, if responses wait behind it."""

LATE_BODY_CHECK = timedelta(milliseconds=100)
"""Interval at which such a body is checked."""

ExchangeResult = Result[TargetResponse, ExchangeFailure]


class Exchange:
    """One request, until its response is whole or has failed.

    Its timer, its caller and the reader of its body act through it. After its
    end they no longer reach the connection, which may carry another exchange.
    """

    def __init__(
        self,
        connection: StreamSource,
        fail: Callable[[ExchangeFailure], None],
        timeout: timedelta,
    ):
        """Start the time of the whole response, before the request leaves.

        ``fail`` ends the exchange that the connection carries.
        """
        loop = asyncio.get_running_loop()
        self._connection = connection
        self._fail = fail
        self._answer: asyncio.Future[ExchangeResult] = loop.create_future()
        self._has_ended = False
        self._rest: BodyStream | None = None
        self._late_time_left = LATE_BODY_TIME
        self._late_bytes: int | None = None
        """Length of the body at the last check after the deadline."""

        self._timer = loop.call_later(timeout.total_seconds(), self._expire)

    async def wait(self) -> ExchangeResult:
        """Wait for a whole response, or for one whose body is streamed.

        If the caller is cancelled, the connection is closed.
        """
        try:
            return await self._answer
        except asyncio.CancelledError:
            # A cancelled caller would not close the stream of the response.
            self.abort()
            raise

    def deliver(self, answer: TargetResponse) -> None:
        """Return a response to the caller."""
        self._rest = answer.rest
        self._settle(Ok(answer))

    def end(self, failure: ExchangeFailure | None = None) -> None:
        """Record that the response is whole, or why it is not."""
        self._has_ended = True
        self._timer.cancel()
        if failure is not None:
            self._settle(Err(failure))

    def pause(self) -> None:
        """Read no more of the response for now."""
        if not self._has_ended:
            self._connection.pause()

    def resume(self) -> None:
        """Go on reading the response."""
        if not self._has_ended:
            self._connection.resume()

    def abort(self) -> None:
        """Close the connection, so that the target stops its work."""
        if not self._has_ended:
            self._connection.abort()

    def _expire(self) -> None:
        if self._rest is not None and self._may_be_late(self._rest):
            self._late_time_left -= LATE_BODY_CHECK
            self._timer = asyncio.get_running_loop().call_later(
                LATE_BODY_CHECK.total_seconds(), self._expire
            )
            return
        detail = 'no answer'
        if self._answer.done():
            detail = 'body not whole at the deadline'
        self._fail(ExchangeFailure(FailureKind.TIMED_OUT, detail))

    def _may_be_late(self, rest: BodyStream) -> bool:
        """Tell whether a body may go on after its deadline.

        A truncated body ends the connection with the responses behind it, so
        it goes on if only its reader is late, until the source stops too.
        """
        before = self._late_bytes
        self._late_bytes = rest.total_bytes
        has_grown = before is not None and rest.total_bytes > before
        is_flowing = rest.is_unread or has_grown
        has_time = self._late_time_left > timedelta()
        return has_time and is_flowing and rest.has_followers()

    def _settle(self, outcome: ExchangeResult) -> None:
        if not self._answer.done():
            self._answer.set_result(outcome)
