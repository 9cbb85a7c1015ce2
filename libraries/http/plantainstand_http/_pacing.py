"""Limits what the bytes of peers cost the event loop.

A piece is what the parser reports in one call: a chunk of a body, for example.
It costs a microsecond or more whatever its length, so a peer that sends chunks
of one byte costs far more than its bandwidth suggests.
"""

import asyncio
from collections.abc import Callable
from datetime import timedelta
from enum import Enum

import structlog
from plantainstand_core import Clock

_log = structlog.get_logger()

SMALL_PIECE_BYTES = 256
"""Length below which a piece, or what one read returns, is small."""

FREE_PIECES = 64
"""Small pieces of one message that are not charged."""

PIECE_INTERVAL = timedelta(microseconds=25)
"""Time between two charged pieces of all peers together: 40,000 per second."""

BURST = timedelta(milliseconds=100)
"""Time for which pieces may be charged in advance: 4,000 pieces."""

SMALL_READ_PIECES = 16
"""Pieces that a small read is charged as; it costs a turn of the loop."""

_NO_TIME = timedelta(0)


class PieceBudget:
    """Rate of small pieces that all peers of one kind share.

    Peers that keep to usual messages are never charged, so they do not wait
    for those that do not.
    """

    def __init__(self, clock: Clock):
        """Start with a full burst."""
        self._clock = clock
        self._charged_until = clock.monotonic()
        self.pause_count = 0
        """How often the reading of a peer was paused."""

    def charge(self, pieces: int) -> timedelta:
        """Charge pieces; return for how long their peer must not be read."""
        now = self._clock.monotonic()
        start = max(self._charged_until, now - BURST)
        self._charged_until = start + pieces * PIECE_INTERVAL
        pause = self._charged_until - now
        if pause <= _NO_TIME:
            return _NO_TIME
        self.pause_count += 1
        return pause


class PauseCause(Enum):
    """Why received bytes are not parsed."""

    CONSUMER = 'consumer'
    """The consumer has enough."""

    MEMORY = 'memory'
    """The memory of the process is short."""


class PacedInput:
    """Parses the bytes of one connection in slices, within the budget.

    Bytes that wait are those of one read at most, since the transport is not
    read meanwhile.
    """

    def __init__(
        self,
        budget: PieceBudget,
        slice_bytes: int,
        parse: Callable[[bytes | memoryview], int],
    ):
        """``parse`` takes a slice and returns its number of small pieces."""
        self._budget = budget
        self._slice_bytes = slice_bytes
        self._parse = parse
        self._transport: asyncio.Transport | None = None
        self._rest: bytes | memoryview = b''
        self._free_pieces = FREE_PIECES
        self._pauses: set[PauseCause] = set()
        self._has_ended = False
        self._timer: asyncio.TimerHandle | None = None
        self._has_logged = False

    @property
    def is_waiting(self) -> bool:
        """Whether bytes are not parsed yet, or the peer is not read for now."""
        return bool(self._rest) or self._timer is not None

    @property
    def rest_bytes(self) -> int:
        """Received bytes that are not parsed yet."""
        return len(self._rest)

    def open(self, transport: asyncio.Transport) -> None:
        """Control the reading of ``transport``."""
        self._transport = transport

    def close(self) -> None:
        """Forget the transport and what was not parsed."""
        self._transport = None
        self.discard()

    def discard(self) -> None:
        """Forget what was not parsed."""
        self._rest = b''
        self._end_hold()

    def end_receiving(self) -> None:
        """Receive nothing more; what was received is still parsed."""
        self._has_ended = True
        self._update_reading()

    def begin_message(self) -> None:
        """Restore the free pieces for a further message."""
        self._free_pieces = FREE_PIECES

    def receive(self, chunk: bytes | memoryview) -> None:
        """Parse what was read, now or later.

        A view is copied if a part of it has to wait.
        """
        self._rest = b'%s%s' % (self._rest, chunk) if self._rest else chunk
        if len(chunk) < SMALL_PIECE_BYTES:
            self._charge(SMALL_READ_PIECES)
        self._parse_rest()

    def pause(self, cause: PauseCause = PauseCause.CONSUMER) -> None:
        """Stop after the current slice."""
        self._pauses.add(cause)
        self._update_reading()

    def resume(self, cause: PauseCause = PauseCause.CONSUMER) -> None:
        """Go on, unless there is another cause to pause."""
        if cause not in self._pauses:
            return
        self._pauses.discard(cause)
        if self._rest:
            asyncio.get_running_loop().call_soon(self._parse_rest)
        else:
            self._update_reading()

    def _parse_rest(self) -> None:
        while self._rest and not self._pauses and self._timer is None:
            part = self._rest
            self._rest = b''
            if len(part) > self._slice_bytes:
                whole = memoryview(part)
                part = whole[: self._slice_bytes]
                self._rest = whole[self._slice_bytes :]
            self._charge(self._parse(part))
        if isinstance(self._rest, memoryview):
            # The view's buffer is used for what is read next.
            self._rest = bytes(self._rest)
        self._update_reading()

    def _charge(self, pieces: int) -> None:
        charged = max(pieces - self._free_pieces, 0)
        self._free_pieces = max(self._free_pieces - pieces, 0)
        if not charged or self._transport is None:
            return
        pause = self._budget.charge(charged)
        if pause <= _NO_TIME or self._timer is not None:
            return
        if not self._has_logged:
            self._has_logged = True
            peer = self._transport.get_extra_info('peername')
            _log.info('peer sends small pieces, reading paused', peer=peer)
        self._timer = asyncio.get_running_loop().call_later(
            pause.total_seconds(), self._resume_held
        )

    def _resume_held(self) -> None:
        self._end_hold()
        self._parse_rest()

    def _end_hold(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _update_reading(self) -> None:
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        is_held = self._pauses or self._timer is not None or self._rest
        if is_held or self._has_ended:
            transport.pause_reading()
        else:
            transport.resume_reading()
