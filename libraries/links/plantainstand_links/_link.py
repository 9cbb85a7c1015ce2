"""One connection between two processes."""

import asyncio
import struct
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from plantainstand_core import Clock

_LENGTH = struct.Struct('>I')
_PING = _LENGTH.pack(0)

MAX_FRAME_BYTES = 16 * 1024 * 1024
"""Longest frame; far above a whole desired state of thousands of routes."""

MAX_UNSENT_BYTES = 8 * 1024 * 1024
"""A peer that leaves more than this unread is disconnected, so that it
cannot take up the memory of this process."""


@dataclass(frozen=True)
class LinkTimings:
    """Intervals of a link."""

    ping_interval: timedelta = timedelta(milliseconds=500)
    """How often a frame is sent when there is nothing else to say."""

    silence_limit: timedelta = timedelta(milliseconds=1600)
    """A link without frames for this long counts as lost: three pings."""

    connect_timeout: timedelta = timedelta(seconds=1)
    """Longest wait for a connection."""

    retry_pause: timedelta = timedelta(milliseconds=300)
    """Pause before the next attempt to connect."""


@dataclass(frozen=True)
class LinkCallbacks:
    """What the embedder does when something happens on a link."""

    opened: Callable[['Link'], None]
    """The connection is up."""

    received: Callable[['Link', bytes], None]
    """A frame arrived; malformed content is the embedder's to refuse."""

    closed: Callable[['Link'], None]
    """The connection is gone."""


class Link(asyncio.Protocol):
    """Frames of bytes in both directions."""

    def __init__(self, events: LinkCallbacks, clock: Clock, times: LinkTimings):
        """Wait for the connection to be made."""
        self._events = events
        self._clock = clock
        self._times = times
        self._transport: asyncio.Transport | None = None
        self._buffer = bytearray()
        self._heard_at = clock.monotonic()
        self._sent_at = clock.monotonic()
        self._timer: asyncio.TimerHandle | None = None
        self.closed = asyncio.get_running_loop().create_future()

    @property
    def is_open(self) -> bool:
        """Whether frames can be sent."""
        transport = self._transport
        return transport is not None and not transport.is_closing()

    @property
    def peer_address(self) -> str:
        """IP address of the other end, or an empty string."""
        if self._transport is None:
            return ''
        return str(self._transport.get_extra_info('peername')[0])

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """See :class:`asyncio.Protocol`."""
        assert isinstance(transport, asyncio.Transport)  # noqa: S101
        self._transport = transport
        self._heard_at = self._clock.monotonic()
        self._events.opened(self)
        self._ping()

    def connection_lost(self, _problem: Exception | None) -> None:
        """Tell the embedder."""
        self._transport = None
        if self._timer is not None:
            self._timer.cancel()
        if not self.closed.done():
            self.closed.set_result(None)
        self._events.closed(self)

    def data_received(self, chunk: bytes) -> None:
        """Split bytes into frames."""
        self._heard_at = self._clock.monotonic()
        self._buffer += chunk
        frame = self._take_frame()
        while frame is not None:
            if frame:
                self._events.received(self, frame)
            frame = self._take_frame()

    def send(self, frame: bytes) -> None:
        """Send a frame, or drop it if the link is closed."""
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        if transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            transport.abort()
            return
        self._sent_at = self._clock.monotonic()
        transport.write(_LENGTH.pack(len(frame)) + frame)

    def abort(self) -> None:
        """Close at once."""
        if self._transport is not None:
            self._transport.abort()

    def _take_frame(self) -> bytes | None:
        """Return the next frame, empty for a ping, or None."""
        head = self._buffer[: _LENGTH.size]
        if len(head) < _LENGTH.size:
            return None
        length = int.from_bytes(head, 'big')
        end = _LENGTH.size + length
        if length > MAX_FRAME_BYTES:
            self.abort()
            return None
        if len(self._buffer) < end:
            return None
        frame = bytes(self._buffer[_LENGTH.size : end])
        self._buffer = self._buffer[end:]
        return frame

    def _ping(self) -> None:
        if self._transport is None:
            return
        silence = self._clock.monotonic() - self._heard_at
        if silence > self._times.silence_limit:
            self.abort()
            return
        # A frame that was sent a moment ago shows as well that this end is
        # alive.
        if (
            self._clock.monotonic() - self._sent_at
            > self._times.ping_interval / 2
        ):
            self._transport.write(_PING)
        self._timer = asyncio.get_running_loop().call_later(
            self._times.ping_interval.total_seconds(),
            self._ping,
        )
