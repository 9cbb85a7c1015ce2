"""Pooled connections to targets, with exact knowledge of what was sent."""

import asyncio
from collections import deque
from dataclasses import dataclass, field
from datetime import timedelta
from enum import Enum

import httptools
from plantainstand_core import Clock
from result import Err, Ok, Result

from plantainstand_http._messages import Headers, header_value

CONNECT_TIMEOUT = timedelta(milliseconds=400)
"""Longest wait for a connection: several round trips between regions."""

DEFAULT_IDLE = timedelta(seconds=4)
"""Idle time after which a connection is not reused, unless the target
states a longer one."""

IDLE_SHARE = 0.7
"""Part of a target's stated idle timeout that is used, so that a request does
not cross the target's close."""

_INFORMATIONAL_END = 200
_BODILESS = frozenset((204, 304))


class FailureKind(Enum):
    """How an exchange failed."""

    NOT_SENT = 'not sent'
    """No byte of the request left: it has not run."""

    BROKEN = 'broken'
    """The connection ended or carried something else; it may have run."""

    TIMED_OUT = 'timed out'
    """No answer in time; it may have run."""


@dataclass(frozen=True, slots=True)
class ExchangeFailure:
    """Why there is no answer."""

    kind: FailureKind
    """What is known of the request."""

    detail: str
    """Cause, for the log."""


@dataclass(frozen=True, slots=True)
class Answer:
    """A target's whole answer."""

    status: int
    """Status code."""

    headers: Headers
    """Header fields as sent."""

    body: bytes
    """Body without its transfer coding."""


ExchangeResult = Result[Answer, ExchangeFailure]


@dataclass(slots=True)
class _Partial:
    """An answer that is being read."""

    headers: list[tuple[bytes, bytes]] = field(default_factory=list)
    body: list[bytes] = field(default_factory=list)
    head_complete: bool = False


class _TargetConnection(asyncio.Protocol):
    """One connection; it carries one exchange at a time."""

    def __init__(self, clock: Clock):
        self.idle_since = clock.monotonic()
        self.idle_limit = DEFAULT_IDLE
        self._clock = clock
        self._transport: asyncio.Transport | None = None
        self._waiter: asyncio.Future[ExchangeResult] | None = None
        self._partial = _Partial()
        self._parser = httptools.HttpResponseParser(self)
        self._reusable = True
        self._identity: tuple[bytes, bytes | None] = (b'', None)
        self._head_only = False

    @property
    def usable(self) -> bool:
        """Whether another request may be sent on it now."""
        if self._transport is None or self._transport.is_closing():
            return False
        idle = self._clock.monotonic() - self.idle_since
        return self._reusable and idle < self.idle_limit

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """See :class:`asyncio.Protocol`."""
        assert isinstance(transport, asyncio.Transport)  # noqa: S101
        self._transport = transport

    def send(
        self,
        payload: bytes,
        identity: tuple[bytes, bytes | None],
        *,
        head_only: bool,
    ) -> 'asyncio.Future[ExchangeResult]':
        """Send a request; the answer must echo the identity header."""
        assert self._transport is not None  # noqa: S101
        self._waiter = asyncio.get_running_loop().create_future()
        self._identity = identity
        self._head_only = head_only
        self._partial = _Partial()
        self._transport.write(payload)
        return self._waiter

    def abort(self) -> None:
        """Close at once, which cancels the work at the target."""
        self._reusable = False
        if self._transport is not None:
            self._transport.abort()

    def data_received(self, chunk: bytes) -> None:
        """Parse bytes of the target."""
        if self._waiter is None:
            # Bytes without a request belong to nobody.
            self.abort()
            return
        try:
            self._parser.feed_data(chunk)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._fail('bytes that are no HTTP answer')

    def eof_received(self) -> bool:
        """Complete an answer that ends with the connection."""
        unframed = self._partial.head_complete and not self._is_framed()
        if self._waiter is not None and unframed:
            self._finish()
        return False

    def connection_lost(self, problem: Exception | None) -> None:
        """Fail the exchange that was under way."""
        self._transport = None
        self._fail('connection reset' if problem else 'connection closed')

    def on_message_begin(self) -> None:
        """Start an answer."""
        self._partial = _Partial()

    def on_header(self, name: bytes, content: bytes) -> None:
        """Collect a header."""
        self._partial.headers.append((name.lower(), content))

    def on_headers_complete(self) -> None:
        """Finish an answer to HEAD, which has no body."""
        self._partial.head_complete = True
        if self._head_only:
            self._reusable = False
            self._finish()

    def on_body(self, part: bytes) -> None:
        """Collect a part of the body."""
        self._partial.body.append(part)

    def on_message_complete(self) -> None:
        """Finish, unless this was an interim or somebody else's answer."""
        if self._parser.get_status_code() < _INFORMATIONAL_END:
            return
        if self._waiter is None:
            self._reusable = False
        elif self._is_foreign():
            # The answer to an earlier request came late; ours may follow.
            self._partial = _Partial()
        else:
            self._finish()

    def _is_foreign(self) -> bool:
        name, expected = self._identity
        if expected is None:
            return False
        echoed = header_value(tuple(self._partial.headers), name)
        return echoed is not None and echoed != expected

    def _is_framed(self) -> bool:
        names = {name for name, _content in self._partial.headers}
        return bool(names & {b'content-length', b'transfer-encoding'})

    def _finish(self) -> None:
        if self._is_foreign():
            self._fail('answer to another request')
            return
        headers = tuple(self._partial.headers)
        self._note_keep_alive(headers)
        answer = Answer(
            self._parser.get_status_code(),
            headers,
            b''.join(self._partial.body),
        )
        waiter = self._waiter
        self._waiter = None
        self.idle_since = self._clock.monotonic()
        if waiter is not None and not waiter.done():
            waiter.set_result(Ok(answer))

    def _note_keep_alive(self, headers: Headers) -> None:
        unsent = self._transport and self._transport.get_write_buffer_size()
        unframed = not self._is_framed()
        bodiless = self._parser.get_status_code() in _BODILESS
        if unsent or (unframed and not bodiless):
            self._reusable = False
        if not self._parser.should_keep_alive():
            self._reusable = False
        stated = header_value(headers, b'keep-alive') or b''
        name, _equals, seconds = stated.partition(b'=')
        if name.strip() == b'timeout' and seconds.strip().isdigit():
            self.idle_limit = timedelta(seconds=int(seconds) * IDLE_SHARE)

    def _fail(self, detail: str) -> None:
        waiter = self._waiter
        self._waiter = None
        self.abort()
        if waiter is not None and not waiter.done():
            failure = ExchangeFailure(FailureKind.BROKEN, detail)
            waiter.set_result(Err(failure))


class TargetPool:
    """Connections to targets by address; owned by one event loop."""

    def __init__(self, clock: Clock):
        """Start without connections."""
        self._clock = clock
        self._idle: dict[str, deque[_TargetConnection]] = {}
        self.opened_count = 0

    async def exchange(
        self,
        address: str,
        payload: bytes,
        identity: tuple[bytes, bytes | None],
        timeout: timedelta,
        *,
        head_only: bool = False,
    ) -> ExchangeResult:
        """Send a request and wait for its answer.

        ``identity`` is the header that the answer echoes and its value. When
        the caller is cancelled the connection is closed, so that the target
        stops.
        """
        started = self._clock.monotonic()
        connected = await self._connect(address, min(timeout, CONNECT_TIMEOUT))
        if isinstance(connected, Err):
            return connected
        connection = connected.ok_value
        waiter = connection.send(payload, identity, head_only=head_only)
        left = timeout - (self._clock.monotonic() - started)
        try:
            await asyncio.wait((waiter,), timeout=left.total_seconds())
        finally:
            if not waiter.done():
                connection.abort()
        if not waiter.done():
            # Other idle connections may have gone silent as well.
            self.forget(address)
            return Err(ExchangeFailure(FailureKind.TIMED_OUT, 'no answer'))
        self._release(address, connection)
        return waiter.result()

    def forget(self, address: str) -> None:
        """Close the idle connections to an address."""
        for connection in self._idle.pop(address, ()):
            connection.abort()

    def close(self) -> None:
        """Close all idle connections."""
        for address in tuple(self._idle):
            self.forget(address)

    def sweep(self) -> None:
        """Close connections that have been idle for too long."""
        for address, idle in tuple(self._idle.items()):
            while idle and not idle[0].usable:
                idle.popleft().abort()
            if not idle:
                self._idle.pop(address)

    async def _connect(
        self,
        address: str,
        timeout: timedelta,
    ) -> Result[_TargetConnection, ExchangeFailure]:
        idle = self._idle.get(address)
        while idle:
            connection = idle.pop()
            if connection.usable:
                return Ok(connection)
            connection.abort()
        return await self._open(address, timeout)

    async def _open(
        self,
        address: str,
        timeout: timedelta,
    ) -> Result[_TargetConnection, ExchangeFailure]:
        host, _colon, port = address.rpartition(':')
        loop = asyncio.get_running_loop()
        self.opened_count += 1
        try:
            async with asyncio.timeout(timeout.total_seconds()):
                _transport, connection = await loop.create_connection(
                    lambda: _TargetConnection(self._clock),
                    host,
                    int(port),
                )
        except (OSError, TimeoutError, ValueError) as problem:
            detail = f'no connection: {problem!r}'
            return Err(ExchangeFailure(FailureKind.NOT_SENT, detail))
        return Ok(connection)

    def _release(self, address: str, connection: _TargetConnection) -> None:
        if connection.usable:
            self._idle.setdefault(address, deque()).append(connection)
        else:
            connection.abort()
