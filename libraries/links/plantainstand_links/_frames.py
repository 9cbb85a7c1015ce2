"""Length-prefixed frames in the bytes of one connection."""

import struct
from typing import Protocol

LENGTH = struct.Struct('>I')
"""Prefix of a frame; a frame of length 0 is a ping."""


class FrameAccount(Protocol):
    """Counts what one link holds as a part of the memory of the process."""

    def add(self, size: int) -> None:
        """Hold ``size`` bytes more, or less if it is negative."""

    def close(self) -> None:
        """Hold nothing from now on."""


class UncountedFrames:
    """Account of a link that this process opened itself."""

    def add(self, size: int) -> None:
        """See :class:`FrameAccount`."""

    def close(self) -> None:
        """See :class:`FrameAccount`."""


class FrameBuffer:
    """Received bytes whose frames have not been delivered."""

    def __init__(self, account: FrameAccount, max_frame_bytes: int):
        """Hold nothing; what is held later is added to ``account``."""
        self.max_frame_bytes = max_frame_bytes
        self._account = account
        self._buffer = bytearray()
        self._taken_bytes = 0

    @property
    def has_bytes(self) -> bool:
        """Whether any bytes are held."""
        return bool(self._buffer)

    @property
    def is_too_long(self) -> bool:
        """Whether the next frame is longer than ``max_frame_bytes``."""
        length = self._next_length()
        return length is not None and length > self.max_frame_bytes

    def append(self, chunk: bytes) -> None:
        """Hold further bytes."""
        self._buffer += chunk
        self._account.add(len(chunk))

    def take(self) -> bytes | None:
        """Return the next frame, or None if it is not whole."""
        length = self._next_length()
        if length is None:
            return None
        start = self._taken_bytes + LENGTH.size
        if start + length > len(self._buffer):
            return None
        self._taken_bytes = start + length
        # A view, since a slice would be another copy of a long frame.
        with memoryview(self._buffer) as view:
            return bytes(view[start : start + length])

    def drop_taken(self) -> bool:
        """Free what has been taken; return whether that was anything."""
        taken_bytes = self._taken_bytes
        if taken_bytes:
            self._account.add(-taken_bytes)
            self._buffer = self._buffer[taken_bytes:]
            self._taken_bytes = 0
        return taken_bytes > 0

    def close(self) -> None:
        """Free everything for good."""
        self._account.close()
        self._buffer = bytearray()
        self._taken_bytes = 0

    def _next_length(self) -> int | None:
        start = self._taken_bytes
        if len(self._buffer) < start + LENGTH.size:
            return None
        return int(LENGTH.unpack_from(self._buffer, start)[0])
