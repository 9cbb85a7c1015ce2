"""Reads many connections into one buffer."""

import asyncio


class SharedBufferProtocol(asyncio.BufferedProtocol):
    """Receives views of a buffer that all connections of a server share.

    A buffer for each read would be 256 KiB long, for each connection that has
    bytes, and leave gaps between what is kept.
    """

    def __init__(self, read_buffer: memoryview):
        """Read into ``read_buffer``."""
        self._read_buffer = read_buffer

    def get_buffer(self, _size_hint: int) -> memoryview:
        """See :class:`asyncio.BufferedProtocol`."""
        return self._read_buffer

    def buffer_updated(self, size: int) -> None:
        """See :class:`asyncio.BufferedProtocol`."""
        self.data_received(self._read_buffer[:size])

    def data_received(self, chunk: bytes | memoryview) -> None:
        """Take what was read; a view is overwritten by the next read."""
        raise NotImplementedError
