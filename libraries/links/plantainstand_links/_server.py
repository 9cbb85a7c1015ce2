"""Server that accepts links."""

import asyncio
from contextlib import AsyncExitStack

from plantainstand_core import Clock

from plantainstand_links._link import Link, LinkCallbacks, LinkTimings


class LinkServer:
    """Accepts links of other processes."""

    def __init__(self, events: LinkCallbacks, clock: Clock, times: LinkTimings):
        """Report the events of each accepted link to ``events``."""
        self._link_callbacks = LinkCallbacks(
            self._opened, events.received, self._closed, events.writable
        )
        self._callbacks = events
        self._clock = clock
        self._times = times
        self._links: set[Link] = set()

    async def start(self, host: str, port: int, stack: AsyncExitStack) -> None:
        """Listen until ``stack`` is closed, which aborts all links."""
        server = await asyncio.get_running_loop().create_server(
            lambda: Link(self._link_callbacks, self._clock, self._times),
            host,
            port,
            reuse_address=True,
        )
        stack.callback(self._abort_all)
        stack.callback(server.close)

    def _opened(self, link: Link) -> None:
        self._links.add(link)
        self._callbacks.opened(link)

    def _closed(self, link: Link) -> None:
        self._links.discard(link)
        self._callbacks.closed(link)

    def _abort_all(self) -> None:
        for link in tuple(self._links):
            link.abort()
