"""A target on loopback that works for the time that each request states."""

import asyncio
from contextlib import AsyncExitStack
from dataclasses import dataclass, field

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

    cut: bool = False
    """Whether the target closes the connection in place of the last part."""

    @property
    def payload(self) -> bytes:
        """The encoded request."""
        fields = (self.work_ms, self.body_bytes, self.sending_ms, self.cut)
        path = '/'.join(str(int(each)) for each in fields)
        lines = (f'GET /{path} HTTP/1.1', f'x-id: {self.request_id}', '', '')
        return '\r\n'.join(lines).encode()

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
    request_line, identity, *_rest = head.decode().split('\r\n')
    path = request_line.split(' ')[1]
    work_ms, body_bytes, sending_ms, cut = map(int, path[1:].split('/'))
    request_id = int(identity.partition(': ')[2])
    return Task(request_id, work_ms, body_bytes, sending_ms, bool(cut))


async def _run(task: Task, writer: asyncio.StreamWriter) -> bool:
    """Answer; return whether the connection stays open."""
    await asyncio.sleep(task.work_ms / 1000)
    head = 'HTTP/1.1 200 OK\r\nX-Id: {0}\r\nContent-Length: {1}\r\n\r\n'
    writer.write(head.format(task.request_id, task.body_bytes).encode())
    body = task.body
    last = max(len(body) - _PART_BYTES, 0)
    writer.write(body[:last])
    await writer.drain()
    await asyncio.sleep(task.sending_ms / 1000)
    if not task.cut:
        writer.write(body[last:])
        await writer.drain()
    return not task.cut
