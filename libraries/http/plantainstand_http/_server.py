"""HTTP/1.1 server with one asyncio protocol object per connection."""

import asyncio
from collections.abc import Callable
from contextlib import AsyncExitStack
from datetime import timedelta

from plantainstand_core import Clock

from plantainstand_http._budget import ClientBudget
from plantainstand_http._client_connection import ClientConnection
from plantainstand_http._messages import Request
from plantainstand_http._pacing import PieceBudget
from plantainstand_http._pipeline import ClientLimits, Handler, ServerState

TIMEOUT_CHECK_INTERVAL = timedelta(milliseconds=250)
"""Interval of the checks for idle and slow clients."""

LISTEN_BACKLOG = 1024
"""Most connections that may wait to be accepted; clients that find the queue
full retry only after seconds."""


class HttpServer:
    """Listens on one address; all connections share one handler."""

    def __init__(
        self,
        handler: Handler,
        clock: Clock,
        may_overlap: Callable[[Request], bool] | None = None,
        limits: ClientLimits | None = None,
        log_id: Callable[[Request], str] | None = None,
        clients: ClientBudget | None = None,
    ):
        """Serve with default limits, if none are given or set later.

        ``may_overlap`` tells which pipelined requests may be handled before the
        preceding ones have their responses; without it, none. ``log_id``
        returns the id of a request for log lines. ``clients`` is the budget
        that all servers of the process share.
        """
        self._state = ServerState(
            handler,
            may_overlap or _never,
            PieceBudget(clock),
            limits=limits or ClientLimits(),
        )
        if log_id is not None:
            self._state.log_id = log_id
        if clients is not None:
            self._state.clients = clients
        self._clock = clock
        self._listener: asyncio.Server | None = None

    @property
    def limits(self) -> ClientLimits:
        """Limits on the requests of clients."""
        return self._state.limits

    @limits.setter
    def limits(self, limits: ClientLimits) -> None:
        self._state.limits = limits

    @property
    def buffered_body_bytes(self) -> int:
        """Request bodies that are held now."""
        return self._state.buffered_body_bytes

    @property
    def pause_count(self) -> int:
        """How often a client that sends small pieces was not read."""
        return self._state.budget.pause_count

    @property
    def busy_count(self) -> int:
        """Number of connections with unfinished requests or unsent bytes."""
        return sum(each.busy for each in self._state.connections)

    async def start(self, host: str, port: int, stack: AsyncExitStack) -> None:
        """Listen until ``stack`` is closed, which aborts all connections."""
        loop = asyncio.get_running_loop()
        # The event loop accepts as many connections as its backlog in one
        # turn, before it counts any of them.
        limit = self._state.clients.limits.connections
        server = await loop.create_server(
            lambda: ClientConnection(self._state, self._clock),
            host,
            port,
            backlog=max(1, min(LISTEN_BACKLOG, limit)),
            reuse_address=True,
        )
        self._listener = server
        stack.callback(self._abort_all)
        stack.callback(server.close)
        timeout_checks = loop.create_task(self._check_timeouts_forever())
        stack.callback(timeout_checks.cancel)

    def announce_close(self) -> None:
        """Announce the close of connections with their last response."""
        self._state.closing = True

    def stop_accepting(self) -> None:
        """Stop listening; close connections that are idle, now or later.

        Clients that connect later are refused before they have sent anything.
        """
        self._state.listening = False
        if self._listener is not None:
            self._listener.close()
        for connection in tuple(self._state.connections):
            connection.close_if_idle()

    def _abort_all(self) -> None:
        for connection in tuple(self._state.connections):
            connection.abort()

    async def _check_timeouts_forever(self) -> None:
        while True:
            await asyncio.sleep(TIMEOUT_CHECK_INTERVAL.total_seconds())
            now = self._clock.monotonic()
            self._state.clients.check(now)
            for connection in tuple(self._state.connections):
                connection.check_timeouts(now)


def _never(_request: Request) -> bool:
    return False
