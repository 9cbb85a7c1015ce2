"""Clients of the soak: raw HTTP/1.1 on kept, new and pipelined connections."""

import asyncio
import itertools
import random
import socket
import time
from collections.abc import Callable, Iterator, Mapping
from contextlib import suppress
from dataclasses import dataclass

CONNECT_SECONDS = 1.0
READ_BYTES = 16 * 1024
SLOW_RECEIVE_BUFFER_BYTES = 16 * 1024
FILLER = b'0123456789abcdef'


def content(size: int) -> bytes:
    """Return the body of a length, of requests and of responses."""
    return (FILLER * (size // len(FILLER) + 1))[:size]


@dataclass(frozen=True)
class Kind:
    """How a client sends and reads."""

    name: str
    per_connection: int
    """Requests on one connection; then the client opens another."""

    at_once: int = 1
    """Requests that are sent before the first response is read."""

    read_seconds: float = 0
    """Time between two reads of a slow reader."""

    upload_seconds: float = 0
    """Time between two parts of an upload."""

    sends_early: bool = False
    """Whether the next request leaves while the last response is read."""


KINDS = (
    Kind('kept', 1000),
    Kind('new', 1),
    Kind('pipelined', 1000, at_once=2),
    Kind('pipelined by four', 8, at_once=4),
    Kind('early', 1000, sends_early=True),
    Kind('slow reader', 3, read_seconds=0.02),
    Kind('slow early reader', 3, read_seconds=0.02, sends_early=True),
    Kind('very slow reader', 2, read_seconds=0.1),
    Kind('very slow early reader', 2, read_seconds=0.1, sends_early=True),
    Kind('uploading', 5, upload_seconds=0.02),
)


@dataclass
class Sent:
    """One request of a client and what became of it."""

    request: str
    kind: str
    entry: str
    method: str
    path: str
    deadline_seconds: float
    upload_bytes: int
    is_chunked: bool
    begun_at: float = 0
    sent_at: float = 0
    """Monotonic time at which its last byte was written; 0: never."""

    ended_at: float = 0
    status: int = 0
    from_target: bool = False
    is_whole: bool = False
    before: 'Sent | None' = None
    """Request with whose response the connection ended."""

    client_left: bool = False
    """Whether the client gave up after its deadline."""

    detail: str = 'not sent'


class Client:
    """Sends requests until the play ends."""

    def __init__(
        self,
        name: str,
        kind: Kind,
        dice: random.Random,
        pick_entry: Callable[[], str],
        sent: list[Sent],
    ):
        """Append what is sent to ``sent``."""
        self._name = name
        self._kind = kind
        self._dice = dice
        self._pick_entry = pick_entry
        self._sent = sent
        self._numbers = itertools.count()

    async def run(self) -> None:
        """Open connections until cancelled."""
        while True:
            address = self._pick_entry()
            try:
                async with asyncio.timeout(CONNECT_SECONDS):
                    reader, writer = await self._connect(address)
            except (OSError, TimeoutError):
                await asyncio.sleep(0.05)
                continue
            try:
                await self._use(address, reader, writer)
            finally:
                writer.close()
            await asyncio.sleep(self._dice.uniform(0, 0.1))

    async def _connect(
        self, address: str
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        host, _colon, port = address.rpartition(':')
        peer = socket.socket()
        peer.setblocking(False)
        if self._kind.read_seconds:
            peer.setsockopt(
                socket.SOL_SOCKET,
                socket.SO_RCVBUF,
                SLOW_RECEIVE_BUFFER_BYTES,
            )
        try:
            await asyncio.get_running_loop().sock_connect(
                peer, (host, int(port))
            )
        except BaseException:
            peer.close()
            raise
        return await asyncio.open_connection(sock=peer)

    async def _use(
        self,
        address: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        kind = self._kind
        unanswered: list[Sent] = []
        left = kind.per_connection
        is_open = True
        while is_open and (left > 0 or unanswered):
            batch = max(kind.at_once - len(unanswered), 0)
            if unanswered and not kind.sends_early:
                batch = 0
            for _ in range(min(batch + kind.sends_early, left)):
                left -= 1
                sent = self._make(address)
                unanswered.append(sent)
                await self._send(writer, sent)
            last = unanswered.pop(0)
            is_open = await self._read(reader, last)
            if last.client_left:
                return
        for sent in unanswered:
            sent.ended_at = time.monotonic()
            sent.detail = 'no answer before the close'
            sent.before = last

    def _make(self, address: str) -> Sent:
        dice = self._dice
        work = dice.choice((0.02, 0.1, 0.3, dice.uniform(0.02, 2.4)))
        size = dice.choice((50, 2000, 40_000, 300_000, 3_000_000))
        if self._kind.read_seconds:
            size = min(size, 300_000) * 2
        method = dice.choice(('GET', 'POST'))
        upload = 0
        if self._kind.upload_seconds:
            method = 'POST'
            upload = dice.choice((5000, 60_000, 200_000))
        elif method == 'POST':
            upload = dice.choice((0, 100, 6000))
        prefix = dice.choice(('quick', 'long'))
        if method == 'POST':
            prefix = f'once-{prefix}'
        framing = dice.choice(('length', 'chunked', 'close'))
        sent = Sent(
            f'{self._name}-{next(self._numbers)}',
            self._kind.name,
            address,
            method,
            f'/{prefix}/x?work={work:.3f}&size={size}&framing={framing}',
            dice.choice((1.5, 3, 10)),
            upload,
            dice.choice((True, False)),
        )
        self._sent.append(sent)
        return sent

    async def _send(self, writer: asyncio.StreamWriter, sent: Sent) -> None:
        lines = [
            f'{sent.method} {sent.path} HTTP/1.1',
            'Host: soak.example',
            f'X-Request-Id: {sent.request}',
            f'X-Deadline-Ms: {sent.deadline_seconds * 1000:.0f}',
        ]
        chunked = sent.upload_bytes > 0 and sent.is_chunked
        if chunked:
            lines.append('Transfer-Encoding: chunked')
        elif sent.method == 'POST':
            lines.append(f'Content-Length: {sent.upload_bytes}')
        head = '\r\n'.join((*lines, '', '')).encode()
        parts = list(_upload_parts(content(sent.upload_bytes), chunked=chunked))
        sent.begun_at = time.monotonic()
        with suppress(ConnectionError):
            parts.insert(0, head)
            if not self._kind.upload_seconds:
                parts = [b''.join(parts)]
            for part in parts:
                writer.write(part)
                if self._kind.upload_seconds:
                    await asyncio.sleep(self._kind.upload_seconds)
                    await writer.drain()
            sent.sent_at = time.monotonic()

    async def _read(self, reader: asyncio.StreamReader, sent: Sent) -> bool:
        """Read one response; return whether the connection stays open."""
        wait = sent.deadline_seconds + 0.5
        stays_open = False
        sent.detail = 'closed before the head'
        try:
            async with asyncio.timeout(wait):
                stays_open = await self._read_answer(reader, sent)
        except TimeoutError:
            sent.client_left = True
            sent.detail = f'gave up, {sent.detail}'
        except (asyncio.IncompleteReadError, ConnectionError) as problem:
            sent.detail = f'{sent.detail}, {type(problem).__name__}'
        sent.ended_at = time.monotonic()
        return stays_open

    async def _read_answer(
        self, reader: asyncio.StreamReader, sent: Sent
    ) -> bool:
        head = await reader.readuntil(b'\r\n\r\n')
        first, *lines = head.decode('latin-1').split('\r\n')
        headers = {}
        for line in lines:
            name, _colon, field = line.partition(':')
            headers[name.strip().lower()] = field.strip().lower()
        sent.status = int(first.split(' ')[1])
        sent.from_target = 'x-server-stamp' in headers
        body = bytearray()
        sent.detail = 'cut in the body'
        chunked = headers.get('transfer-encoding') == 'chunked'
        try:
            if chunked:
                await self._read_chunks(reader, body)
            else:
                size = int(headers.get('content-length', '-1'))
                await self._read_bytes(reader, body, size)
        finally:
            sent.detail = f'{sent.detail} after {len(body)} bytes'
        expected = int(headers.get('x-body-bytes', str(len(body))))
        sent.is_whole = bytes(body) == content(expected) or not sent.from_target
        if sent.is_whole:
            sent.detail = 'whole'
        return headers.get('connection') != 'close'

    async def _read_chunks(
        self, reader: asyncio.StreamReader, body: bytearray
    ) -> None:
        while True:
            line = await reader.readline()
            if not line.endswith(b'\r\n'):
                raise asyncio.IncompleteReadError(line, None)
            size = int(line, 16)
            await self._read_bytes(reader, body, len(body) + size)
            await reader.readexactly(2)
            if not size:
                return

    async def _read_bytes(
        self, reader: asyncio.StreamReader, body: bytearray, size: int
    ) -> None:
        """Read until the body has ``size`` bytes; -1: until the end."""
        while len(body) != size:
            limit = (
                READ_BYTES if size < 0 else min(READ_BYTES, size - len(body))
            )
            part = await reader.read(limit)
            if not part:
                if size > len(body):
                    raise asyncio.IncompleteReadError(b'', size)
                return
            body += part
            if self._kind.read_seconds:
                await asyncio.sleep(self._kind.read_seconds)


def _upload_parts(body: bytes, *, chunked: bool) -> Iterator[bytes]:
    for start in range(0, len(body), READ_BYTES):
        part = body[start : start + READ_BYTES]
        yield b'%x\r\n%s\r\n' % (len(part), part) if chunked else part
    if chunked:
        yield b'0\r\n\r\n'


def query_of(path: str) -> Mapping[str, str]:
    """Return the parameters of a request's path."""
    pairs = (pair.partition('=') for pair in path.partition('?')[2].split('&'))
    return {name: parameter for name, _equals, parameter in pairs}
