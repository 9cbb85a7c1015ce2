"""Answers the requests of one connection in the order of their arrival."""

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass, field
from datetime import timedelta
from http import HTTPStatus
from typing import Protocol

import structlog

from plantainstand_http._messages import Request, Response
from plantainstand_http._output import ClientOutput

Handler = Callable[[Request], Awaitable[Response]]
"""Answers a request; it is cancelled when the client leaves."""

_log = structlog.get_logger()

MAX_CONCURRENT_REQUESTS = 16
"""Requests of one connection that are served at a time; while more wait,
nothing is read."""


@dataclass(frozen=True)
class ClientLimits:
    """What a client may send, and how long it may take."""

    header_bytes: int = 16_384
    """Longest request head, in bytes."""

    body_bytes: int = 67_108_864
    """Longest request body, in bytes."""

    head_timeout: timedelta = timedelta(seconds=10)
    """Longest time for a request head to arrive."""

    idle_timeout: timedelta = timedelta(seconds=75)
    """Longest time between two requests, or between two pieces of a body."""


class OpenConnection(Protocol):
    """A connection as its server sees it."""

    @property
    def busy(self) -> bool:
        """Whether a request is read or answered, or an answer is leaving."""

    def check_timeouts(self, now: timedelta) -> None:
        """Close a connection that is idle, or whose client is slow."""

    def close_if_idle(self) -> None:
        """Close unless a request is being read or answered."""

    def abort(self) -> None:
        """Close at once."""


@dataclass
class ServerState:
    """What all connections of a server share."""

    handler: Handler
    may_overlap: Callable[[Request], bool]
    """Whether a request may be served before those read earlier from its
    connection are answered. One that must run at most once may not: if an
    earlier answer closes the connection, clients send it again."""

    limits: ClientLimits = field(default_factory=ClientLimits)
    closing: bool = False
    """Whether connections end after the requests that were read."""

    buffered_body_bytes: int = 0
    connections: set[OpenConnection] = field(default_factory=set)


@dataclass(frozen=True)
class PipelineCallbacks:
    """What a pipeline asks of its connection."""

    stop_reading: Callable[[], None]
    """No more requests are to be read."""

    end_output: Callable[[], None]
    """The last answer has been sent."""

    progressed: Callable[[], None]
    """A request is answered."""


class RequestPipeline:
    """Requests of one connection that are not answered yet."""

    def __init__(self, server: ServerState, events: PipelineCallbacks):
        """Start without requests; :meth:`open` is called before the first."""
        self._server = server
        self._events = events
        self._output: ClientOutput | None = None
        self._waiting: deque[tuple[Request, Response | None]] = deque()
        self._tasks: deque[asyncio.Task[None]] = deque()
        self._last_started: tuple[Request, Response | None] | None = None
        self._input_ended = False
        self._body_bytes = 0

    @property
    def is_answering(self) -> bool:
        """Whether requests are unanswered."""
        return bool(self._tasks or self._waiting)

    @property
    def input_ended(self) -> bool:
        """Whether no further request is to be read."""
        return self._input_ended

    @property
    def is_full(self) -> bool:
        """Whether requests wait for earlier ones."""
        return bool(self._waiting)

    @property
    def body_bytes(self) -> int:
        """Size of the bodies of unanswered requests."""
        return self._body_bytes

    def open(self, output: ClientOutput) -> None:
        """Send answers to this output."""
        self._output = output

    def add(self, request: Request, ready: Response | None = None) -> None:
        """Have a request answered; ``ready`` is the answer, if known."""
        self._body_bytes += len(request.body)
        if not request.keep_alive:
            self._input_ended = True
        self._waiting.append((request, ready))
        self._start_next()

    def send_continue(self) -> None:
        """Tell a client that waits for it to send its body."""
        if self._output is not None and not self.is_answering:
            self._output.send_continue()

    def end_input(self) -> None:
        """Close after the last of the requests that were added."""
        self._input_ended = True

    def cancel(self) -> None:
        """Give up all requests; the client has left."""
        self._output = None
        self._input_ended = True
        self._waiting.clear()
        for task in self._tasks:
            task.cancel()

    def _start_next(self) -> None:
        while self._waiting and self._may_start(*self._waiting[0]):
            request, ready = self._waiting.popleft()
            before = self._tasks[-1] if self._tasks else None
            work = self._answer(request, ready, before)
            task = asyncio.get_running_loop().create_task(work)
            self._tasks.append(task)
            self._last_started = (request, ready)

    def _may_start(self, request: Request, ready: Response | None) -> bool:
        if self._last_started is None:
            return True
        # Those started before the last one have been found to overlap.
        return (
            len(self._tasks) < MAX_CONCURRENT_REQUESTS
            and self._overlaps(*self._last_started)
            and self._overlaps(request, ready)
        )

    def _overlaps(self, request: Request, ready: Response | None) -> bool:
        return ready is None and self._server.may_overlap(request)

    async def _answer(
        self,
        request: Request,
        ready: Response | None,
        before: asyncio.Task[None] | None,
    ) -> None:
        with suppress(asyncio.CancelledError):
            response = ready or await self._respond(request)
            try:
                await self._send_in_turn(request, response, before)
            finally:
                if response.rest is not None:
                    response.rest.close()
        self._tasks.popleft()
        self._body_bytes -= len(request.body)
        if not self._tasks:
            self._last_started = None
        if self._output is not None:
            self._start_next()
        self._events.progressed()

    async def _respond(self, request: Request) -> Response:
        try:
            return await self._server.handler(request)
        except Exception:
            # One request must not end the process: the fault is logged with
            # its trace and answered without a promise.
            _log.exception('request handler failed', path=str(request.path))
            return Response(HTTPStatus.INTERNAL_SERVER_ERROR, close=True)

    async def _send_in_turn(
        self,
        request: Request,
        response: Response,
        before: asyncio.Task[None] | None,
    ) -> None:
        if before is not None and not before.done():
            await asyncio.wait((before,))
        output = self._output
        if output is None or not output.is_open:
            return
        if response.close or self._server.closing:
            self._events.stop_reading()
        # Requests that were read are answered before the connection ends.
        is_last = not self._waiting and len(self._tasks) == 1
        close = self._input_ended and is_last
        whole = await output.send(request, response, close=close)
        if whole and close:
            self._events.end_output()
