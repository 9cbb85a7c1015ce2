"""Accepts links."""

import asyncio
from contextlib import AsyncExitStack

from plantainstand_core import Clock

from plantainstand_links._link import Link, LinkEvents, LinkTimes


class LinkServer:
    """Listens for links of other processes."""

    def __init__(self, events: LinkEvents, clock: Clock, times: LinkTimes):
        """Hand each accepted link to the events."""
        self._events = events
        self._clock = clock
        self._times = times

    async def start(self, host: str, port: int, stack: AsyncExitStack) -> None:
        """Listen until the stack is closed."""
        server = await asyncio.get_running_loop().create_server(
            lambda: Link(self._events, self._clock, self._times),
            host,
            port,
            reuse_address=True,
        )
        stack.callback(server.close)
