"""HTTP/1.1 client on asyncio streams, small enough for many callers.

A thread for each open request would be several hundred threads at the rates
that the tool must reach, which distorts the latencies that it measures.
"""

import asyncio
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

from result import Err, Ok, Result

# Shorter than the idle time-out of the servers, so that a connection is
# rarely closed at the moment of its reuse.
_MAX_IDLE_SECONDS = 2
_CONNECT_SECONDS = 1
_BROKEN = (ConnectionError, asyncio.IncompleteReadError, OSError, ValueError)


class HttpFailure(Enum):
    """Why there is no whole answer."""

    REFUSED = 'refused'
    """No connection; nothing was sent."""

    CUT = 'cut'
    """The connection ended before the whole answer had arrived."""

    TIMED_OUT = 'timed-out'


@dataclass(frozen=True)
class Address:
    """Host and port of a server."""

    host: str
    port: int


@dataclass(frozen=True)
class HttpRequest:
    """A request; ``path`` includes the query."""

    method: str
    path: str
    headers: Mapping[str, str] = field(default_factory=dict)
    body: bytes = b''


@dataclass(frozen=True)
class HttpAnswer:
    """A whole answer; header names are in lower case."""

    status: int
    headers: Mapping[str, str]
    body: bytes


class _Connection:
    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ):
        self._reader = reader
        self._writer = writer
        self._used_at = float(0)

    def is_reusable(self, now: float) -> bool:
        is_open = not self._reader.at_eof() and not self._writer.is_closing()
        return is_open and now - self._used_at < _MAX_IDLE_SECONDS

    def close(self) -> None:
        self._writer.close()

    async def exchange(self, host: str, request: HttpRequest) -> HttpAnswer:
        self._writer.write(_encode(host, request))
        await self._writer.drain()
        answer = await _read_answer(self._reader)
        self._used_at = asyncio.get_running_loop().time()
        return answer


class HttpClient:
    """Keeps idle connections for each address."""

    def __init__(self) -> None:
        """Start without connections."""
        self._idle: dict[Address, list[_Connection]] = {}

    async def send(
        self,
        address: Address,
        request: HttpRequest,
        timeout_seconds: float,
    ) -> Result[HttpAnswer, HttpFailure]:
        """Send a request and read the whole answer."""
        connection = self._take_idle(address) or await _connect(address)
        if connection is None:
            return Err(HttpFailure.REFUSED)
        try:
            answer = await asyncio.wait_for(
                connection.exchange(address.host, request),
                timeout_seconds,
            )
        except TimeoutError:
            connection.close()
            return Err(HttpFailure.TIMED_OUT)
        except _BROKEN:
            connection.close()
            return Err(HttpFailure.CUT)
        self._put_back(address, connection, answer)
        return Ok(answer)

    def close(self) -> None:
        """Close the idle connections."""
        for connections in self._idle.values():
            for connection in connections:
                connection.close()
        self._idle.clear()

    def _take_idle(self, address: Address) -> _Connection | None:
        now = asyncio.get_running_loop().time()
        connections = self._idle.get(address, [])
        while connections:
            connection = connections.pop()
            if connection.is_reusable(now):
                return connection
            connection.close()
        return None

    def _put_back(
        self,
        address: Address,
        connection: _Connection,
        answer: HttpAnswer,
    ) -> None:
        if answer.headers.get('connection', '').lower() == 'close':
            connection.close()
        else:
            self._idle.setdefault(address, []).append(connection)


async def _connect(address: Address) -> _Connection | None:
    opening = asyncio.open_connection(address.host, address.port)
    try:
        reader, writer = await asyncio.wait_for(opening, _CONNECT_SECONDS)
    except (OSError, TimeoutError):
        return None
    return _Connection(reader, writer)


def _encode(host: str, request: HttpRequest) -> bytes:
    lines = [
        f'{request.method} {request.path} HTTP/1.1',
        f'Host: {host}',
        f'Content-Length: {len(request.body)}',
        *(f'{name}: {text}' for name, text in request.headers.items()),
    ]
    head = '\r\n'.join(lines)
    return f'{head}\r\n\r\n'.encode('latin-1') + request.body


async def _read_answer(reader: asyncio.StreamReader) -> HttpAnswer:
    head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    status_line, *lines = head.rstrip().split('\r\n')
    pairs = (line.partition(':') for line in lines)
    headers = {name.lower(): text.strip() for name, _colon, text in pairs}
    body = await _read_body(reader, headers)
    return HttpAnswer(int(status_line.split(' ')[1]), headers, body)


async def _read_body(
    reader: asyncio.StreamReader,
    headers: Mapping[str, str],
) -> bytes:
    if 'transfer-encoding' in headers:
        return await _read_chunks(reader)
    length = headers.get('content-length')
    if length is None:
        raise ValueError('an answer without a stated length')
    return await reader.readexactly(int(length))


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    body = bytearray()
    while True:
        size_line = await reader.readuntil(b'\r\n')
        size = int(size_line.split(b';')[0], 16)
        chunk = await reader.readexactly(size + 2)
        if not size:
            return bytes(body)
        body.extend(chunk[:size])
