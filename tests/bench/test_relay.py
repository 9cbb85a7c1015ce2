"""Modes of the TCP relay."""

import asyncio
import unittest
from collections.abc import Awaitable, Callable

from plantainstand_bench._http_client import Address
from plantainstand_bench._relay import Relay, RelayMode, Route, start_relays

_Exchange = Callable[[bytes], Awaitable[bytes | None]]
# Longer than any exchange on loopback takes; only silence waits for it.
_PATIENCE_SECONDS = 0.2

# Mode, what the open connection then gets, what a new one gets; nothing
# stands for silence, an empty answer for the end of the connection.
_CASES: tuple[tuple[RelayMode, bytes | None, bytes | None], ...] = (
    (RelayMode.FORWARD, b'again', b'again'),
    (RelayMode.SILENT, None, b'again'),
    (RelayMode.REFUSE, b'again', b''),
    (RelayMode.CUT, b'', b'again'),
)


class RelayTest(unittest.IsolatedAsyncioTestCase):
    """Guards against faults that reach the wrong connections."""

    async def asyncSetUp(self) -> None:
        """Start a server that sends back what it gets."""
        self._server = await asyncio.start_server(_echo, '127.0.0.1', 0)
        self.addAsyncCleanup(self._close)
        host, port = self._server.sockets[0].getsockname()
        self._destination = Address(host, port)

    async def test_modes(self) -> None:
        """Each mode treats open and new connections differently."""
        for mode, open_answer, new_answer in _CASES:
            with self.subTest(mode.value):
                relay = await self._start(0)
                opened = await self._open(relay)
                self.assertEqual(await opened(b'first'), b'first')
                relay.change(mode)
                self.assertEqual(await opened(b'again'), open_answer)
                fresh = await self._open(relay)
                self.assertEqual(await fresh(b'again'), new_answer)

    async def test_delay(self) -> None:
        """A delay applies to both directions."""
        relay = await self._start(0.05)
        opened = await self._open(relay)
        loop = asyncio.get_running_loop()
        start = loop.time()
        self.assertEqual(await opened(b'once'), b'once')
        self.assertGreaterEqual(loop.time() - start, 0.1)

    async def _start(self, delay_seconds: float) -> Relay:
        route = Route(self._destination, delay_seconds)
        relays = await start_relays({'echo': route})
        self.addAsyncCleanup(relays['echo'].close)
        return relays['echo']

    async def _open(self, relay: Relay) -> _Exchange:
        """Connect; the returned function sends and returns what comes back."""
        address = relay.address
        reader, writer = await asyncio.open_connection(
            address.host, address.port
        )

        self.addCleanup(writer.close)

        async def exchange(text: bytes) -> bytes | None:
            try:
                writer.write(text)
                async with asyncio.timeout(_PATIENCE_SECONDS):
                    return await reader.read(100)
            except TimeoutError:
                return None
            except ConnectionError:
                return b''

        return exchange

    async def _close(self) -> None:
        self._server.close()


async def _echo(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    chunk = await reader.read(100)
    while chunk:
        writer.write(chunk)
        chunk = await reader.read(100)
    writer.close()
