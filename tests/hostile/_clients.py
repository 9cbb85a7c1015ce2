"""Clients that take as much as the limits on one request allow."""

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from contextlib import suppress
from dataclasses import dataclass
from functools import partial
from typing import Final

from tests.hostile._deployment import HOST

HEAD_BYTES: Final = 16_000
"""Size of a head, below the 16,384 bytes that are allowed."""

SHORT_LINE: Final = b'a:b\r\n'
ORDINARY_LINE: Final = b'x-item: abcdefg\r\n'
"""Line of the usual length of short headers: some 930 of them in one head."""

PIECE_BYTES: Final = 256 * 1024
CHUNK_BYTES: Final = 1000

Conversation = Callable[
    [asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]
]


class Crowd:
    """Clients that keep their connections until the crowd is dismissed."""

    def __init__(self, address: str):
        """Connect to ``address``."""
        host, _colon, port = address.rpartition(':')
        self._host = host
        self._port = int(port)
        self._tasks: list[asyncio.Task[None]] = []
        self._arrived = 0

    def join_all(
        self, count: int, client: Callable[[int], Conversation]
    ) -> None:
        """Add clients, which send and then keep their connections open.

        ``client`` returns what the client of a number sends.
        """
        for number in range(count):
            task = asyncio.create_task(self._stay(client(number)))
            self._tasks.append(task)

    async def wait_until_sent(self, seconds: float) -> None:
        """Wait until all have sent what they can, at most ``seconds``."""
        with suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                while self._arrived < len(self._tasks):
                    await asyncio.sleep(0.05)

    async def dismiss(self) -> None:
        """Close all connections."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _stay(self, sends: Conversation) -> None:
        # The system may refuse, reject or close at any time.
        writer = None
        try:
            with suppress(OSError, EOFError):
                reader, writer = await asyncio.open_connection(
                    self._host, self._port
                )
                await sends(reader, writer)
            self._arrived += 1
            await asyncio.Event().wait()
        finally:
            if writer is not None:
                writer.transport.abort()


def head_of_lines(line: bytes, path: bytes = b'/p/x') -> bytes:
    """Return a head of legal size that consists of one line many times."""
    start = b'GET %s HTTP/1.1\r\nHost: %s\r\n' % (path, HOST.encode())
    return start + line * ((HEAD_BYTES - len(start)) // len(line))


def line_of(number: int) -> bytes:
    """Return the line that client ``number`` repeats."""
    return ORDINARY_LINE if number % 2 else SHORT_LINE


def unfinished_head(number: int) -> Conversation:
    """Send a head without its end."""

    async def sends(
        _reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(head_of_lines(line_of(number)))
        await writer.drain()

    return sends


def slowly_finished_head(number: int) -> Conversation:
    """Send a head in eight parts over two seconds, then its end."""

    async def sends(
        _reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        head = head_of_lines(line_of(number))
        size = len(head) // 8 + 1
        for start in range(0, len(head), size):
            writer.write(head[start : start + size])
            await writer.drain()
            await asyncio.sleep(0.25)
        writer.write(b'\r\n')
        await writer.drain()

    return sends


def finished_heads(number: int, count: int) -> Conversation:
    """Send whole requests at once on one connection, and read nothing."""

    async def sends(
        _reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        for turn in range(count):
            ident = b'X-Request-Id: %08x%08x\r\n\r\n' % (number, turn)
            writer.write(head_of_lines(line_of(number)) + ident)
        await writer.drain()

    return sends


@dataclass(frozen=True)
class BodyClient:
    """Sends a body of legal size, most of them but for the last byte."""

    size: int
    path: bytes
    whole_every: int
    """One body in so many is sent to its end."""

    is_chunked: bool

    def sends(self, number: int) -> Conversation:
        """Return what client ``number`` sends."""
        return partial(self._send, number)

    async def _send(
        self,
        number: int,
        _reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        is_whole = number % self.whole_every == 0
        framing = b'Content-Length: %d' % self.size
        if self.is_chunked:
            framing = b'Transfer-Encoding: chunked'
        writer.write(
            b'POST %s HTTP/1.1\r\nHost: %s\r\n' % (self.path, HOST.encode())
        )
        writer.write(b'X-Request-Id: %016x\r\n%s\r\n\r\n' % (number, framing))
        sent_bytes = self.size if is_whole else self.size - 1
        for part in _parts(sent_bytes, is_chunked=self.is_chunked):
            writer.write(part)
            await writer.drain()
        if self.is_chunked and is_whole:
            writer.write(b'0\r\n\r\n')
            await writer.drain()


def idle(_number: int) -> Conversation:
    """Send nothing."""
    return _send_nothing


async def _send_nothing(
    _reader: asyncio.StreamReader, _writer: asyncio.StreamWriter
) -> None:
    """Send nothing."""


def _parts(size: int, *, is_chunked: bool) -> Sequence[bytes]:
    if not is_chunked:
        sizes = [
            min(PIECE_BYTES, size - start)
            for start in range(0, size, PIECE_BYTES)
        ]
        return [bytes(each) for each in sizes]
    # Each write has as many chunks as one piece.
    chunk = b'%x\r\n%s\r\n' % (CHUNK_BYTES, bytes(CHUNK_BYTES))
    count, rest = divmod(size, CHUNK_BYTES)
    per_write = PIECE_BYTES // CHUNK_BYTES
    writes = [
        chunk * min(per_write, count - start)
        for start in range(0, count, per_write)
    ]
    return [*writes, b'%x\r\n%s\r\n' % (rest, bytes(rest))]
