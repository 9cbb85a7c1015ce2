"""Runs the requests of one connection and responds in their order."""

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass, field, replace
from datetime import timedelta
from http import HTTPStatus
from typing import Protocol

import structlog

from plantainstand_http._budget import (
    LINE_COST,
    REQUEST_COST,
    RUN_COST,
    STREAM_COST,
    BudgetLimits,
    ClientBudget,
    MemoryAccount,
)
from plantainstand_http._messages import Request, Response
from plantainstand_http._output import ClientOutput
from plantainstand_http._pacing import PieceBudget

Handler = Callable[[Request], Awaitable[Response]]
"""Handles a request; cancelled when the client disconnects."""

_log = structlog.get_logger()

MAX_CONCURRENT_REQUESTS = 16
"""Requests of one connection that are handled concurrently; while more wait,
nothing is read."""

MAX_KEPT_LINES = 32
"""Header lines of the request answered last that an idle connection keeps."""

MAX_KEPT_HEAD_BYTES = 4096
"""Longest head that is kept as it is."""

MAX_KEPT_LINE_BYTES = 192
"""Longest line that is kept of a longer head: 32 of them take 6 KiB, a part of
what a connection counts for. Request ids are far shorter."""

READ_BYTES = 64 * 1024
"""Bytes that are read from a client at once."""


@dataclass(frozen=True)
class ClientLimits:
    """Limits on the size and duration of a client's requests."""

    header_bytes: int = 16_384
    body_bytes: int = 67_108_864
    head_timeout: timedelta = timedelta(seconds=10)
    """Longest time to receive a request head."""

    idle_timeout: timedelta = timedelta(seconds=75)
    """Longest time without bytes between requests or within a body."""

    buffered_body_bytes: int | None = None
    """Total size of the request bodies that one server holds; None if only the
    budget of the process limits it."""

    header_lines: int = 1024
    """Most header lines of a request. Each takes some 200 bytes of memory
    beside its length. A head of 16,384 bytes reaches this limit only if its
    lines have fewer than 16 bytes on average."""


SHORT_CALLS = ClientLimits(
    body_bytes=65_536,
    buffered_body_bytes=1024 * 1024,
)
"""Limits of a server whose calls have next to no body."""


class OpenConnection(Protocol):
    """Interface of a connection to its server."""

    @property
    def busy(self) -> bool:
        """Whether a request is unfinished or a response is not fully sent."""

    def check_timeouts(self, now: timedelta) -> None:
        """Close a connection that is idle or whose client is too slow."""

    def close_if_idle(self) -> None:
        """Close unless a request is being read or answered."""

    def abort(self) -> None:
        """Close the connection at once."""


def _no_id(_request: Request) -> str:
    return ''


@dataclass
class ServerState:
    """State shared by all connections of a server."""

    handler: Handler
    may_overlap: Callable[[Request], bool]
    """Whether a request may be handled before earlier ones of its connection
    have their responses. A request that must run at most once may not: if an
    earlier response closes the connection, clients send later ones again."""

    budget: PieceBudget
    """Limits the small pieces of all clients."""

    log_id: Callable[[Request], str] = _no_id
    """Returns the id of a request for log lines, empty if it has none."""

    limits: ClientLimits = field(default_factory=ClientLimits)
    clients: ClientBudget = field(
        default_factory=lambda: ClientBudget(BudgetLimits())
    )
    """What the clients of all servers of the process may take."""

    closing: bool = False
    """Whether connections close after the requests already read."""

    listening: bool = True
    """Whether connections stay open while they are idle."""

    buffered_body_bytes: int = 0
    connections: set[OpenConnection] = field(default_factory=set)
    read_buffer: memoryview = field(
        default_factory=lambda: memoryview(bytearray(READ_BYTES))
    )
    """What one read of one connection returns; the next read overwrites it."""


@dataclass(frozen=True)
class PipelineCallbacks:
    """Callbacks of a pipeline to its connection."""

    stop_reading: Callable[[], None]
    """Called when no more requests are to be read."""

    finish_reading: Callable[[], None]
    """Called when no more requests are to be received; those that have been
    received whole are still answered."""

    end_output: Callable[[], None]
    """Called when the last response has been sent."""

    progressed: Callable[[], None]
    """Called when a request has its response or has been cancelled."""


class RequestPipeline:
    """Requests of one connection that have no response yet."""

    def __init__(
        self,
        server: ServerState,
        events: PipelineCallbacks,
        account: MemoryAccount,
    ):
        """Create an empty pipeline; :meth:`open` precedes the first request.

        What the requests and their responses take is added to ``account``.
        """
        self._server = server
        self._account = account
        self._events = events
        self._output: ClientOutput | None = None
        self._waiting: deque[tuple[Request, Response | None]] = deque()
        self._tasks: deque[asyncio.Task[None]] = deque()
        self._started: deque[Request] = deque()
        self._last_answered: Request | None = None
        self._last_started: tuple[Request, Response | None] | None = None
        self._input_ended = False
        self._body_bytes = 0

    @property
    def is_answering(self) -> bool:
        """Whether any request has no response yet."""
        return bool(self._tasks or self._waiting)

    @property
    def input_ended(self) -> bool:
        """Whether no further request is to be read."""
        return self._input_ended

    @property
    def is_full(self) -> bool:
        """Whether any request waits for earlier ones."""
        return bool(self._waiting)

    @property
    def body_bytes(self) -> int:
        """Total size of the bodies of requests without a response."""
        return self._body_bytes

    @property
    def unanswered(self) -> tuple[Request, ...]:
        """Requests whose responses have not been written whole."""
        waiting = (request for request, _ready in self._waiting)
        return (*self._started, *waiting)

    @property
    def last_answered(self) -> Request | None:
        """Request whose response was the last to be written whole."""
        return self._last_answered

    def open(self, output: ClientOutput) -> None:
        """Send responses to ``output``."""
        self._output = output

    def add(self, request: Request, ready: Response | None = None) -> None:
        """Queue a request; ``ready`` is its response if already known."""
        self._body_bytes += request.body_bytes
        self._account.add(_held_bytes(request))
        if not request.keep_alive:
            self._input_ended = True
        self._waiting.append((request, ready))
        self._start_next()

    def send_continue(self) -> None:
        """Ask a client that waits for 100 Continue to send its body."""
        if self._output is not None and not self.is_answering:
            self._output.send_continue()

    def end_input(self) -> None:
        """Close the connection after the requests that have been added."""
        self._input_ended = True

    def cancel(self) -> None:
        """Cancel all requests; no response can reach the client."""
        self._output = None
        self._input_ended = True
        self._waiting.clear()
        for task in self._tasks:
            task.cancel()
        self._started = deque(map(_without_body, self._started))
        self._last_started = None

    def _start_next(self) -> None:
        while self._waiting and self._may_start(*self._waiting[0]):
            request, ready = self._waiting.popleft()
            self._server.clients.begin_run()
            self._account.add(RUN_COST)
            predecessor = self._tasks[-1] if self._tasks else None
            work = self._run(request, ready, predecessor)
            task = asyncio.get_running_loop().create_task(work)
            task.add_done_callback(self._end_task)
            self._tasks.append(task)
            self._started.append(request)
            self._last_started = (request, ready)

    def _end_task(self, task: asyncio.Task[None]) -> None:
        self._server.clients.end_run()
        if task.cancelled():
            # It was cancelled before its first step, so it has run no code.
            # The traceback that it keeps refers to the request.
            self._started.remove(self._started[self._tasks.index(task)])
            self._tasks.remove(task)

    def _may_start(self, request: Request, ready: Response | None) -> bool:
        if self._last_started is None:
            return True
        # Those started before the last one were checked when it started.
        return (
            len(self._tasks) < MAX_CONCURRENT_REQUESTS
            and self._server.clients.may_overlap
            and _may_overlap(self._server, *self._last_started)
            and _may_overlap(self._server, request, ready)
        )

    async def _run(
        self,
        request: Request,
        ready: Response | None,
        predecessor: asyncio.Task[None] | None,
    ) -> None:
        response_bytes = 0
        with suppress(asyncio.CancelledError):
            response = ready or await self._handle(request)
            response_bytes = _response_bytes(response)
            self._account.add(response_bytes)
            if response.rest is not None:
                response.rest.has_followers = lambda: len(self._tasks) > 1
            try:
                await self._send_in_turn(request, response, predecessor)
            finally:
                if response.rest is not None:
                    response.rest.close()
        self._account.add(-RUN_COST - response_bytes - _held_bytes(request))
        self._tasks.popleft()
        self._started.popleft()
        self._body_bytes -= request.body_bytes
        if not self._tasks:
            self._last_started = None
        if self._output is not None:
            self._start_next()
        self._events.progressed()

    async def _handle(self, request: Request) -> Response:
        try:
            return await self._server.handler(request)
        except Exception:
            # A fault in one request must not end the process. Status 500 does
            # not claim that the request did not run.
            _log.exception('request handler failed', path=str(request.path))
            return Response(HTTPStatus.INTERNAL_SERVER_ERROR, close=True)

    async def _send_in_turn(
        self,
        request: Request,
        response: Response,
        predecessor: asyncio.Task[None] | None,
    ) -> None:
        if predecessor is not None and not predecessor.done():
            await asyncio.wait((predecessor,))
        output = self._output
        if output is None or not output.is_open:
            return
        response = _sendable(request, response, self._server)
        if response.close:
            self._events.stop_reading()
        elif self._server.closing:
            self._events.finish_reading()
        # All requests that were read have responses before the close.
        is_last = not self._waiting and len(self._tasks) == 1
        close = self._input_ended and is_last
        is_whole = await output.send(request, response, close=close)
        if is_whole:
            self._last_answered = _without_body(request)
        else:
            # No later response can be told from the rest of this one.
            self.cancel()
        if close or not is_whole:
            self._events.end_output()


def _may_overlap(
    server: ServerState, request: Request, ready: Response | None
) -> bool:
    return ready is None and server.may_overlap(request)


def _without_body(request: Request) -> Request:
    """Return what is kept of a request after its response, for log lines."""
    is_short = request.head_bytes <= MAX_KEPT_HEAD_BYTES
    has_few_lines = len(request.headers) <= MAX_KEPT_LINES
    if is_short and has_few_lines and not request.body_bytes:
        return request
    kept_lines = tuple(
        (name, content)
        for name, content in request.headers[:MAX_KEPT_LINES]
        if len(name) + len(content) <= MAX_KEPT_LINE_BYTES
    )
    return replace(
        request,
        request_target=request.request_target[:MAX_KEPT_LINE_BYTES],
        headers=kept_lines,
        body=b'',
        long_body=(),
    )


def _held_bytes(request: Request) -> int:
    lines_bytes = len(request.headers) * LINE_COST
    head_bytes = REQUEST_COST + lines_bytes + request.head_bytes
    return head_bytes + request.body_bytes


def _response_bytes(response: Response) -> int:
    size = len(response.body) + len(response.headers) * LINE_COST
    return size if response.rest is None else size + STREAM_COST


def _sendable(
    request: Request, response: Response, server: ServerState
) -> Response:
    """Return the response, or its fallback if its body has failed."""
    rest = response.rest
    if rest is None or not rest.has_failed or response.fallback is None:
        return response
    _log.info(
        'body failed before its turn on the connection',
        request=server.log_id(request),
        status=int(response.fallback.status),
    )
    return response.fallback
