"""HTTP/1.1 server: one asyncio protocol object a connection."""

import asyncio
from collections.abc import Callable
from contextlib import AsyncExitStack
from datetime import timedelta

from plantainstand_core import Clock

from plantainstand_http._client_connection import ClientConnection
from plantainstand_http._messages import Request
from plantainstand_http._pipeline import ClientLimits, Handler, ServerState

SWEEP_INTERVAL = timedelta(milliseconds=250)
"""How often idle and slow clients are looked for."""

LISTEN_BACKLOG = 1024
"""Connections that may wait to be accepted; a full queue costs seconds."""


class HttpServer:
    """Listens on one address; all connections share one handler."""

    def __init__(
        self,
        handler: Handler,
        clock: Clock,
        may_overlap: Callable[[Request], bool] | None = None,
    ):
        """Serve with default limits until :attr:`limits` is set.

        ``may_overlap`` tells which pipelined requests are served before the
        ones that precede them are answered; without it, none.
        """
        self._state = ServerState(handler, may_overlap or _never)
        self._clock = clock
        self._listener: asyncio.Server | None = None

    @property
    def limits(self) -> ClientLimits:
        """What clients may send."""
        return self._state.limits

    @limits.setter
    def limits(self, limits: ClientLimits) -> None:
        self._state.limits = limits

    @property
    def busy_count(self) -> int:
        """Number of connections with a request, or with unsent bytes."""
        return sum(each.busy for each in self._state.connections)

    async def start(self, host: str, port: int, stack: AsyncExitStack) -> None:
        """Listen until the stack is closed."""
        loop = asyncio.get_running_loop()
        server = await loop.create_server(
            lambda: ClientConnection(self._state, self._clock),
            host,
            port,
            backlog=LISTEN_BACKLOG,
            reuse_address=True,
        )
        self._listener = server
        stack.callback(self._abort_all)
        stack.callback(server.close)
        sweeping = loop.create_task(self._sweep_forever())
        stack.callback(sweeping.cancel)

    def announce_close(self) -> None:
        """Announce with each response that the connection ends."""
        self._state.closing = True

    def stop_accepting(self) -> None:
        """Take no new connections, and close those that wait for a request.

        Clients that connect later are refused before they have sent anything.
        """
        if self._listener is not None:
            self._listener.close()
        for connection in tuple(self._state.connections):
            connection.close_if_idle()

    def _abort_all(self) -> None:
        for connection in tuple(self._state.connections):
            connection.abort()

    async def _sweep_forever(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_INTERVAL.total_seconds())
            now = self._clock.monotonic()
            for connection in tuple(self._state.connections):
                connection.check_timeouts(now)


def _never(_request: Request) -> bool:
    return False
