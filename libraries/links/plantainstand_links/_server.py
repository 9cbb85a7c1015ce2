"""Accepts links."""

import asyncio
from contextlib import AsyncExitStack

from plantainstand_core import Clock

from plantainstand_links._link import Link, LinkCallbacks, LinkTimings


class LinkServer:
    """Listens for links of other processes."""

    def __init__(self, events: LinkCallbacks, clock: Clock, times: LinkTimings):
        """Hand each accepted link to the events."""
        self._events = LinkCallbacks(
            self._opened, events.received, self._closed
        )
        self._embedder = events
        self._clock = clock
        self._times = times
        self._links: set[Link] = set()

    async def start(self, host: str, port: int, stack: AsyncExitStack) -> None:
        """Listen until the stack is closed, which ends all links."""
        server = await asyncio.get_running_loop().create_server(
            lambda: Link(self._events, self._clock, self._times),
            host,
            port,
            reuse_address=True,
        )
        stack.callback(self._abort_all)
        stack.callback(server.close)

    def _opened(self, link: Link) -> None:
        self._links.add(link)
        self._embedder.opened(link)

    def _closed(self, link: Link) -> None:
        self._links.discard(link)
        self._embedder.closed(link)

    def _abort_all(self) -> None:
        for link in tuple(self._links):
            link.abort()
