"""A target on loopback that works for the time that each request states."""

import asyncio
from contextlib import AsyncExitStack
from dataclasses import dataclass, field

import msgspec

_PART_BYTES = 8 * 1024
"""Bytes of a body that are written at once."""


@dataclass(frozen=True)
class Task:
    """What one request asks of the target."""

    request_id: int
    work_ms: int = 0
    """Time before the head of the answer."""

    body_bytes: int = 2
    sending_ms: int = 0
    """Time between the head and the last part of the body."""

    chunk_bytes: int = 0
    """Length of the chunks of the body, or 0 for a body of stated length."""

    cut: bool = False
    """Whether the target closes the connection in place of the last part."""

    @property
    def payload(self) -> bytes:
        """The encoded request."""
        description = msgspec.json.encode(self)
        lines = (b'GET / HTTP/1.1', b'x-task: %s' % description, b'', b'')
        return b'\r\n'.join(lines)

    @property
    def identity(self) -> tuple[bytes, bytes]:
        """The header that the answer echoes."""
        return b'x-id', b'%d' % self.request_id

    @property
    def body(self) -> bytes:
        """The whole body of the answer, which no other request has."""
        word = b'%d,' % self.request_id
        repeats = self.body_bytes // len(word) + 1
        return (word * repeats)[: self.body_bytes]


@dataclass
class WorkingTarget:
    """Runs the requests of each connection, one after the other."""

    address: str = ''
    connections: set[asyncio.Task[None]] = field(default_factory=set)

    async def start(self, stack: AsyncExitStack) -> None:
        """Listen on a free port until the stack is closed."""
        server = await asyncio.start_server(self._accept, '127.0.0.1', 0)
        stack.callback(server.close)
        stack.push_async_callback(self._end_connections)
        port = server.sockets[0].getsockname()[1]
        self.address = f'127.0.0.1:{port}'

    def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        serving = asyncio.create_task(self._serve(reader, writer))
        self.connections.add(serving)
        serving.add_done_callback(self.connections.discard)

    async def _end_connections(self) -> None:
        for serving in tuple(self.connections):
            serving.cancel()
        await asyncio.gather(*self.connections, return_exceptions=True)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        is_open = True
        try:
            while is_open:
                head = await reader.readuntil(b'\r\n\r\n')
                is_open = await _run(_decode(head), writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            # The pool has closed the connection.
            is_open = False
        finally:
            writer.close()


def _decode(head: bytes) -> Task:
    description = head.partition(b'x-task: ')[2]
    return msgspec.json.decode(description.strip(), type=Task)


async def _run(task: Task, writer: asyncio.StreamWriter) -> bool:
    """Answer; return whether the connection stays open."""
    await asyncio.sleep(task.work_ms / 1000)
    head = 'HTTP/1.1 200 OK\r\nX-Id: {0}\r\n{1}\r\n\r\n'
    framing = f'Content-Length: {task.body_bytes}'
    body = task.body
    if task.chunk_bytes:
        framing = 'Transfer-Encoding: chunked'
        body = _chunked(body, task.chunk_bytes)
    writer.write(head.format(task.request_id, framing).encode())
    last = max(len(body) - _PART_BYTES, 0)
    writer.write(body[:last])
    await writer.drain()
    await asyncio.sleep(task.sending_ms / 1000)
    if not task.cut:
        writer.write(body[last:])
        await writer.drain()
    return not task.cut


def _chunked(body: bytes, chunk_bytes: int) -> bytes:
    chunks = []
    for start in range(0, len(body), chunk_bytes):
        chunk = body[start : start + chunk_bytes]
        chunks.append(b'%x\r\n%s\r\n' % (len(chunk), chunk))
    return b''.join((*chunks, b'0\r\n\r\n'))
