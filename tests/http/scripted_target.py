"""A target on loopback that sends scripted bytes for each request."""

import asyncio
import socket
import struct
from collections.abc import Sequence
from contextlib import AsyncExitStack, suppress
from dataclasses import dataclass, field

_RESET_PAUSE_SECONDS = 0.05


@dataclass(frozen=True)
class Script:
    """Behaviour of the target on one connection."""

    answers: Sequence[bytes] = ()
    """Bytes sent after each request."""

    end: str = 'keep'
    """``close`` or ``reset`` after the last answer, or ``keep`` open."""


@dataclass
class ScriptedTarget:
    """Runs the next script for each connection."""

    scripts: list[Script]
    received: list[bytes] = field(default_factory=list)
    closed_connections: int = 0
    address: str = ''

    async def start(self, stack: AsyncExitStack) -> None:
        """Listen on a free port until the stack is closed."""
        server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        stack.callback(server.close)
        port = server.sockets[0].getsockname()[1]
        self.address = f'127.0.0.1:{port}'

    async def _serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        script = self.scripts.pop(0)
        for answer in script.answers:
            head = await reader.readuntil(b'\r\n\r\n')
            self.received.append(head)
            writer.write(answer)
            with suppress(ConnectionError):
                await writer.drain()
        if script.end == 'reset':
            await _reset(writer)
        elif script.end == 'close':
            writer.close()
        else:
            with suppress(asyncio.CancelledError):
                await reader.read()
            writer.close()
        self.closed_connections += 1


async def _reset(writer: asyncio.StreamWriter) -> None:
    await asyncio.sleep(_RESET_PAUSE_SECONDS)
    # With a linger time of 0, a close resets the connection.
    linger = struct.pack('ii', 1, 0)
    connection = writer.get_extra_info('socket')
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()
