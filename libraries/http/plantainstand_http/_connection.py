"""One connection to a target, which carries one exchange at a time."""

import asyncio
from collections import deque
from collections.abc import Callable, Sequence
from datetime import timedelta

from plantainstand_core import Clock

from plantainstand_http._answer_reader import (
    EchoedHeader,
    ResponseReader,
    TargetResponse,
)
from plantainstand_http._exchange import Exchange
from plantainstand_http._pacing import PacedInput, PieceBudget
from plantainstand_http._stream import (
    ExchangeFailure,
    FailureKind,
    StreamSource,
)

SLICE_BYTES = 16 * 1024
"""Bytes that are parsed at once."""


class TargetConnection(asyncio.Protocol):
    """Sends requests and delivers their responses, one after the other."""

    def __init__(
        self,
        clock: Clock,
        budget: PieceBudget,
        released: Callable[['TargetConnection'], None],
    ):
        """Create a protocol whose connection is opened by the event loop.

        ``budget`` limits the small pieces of all targets. ``released`` is
        called after each whole response.
        """
        self._clock = clock
        self._input = PacedInput(budget, SLICE_BYTES, self._parse)
        self._transport: asyncio.Transport | None = None
        self._released = released
        self._reader = ResponseReader(self._deliver, self._complete)
        self._exchange: Exchange | None = None
        self._idle_since = clock.monotonic()
        self._unsent: deque[bytes | bytearray] = deque()
        self._is_writable = True

    @property
    def is_usable(self) -> bool:
        """Whether another request may be sent on the connection now."""
        if self._transport is None or self._transport.is_closing():
            return False
        if self._input.is_waiting:
            # Bytes after the response are no response to anything, and the
            # next response would wait for what this one has cost.
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
        timeout: timedelta,
        *,
        head_only: bool,
        long_body: Sequence[bytes | bytearray] = (),
    ) -> Exchange:
        """Send a request whose response must echo ``echoed_header``.

        ``long_body`` follows ``payload``, no faster than the target reads. The
        response fails unless its body is whole after ``timeout``.
        """
        assert self._transport is not None  # noqa: S101
        control = StreamSource(
            self._input.pause, self._input.resume, self.abort
        )
        exchange = Exchange(control, self._fail, timeout)
        self._exchange = exchange
        self._input.begin_message()
        self._reader.expect(
            echoed_header,
            StreamSource(exchange.pause, exchange.resume, exchange.abort),
            head_only=head_only,
        )
        self._unsent.extend(long_body)
        self._transport.write(payload)
        self._send_parts()
        return exchange

    def abort(self) -> None:
        """Close at once, so that the target stops working on the request."""
        self._reader.may_reuse = False
        self._input.discard()
        self._unsent.clear()
        if self._transport is not None:
            self._transport.abort()

    def pause_writing(self) -> None:
        """See :class:`asyncio.Protocol`."""
        self._is_writable = False

    def resume_writing(self) -> None:
        """See :class:`asyncio.Protocol`."""
        self._is_writable = True
        self._send_parts()

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
        self._fail(ExchangeFailure(FailureKind.BROKEN, detail))

    @property
    def _has_unsent(self) -> bool:
        if self._unsent:
            return True
        transport = self._transport
        return transport is not None and transport.get_write_buffer_size() > 0

    def _send_parts(self) -> None:
        # The transport copies what it cannot send at once.
        while self._unsent and self._is_writable and self._transport:
            self._transport.write(self._unsent.popleft())

    def _parse(self, part: bytes | memoryview) -> int:
        if not self._reader.is_expecting:
            # Bytes without a request are no response to anything.
            self.abort()
            return 0
        fault = self._reader.feed(part)
        if fault is not None:
            self._fail(ExchangeFailure(FailureKind.BROKEN, fault))
        return self._reader.take_small_pieces()

    def _deliver(self, answer: TargetResponse) -> None:
        if self._exchange is not None:
            self._exchange.deliver(answer)

    def _complete(self) -> None:
        self._end_exchange()
        self._idle_since = self._clock.monotonic()
        if self._has_unsent:
            # The target would parse the unsent rest of the body as a request.
            self._reader.may_reuse = False
            self._unsent.clear()
        self._input.resume()
        self._released(self)

    def _fail(self, failure: ExchangeFailure) -> None:
        self.abort()
        self._reader.fail(failure)
        self._end_exchange(failure)

    def _end_exchange(self, failure: ExchangeFailure | None = None) -> None:
        exchange = self._exchange
        self._exchange = None
        if exchange is not None:
            exchange.end(failure)
