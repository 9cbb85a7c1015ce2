"""One connection to a target, which carries one exchange at a time."""

import asyncio
from collections.abc import Callable
from datetime import timedelta

from plantainstand_core import Clock
from result import Err, Ok, Result

from plantainstand_http._answer_reader import (
    EchoedHeader,
    ResponseReader,
    TargetResponse,
)
from plantainstand_http._pacing import PacedInput, PieceBudget
from plantainstand_http._stream import (
    ExchangeFailure,
    FailureKind,
    StreamSource,
)

SLICE_BYTES = 16 * 1024
"""Bytes that are parsed at once."""

ExchangeResult = Result[TargetResponse, ExchangeFailure]


class TargetConnection(asyncio.Protocol):
    """Sends requests and delivers their responses, one after the other."""

    def __init__(self, clock: Clock, budget: PieceBudget):
        """Create a protocol whose connection is opened by the event loop.

        ``budget`` limits the small pieces of all targets.
        """
        self._clock = clock
        self._input = PacedInput(budget, SLICE_BYTES, self._parse)
        self._transport: asyncio.Transport | None = None
        self._reader = ResponseReader(
            StreamSource(self._input.pause, self._input.resume, self.abort),
            self._deliver,
            self._complete,
        )
        self._waiter: asyncio.Future[ExchangeResult] | None = None
        self._released: Callable[[], None] | None = None
        self._stream_timer: asyncio.TimerHandle | None = None
        self._idle_since = clock.monotonic()

    @property
    def is_usable(self) -> bool:
        """Whether another request may be sent on the connection now."""
        if self._transport is None or self._transport.is_closing():
            return False
        if self._input.has_rest:
            # Bytes after the response are no response to anything.
            return False
        idle = self._clock.monotonic() - self._idle_since
        return self._reader.may_reuse and idle < self._reader.idle_limit

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """See :class:`asyncio.Protocol`."""
        assert isinstance(transport, asyncio.Transport)  # noqa: S101
        self._transport = transport
        self._input.open(transport)

    def send(
        self,
        payload: bytes,
        echoed_header: EchoedHeader,
        released: Callable[[], None],
        *,
        head_only: bool,
    ) -> 'asyncio.Future[ExchangeResult]':
        """Send a request whose response must echo ``echoed_header``.

        ``released`` is called once the whole response has been read.
        """
        assert self._transport is not None  # noqa: S101
        self._waiter = asyncio.get_running_loop().create_future()
        self._released = released
        self._input.begin_message()
        self._reader.expect(echoed_header, head_only=head_only)
        self._transport.write(payload)
        return self._waiter

    def set_stream_timeout(self, time_left: timedelta) -> None:
        """Fail the response unless its body is whole after ``time_left``."""
        if self._reader.is_expecting:
            self._stream_timer = asyncio.get_running_loop().call_later(
                max(float(0), time_left.total_seconds()),
                self._fail,
                FailureKind.TIMED_OUT,
                'body not whole at the deadline',
            )

    def abort(self) -> None:
        """Close at once, so that the target stops working on the request."""
        self._reader.may_reuse = False
        self._input.discard()
        if self._transport is not None:
            self._transport.abort()

    def data_received(self, chunk: bytes) -> None:
        """Parse bytes from the target, within its share of the loop."""
        self._input.receive(chunk)

    def eof_received(self) -> bool:
        """Complete a response whose body ends with the connection."""
        self._reader.end_input()
        return False

    def connection_lost(self, problem: Exception | None) -> None:
        """Fail the exchange in progress."""
        self._transport = None
        self._input.close()
        detail = 'connection reset' if problem else 'connection closed'
        self._fail(FailureKind.BROKEN, detail)

    def _parse(self, part: bytes | memoryview) -> int:
        if not self._reader.is_expecting:
            # Bytes without a request are no response to anything.
            self.abort()
            return 0
        fault = self._reader.feed(part)
        if fault is not None:
            self._fail(FailureKind.BROKEN, fault)
        return self._reader.take_small_pieces()

    def _deliver(self, answer: TargetResponse) -> None:
        self._settle(Ok(answer))

    def _complete(self) -> None:
        self._cancel_stream_timer()
        self._idle_since = self._clock.monotonic()
        if self._transport and self._transport.get_write_buffer_size():
            # The target would parse the unsent rest of the body as a request.
            self._reader.may_reuse = False
        self._input.resume()
        if self._released is not None:
            self._released()

    def _fail(self, kind: FailureKind, detail: str) -> None:
        self._cancel_stream_timer()
        self.abort()
        failure = ExchangeFailure(kind, detail)
        self._reader.fail(failure)
        self._settle(Err(failure))

    def _settle(self, outcome: ExchangeResult) -> None:
        waiter = self._waiter
        self._waiter = None
        if waiter is not None and not waiter.done():
            waiter.set_result(outcome)

    def _cancel_stream_timer(self) -> None:
        if self._stream_timer is not None:
            self._stream_timer.cancel()
            self._stream_timer = None
