"""TCP relay on loopback that delays, silences, cuts or refuses connections."""

import asyncio
from collections.abc import Mapping
from contextlib import suppress
from dataclasses import dataclass
from enum import Enum

from plantainstand_bench._http_client import Address

_CHUNK_BYTES = 65536
# Bounds the bytes on their way in one direction of a delayed connection.
_CHUNKS_ON_THE_WAY = 256


class RelayMode(Enum):
    """What happens to connections."""

    FORWARD = 'forward'
    SILENT = 'silent'
    """Open connections pass nothing and stay open; new ones work."""

    REFUSE = 'refuse'
    """Open connections work; new ones are closed at once."""

    CUT = 'cut'
    """Open connections are closed; new ones work."""


@dataclass(frozen=True)
class Route:
    """One listening port and where it leads."""

    destination: Address
    delay_seconds: float = 0
    """Delay of each direction."""

    listen: Address = Address('127.0.0.1', 0)  # noqa: RUF009


class _Link:
    """One connection from a client and the one to the destination."""

    def __init__(self, writers: tuple[asyncio.StreamWriter, ...]):
        self._writers = writers
        self.is_silent = False

    def close(self) -> None:
        for writer in self._writers:
            writer.close()

    async def pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        delay_seconds: float,
    ) -> None:
        """Carry one direction until its end; a silent link drops bytes."""
        waiting: asyncio.Queue[tuple[float, bytes]]
        waiting = asyncio.Queue(_CHUNKS_ON_THE_WAY)
        loop = asyncio.get_running_loop()
        delivery = asyncio.create_task(self._deliver(waiting, writer))
        chunk = await _read(reader)
        while chunk:
            await waiting.put((loop.time() + delay_seconds, chunk))
            chunk = await _read(reader)
        await waiting.put((loop.time() + delay_seconds, b''))
        await delivery

    async def _deliver(
        self,
        waiting: asyncio.Queue[tuple[float, bytes]],
        writer: asyncio.StreamWriter,
    ) -> None:
        loop = asyncio.get_running_loop()
        chunk = b'first'
        while chunk:
            due, chunk = await waiting.get()
            await asyncio.sleep(due - loop.time())
            if not self.is_silent:
                await _write(writer, chunk)


class Relay:
    """Listens for one route; the caller closes it."""

    def __init__(self, route: Route):
        """Hold the route; nothing listens yet."""
        self._route = route
        self._links: set[_Link] = set()
        self._serving: set[asyncio.Task[None]] = set()
        self._is_refusing = False
        self._server: asyncio.Server | None = None

    @property
    def address(self) -> Address:
        """Where the relay listens."""
        if self._server is None:
            return self._route.listen
        host, port = self._server.sockets[0].getsockname()
        return Address(host, port)

    async def start(self) -> None:
        """Listen."""
        listen = self._route.listen
        self._server = await asyncio.start_server(
            self._accept,
            listen.host,
            listen.port,
        )

    def change(self, mode: RelayMode) -> None:
        """Apply a mode to the connections of this moment and later ones."""
        self._is_refusing = mode is RelayMode.REFUSE
        for link in tuple(self._links):
            if mode is RelayMode.SILENT:
                link.is_silent = True
            elif mode is RelayMode.CUT:
                link.close()

    async def close(self) -> None:
        """Close the port and every connection, silent ones too."""
        if self._server is not None:
            self._server.close()
        for link in tuple(self._links):
            link.close()
        await asyncio.gather(*self._serving)

    def _accept(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        serving = asyncio.create_task(self._serve(reader, writer))
        self._serving.add(serving)
        serving.add_done_callback(self._serving.discard)

    async def _serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        onward = None if self._is_refusing else await self._connect()
        if onward is None:
            writer.close()
            return
        onward_reader, onward_writer = onward
        link = _Link((writer, onward_writer))
        self._links.add(link)
        delay = self._route.delay_seconds
        await asyncio.gather(
            link.pump(reader, onward_writer, delay),
            link.pump(onward_reader, writer, delay),
        )
        self._links.discard(link)
        link.close()

    async def _connect(
        self,
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter] | None:
        destination = self._route.destination
        with suppress(OSError):
            return await asyncio.open_connection(
                destination.host,
                destination.port,
            )
        return None


async def start_relays(routes: Mapping[str, Route]) -> Mapping[str, Relay]:
    """Start a relay for each route."""
    relays = {name: Relay(route) for name, route in routes.items()}
    for relay in relays.values():
        await relay.start()
    return relays


async def _read(reader: asyncio.StreamReader) -> bytes:
    try:
        return await reader.read(_CHUNK_BYTES)
    except OSError:
        return b''


async def _write(writer: asyncio.StreamWriter, chunk: bytes) -> None:
    """Write a chunk; an empty one ends the direction."""
    with suppress(OSError, RuntimeError):
        if chunk:
            writer.write(chunk)
            await writer.drain()
        else:
            writer.write_eof()
