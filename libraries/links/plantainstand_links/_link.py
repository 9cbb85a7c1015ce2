"""One connection between two processes."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

import structlog
from plantainstand_core import Clock

from plantainstand_links._frames import (
    LENGTH,
    FrameAccount,
    FrameBuffer,
    UncountedFrames,
)

_log = structlog.get_logger()

_PING = LENGTH.pack(0)

MAX_FRAME_BYTES = 16 * 1024 * 1024
"""Longest frame; a desired state of thousands of routes is far smaller."""

MAX_FIRST_FRAME_BYTES = 4096
"""Longest frame of a peer that has not been admitted yet: it says who sends,
in fewer than 200 bytes."""

MAX_FRAMES_PER_TURN = 256
"""Frames that are delivered before other connections get a turn."""

MAX_UNSENT_BYTES = 4 * 1024 * 1024
"""Unsent bytes above which the connection is aborted, so that a peer that does
not read cannot exhaust the memory of this process."""


def _ignore(_link: 'Link') -> None:
    """Do nothing with an event."""


@dataclass(frozen=True)
class LinkTimings:
    """Intervals and timeouts of a link."""

    ping_interval: timedelta = timedelta(milliseconds=500)
    """Interval of the pings on a link without other frames."""

    silence_timeout: timedelta = timedelta(milliseconds=1600)
    """Time without bytes after which a link is aborted: three pings."""

    frame_timeout: timedelta = timedelta(seconds=10)
    """Longest time in which the rest of a frame must come. A peer could keep
    the longest frame in memory by sending a byte now and then."""

    admission_timeout: timedelta = timedelta(seconds=3)
    """Longest time until the peer of an accepted link has been admitted. Peers
    say who they are as soon as the connection is open."""

    connect_timeout: timedelta = timedelta(seconds=1)
    """Longest time to open a connection."""

    reconnect_delay: timedelta = timedelta(milliseconds=300)
    """Time before the next attempt to connect."""


@dataclass(frozen=True)
class LinkCallbacks:
    """Callbacks of the code that uses a link."""

    opened: Callable[['Link'], None]
    """Called when the connection is open."""

    received: Callable[['Link', bytes], None]
    """Called with each frame; the callee rejects malformed content."""

    closed: Callable[['Link'], None]
    """Called when the connection is closed or lost."""

    writable: Callable[['Link'], None] = _ignore
    """Called when the link is no longer congested."""


class Link(asyncio.Protocol):
    """Connection that carries length-prefixed frames in both directions."""

    def __init__(
        self,
        events: LinkCallbacks,
        clock: Clock,
        times: LinkTimings,
        max_unsent_bytes: int = MAX_UNSENT_BYTES,
        account: FrameAccount | None = None,
    ):
        """Create a link whose connection is opened by the event loop.

        With an ``account``, which counts the bytes of frames that are not
        whole, the peer is a stranger until :meth:`admit`.
        """
        self._max_unsent_bytes = max_unsent_bytes
        self._is_admitted = account is None
        self._frames = FrameBuffer(
            account or UncountedFrames(),
            MAX_FRAME_BYTES if self._is_admitted else MAX_FIRST_FRAME_BYTES,
        )
        self._events = events
        self._clock = clock
        self._times = times
        self._transport: asyncio.Transport | None = None
        self._opened_at = clock.monotonic()
        self._last_received_at = clock.monotonic()
        self._last_sent_at = clock.monotonic()
        self._frame_begun_at = clock.monotonic()
        self._timer: asyncio.TimerHandle | None = None
        self._is_congested = False
        self.closed = asyncio.get_running_loop().create_future()

    @property
    def is_open(self) -> bool:
        """Whether frames can be sent."""
        transport = self._transport
        return transport is not None and not transport.is_closing()

    @property
    def is_admitted(self) -> bool:
        """Whether it is known that the peer belongs to the deployment."""
        return self._is_admitted

    @property
    def is_congested(self) -> bool:
        """Whether the peer has yet to read what was sent to it.

        ``LinkCallbacks.writable`` is called when this ends.
        """
        return self._is_congested

    @property
    def unsent_bytes(self) -> int:
        """Bytes that wait until the peer reads."""
        transport = self._transport
        return 0 if transport is None else transport.get_write_buffer_size()

    @property
    def heard_at(self) -> timedelta:
        """Monotonic time at which the last bytes arrived."""
        return self._last_received_at

    @property
    def peer_address(self) -> str:
        """IP address of the peer, or an empty string."""
        if self._transport is None:
            return ''
        # There is none if the peer has reset the connection already.
        peer = self._transport.get_extra_info('peername')
        return '' if peer is None else str(peer[0])

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """See :class:`asyncio.Protocol`."""
        assert isinstance(transport, asyncio.Transport)  # noqa: S101
        self._transport = transport
        self._opened_at = self._clock.monotonic()
        self._last_received_at = self._opened_at
        self._events.opened(self)
        self._check_liveness()

    def connection_lost(self, _problem: Exception | None) -> None:
        """See :class:`asyncio.Protocol`."""
        self._transport = None
        self._frames.close()
        if self._timer is not None:
            self._timer.cancel()
        if not self.closed.done():
            self.closed.set_result(None)
        self._events.closed(self)

    def data_received(self, chunk: bytes) -> None:
        """Split received bytes into frames."""
        self._last_received_at = self._clock.monotonic()
        if not self._frames.has_bytes:
            self._frame_begun_at = self._last_received_at
        self._frames.append(chunk)
        self._deliver_frames()

    def pause_writing(self) -> None:
        """See :class:`asyncio.Protocol`."""
        self._is_congested = True

    def resume_writing(self) -> None:
        """See :class:`asyncio.Protocol`."""
        self._is_congested = False
        self._events.writable(self)

    def send(self, frame: bytes) -> None:
        """Send a frame; drop it if the link is closed."""
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        if transport.get_write_buffer_size() > self._max_unsent_bytes:
            transport.abort()
            return
        self._last_sent_at = self._clock.monotonic()
        transport.write(LENGTH.pack(len(frame)) + frame)

    def admit(self, max_frame_bytes: int = MAX_FRAME_BYTES) -> None:
        """Accept frames of this length: the peer belongs to the deployment."""
        self._is_admitted = True
        self._frames.max_frame_bytes = max_frame_bytes

    def abort(self) -> None:
        """Close the connection at once, without sending what is buffered."""
        if self._transport is not None:
            self._transport.abort()

    def _deliver_frames(self) -> None:
        """Deliver whole frames; leave further ones to a later turn.

        The peer is not read meanwhile.
        """
        if self._transport is not None:
            self._transport.resume_reading()
        has_more = True
        for _ in range(MAX_FRAMES_PER_TURN):
            has_more = self._deliver_next()
            if not has_more:
                break
        if self._frames.drop_taken():
            self._frame_begun_at = self._clock.monotonic()
        if has_more and self._transport is not None and self._frames.has_bytes:
            self._transport.pause_reading()
            asyncio.get_running_loop().call_soon(self._deliver_frames)

    def _deliver_next(self) -> bool:
        """Deliver a frame; return False if there is none to deliver."""
        if self._transport is not None and self._transport.is_closing():
            return False
        if self._frames.is_too_long:
            _log.warning('frame too long', peer=self.peer_address)
            self.abort()
            return False
        frame = self._frames.take()
        if frame is None:
            return False
        if frame:
            self._events.received(self, frame)
        if frame and not self._is_admitted:
            # The first frame has to say who sends.
            _log.warning('peer not admitted', peer=self.peer_address)
            self.abort()
        return True

    def _check_liveness(self) -> None:
        if self._transport is None:
            return
        now = self._clock.monotonic()
        silence = now - self._last_received_at
        frame_age = now - self._frame_begun_at
        is_overdue = (
            self._frames.has_bytes and frame_age > self._times.frame_timeout
        )
        age = now - self._opened_at
        is_overdue |= (
            not self._is_admitted and age > self._times.admission_timeout
        )
        if silence > self._times.silence_timeout or is_overdue:
            self.abort()
            return
        # A frame that was sent recently serves as a ping.
        if (
            self._clock.monotonic() - self._last_sent_at
            > self._times.ping_interval / 2
        ):
            self._transport.write(_PING)
        self._timer = asyncio.get_running_loop().call_later(
            self._times.ping_interval.total_seconds(),
            self._check_liveness,
        )
