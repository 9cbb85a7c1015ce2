"""Server that accepts links."""

import asyncio
from collections.abc import Callable
from contextlib import AsyncExitStack

import structlog
from plantainstand_core import Clock

from plantainstand_links._frames import FrameAccount
from plantainstand_links._link import Link, LinkCallbacks, LinkTimings

_log = structlog.get_logger()

MAX_LINKS = 1024
"""Links that a server accepts unless it is told otherwise."""

LISTEN_BACKLOG = 128
"""Connections that the event loop accepts in one turn."""


class LinkServer:
    """Accepts links of other processes.

    A peer is a stranger until the owner admits its link. At the limit of links
    the stranger that has been connected for longest makes room for the next
    peer, so that strangers cannot keep out those that belong here.
    """

    def __init__(
        self,
        events: LinkCallbacks,
        clock: Clock,
        times: LinkTimings,
        max_links: int = MAX_LINKS,
        open_account: Callable[[], FrameAccount] | None = None,
    ):
        """Report the events of each accepted link to ``events``.

        ``open_account`` returns what counts the bytes that a new link holds;
        without it, all peers are admitted.
        """
        self._link_callbacks = LinkCallbacks(
            self._opened, events.received, self._closed, events.writable
        )
        self._callbacks = events
        self._clock = clock
        self._times = times
        self._max_links = max_links
        self._open_account = open_account
        self._links: dict[Link, None] = {}
        self.refused_count = 0
        """Links that were closed to keep to the limit."""

    @property
    def link_count(self) -> int:
        """Number of open links."""
        return len(self._links)

    async def start(self, host: str, port: int, stack: AsyncExitStack) -> None:
        """Listen until ``stack`` is closed, which aborts all links."""
        server = await asyncio.get_running_loop().create_server(
            self._create_link,
            host,
            port,
            backlog=LISTEN_BACKLOG,
            reuse_address=True,
        )
        stack.callback(self._abort_all)
        stack.callback(server.close)

    def _create_link(self) -> Link:
        account = None if self._open_account is None else self._open_account()
        return Link(
            self._link_callbacks, self._clock, self._times, account=account
        )

    def _opened(self, link: Link) -> None:
        if len(self._links) >= self._max_links and not self._make_room():
            _log.warning('link refused', peer=link.peer_address)
            self.refused_count += 1
            link.abort()
            return
        self._links[link] = None
        self._callbacks.opened(link)

    def _make_room(self) -> bool:
        """Close the oldest link whose peer has not been admitted, if any."""
        oldest = next(
            (each for each in self._links if not each.is_admitted), None
        )
        if oldest is None:
            return False
        self.refused_count += 1
        self._forget(oldest)
        oldest.abort()
        return True

    def _closed(self, link: Link) -> None:
        if link in self._links:
            self._forget(link)

    def _forget(self, link: Link) -> None:
        self._links.pop(link)
        self._callbacks.closed(link)

    def _abort_all(self) -> None:
        for link in tuple(self._links):
            link.abort()
