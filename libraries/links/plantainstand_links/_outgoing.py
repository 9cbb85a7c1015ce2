"""A link that reconnects whenever its connection is lost."""

import asyncio
from collections.abc import Callable
from datetime import timedelta

import structlog
from plantainstand_core import Clock

from plantainstand_links._link import (
    MAX_UNSENT_BYTES,
    Link,
    LinkCallbacks,
    LinkTimings,
)

_log = structlog.get_logger()


class OutgoingLink:
    """Keeps a connection to an address open."""

    def __init__(
        self,
        address: str,
        events: LinkCallbacks,
        clock: Clock,
        times: LinkTimings,
        max_unsent_bytes: int = MAX_UNSENT_BYTES,
        local_host: str | None = None,
    ):
        """Create a link to ``address``; :meth:`run` connects.

        The connection is closed if more than ``max_unsent_bytes`` wait. It is
        opened from the address ``local_host``, by which the peer knows this
        VM; by default the system chooses one.
        """
        self._local_address = None if local_host is None else (local_host, 0)
        self._max_unsent_bytes = max_unsent_bytes
        self.address = address
        self._events = events
        self._clock = clock
        self._times = times
        self._link: Link | None = None
        self._reachable = True

    @property
    def is_open(self) -> bool:
        """Whether frames can be sent."""
        return self._link is not None and self._link.is_open

    @property
    def heard_at(self) -> timedelta | None:
        """Monotonic time of the last bytes; None while closed."""
        link = self._link
        return link.heard_at if link is not None and link.is_open else None

    @property
    def unsent_bytes(self) -> int:
        """Bytes that wait until the peer reads."""
        return 0 if self._link is None else self._link.unsent_bytes

    def abort(self) -> None:
        """Close the connection at once; :meth:`run` connects again."""
        if self._link is not None:
            self._link.abort()

    def send(self, frame: bytes) -> None:
        """Send a frame; drop it while there is no connection."""
        if self._link is not None:
            self._link.send(frame)

    async def run(self) -> None:
        """Connect and reconnect until cancelled."""
        try:
            while True:
                await self._connect_once()
                await asyncio.sleep(self._times.reconnect_delay.total_seconds())
        finally:
            if self._link is not None:
                self._link.abort()

    async def _connect_once(self) -> None:
        host, _colon, port = self.address.rpartition(':')
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(
                self._times.connect_timeout.total_seconds(),
            ):
                _transport, link = await loop.create_connection(
                    self._new_link(),
                    host,
                    int(port),
                    local_addr=self._local_address,
                )
        except (OSError, TimeoutError) as problem:
            self._record_reachable(False, repr(problem))
            return
        self._link = link
        self._record_reachable(True, '')
        await link.closed

    def _new_link(self) -> Callable[[], Link]:
        return lambda: Link(
            self._events, self._clock, self._times, self._max_unsent_bytes
        )

    def _record_reachable(self, reachable: bool, cause: str) -> None:
        if reachable != self._reachable:
            self._reachable = reachable
            event = 'peer reachable again' if reachable else 'peer unreachable'
            _log.info(event, peer=self.address, cause=cause)
