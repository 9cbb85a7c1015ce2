"""Guards the framing of links and the detection of silent peers."""

import asyncio
import unittest
from contextlib import AsyncExitStack, suppress
from datetime import timedelta

from hypothesis import given
from hypothesis import strategies as st
from plantainstand_core import SystemClock
from plantainstand_links import (
    Link,
    LinkCallbacks,
    LinkServer,
    LinkTimings,
    OutgoingLink,
)

_PORT = 17560
_HOST = '127.0.0.1'
_DEADLINE_SECONDS = 10
_SHORT_TIMINGS = LinkTimings(
    ping_interval=timedelta(milliseconds=20),
    silence_timeout=timedelta(milliseconds=100),
    reconnect_delay=timedelta(milliseconds=10),
)


def _ignore(_link: Link, _frame: bytes = b'') -> None:
    """Do nothing with an event."""


class FrameTests(unittest.TestCase):
    """TCP splits and joins frames anywhere."""

    @given(
        st.lists(st.binary(min_size=1, max_size=40), max_size=5),
        st.lists(st.integers(0, 200), max_size=6),
    )
    def test_any_split(self, frames: list[bytes], cuts: list[int]) -> None:
        """Frames are delivered as they were sent; pings are not delivered."""
        received: list[bytes] = []
        events = LinkCallbacks(
            _ignore,
            lambda _link, frame: received.append(frame),
            _ignore,
        )

        async def receive() -> None:
            link = Link(events, SystemClock(), LinkTimings())
            for chunk in _chunks(frames, cuts):
                link.data_received(chunk)

        asyncio.run(receive())
        self.assertEqual(received, frames)


class SilenceTests(unittest.IsolatedAsyncioTestCase):
    """A connection that a device on its path has dropped must be replaced."""

    async def test_silent_peer_is_reconnected(self) -> None:
        """A link to a peer that accepts and never sends connects again."""
        accepted: list[str] = []

        async def accept_silently(
            reader: asyncio.StreamReader,
            writer: asyncio.StreamWriter,
        ) -> None:
            accepted.append('connection')
            with suppress(asyncio.CancelledError):
                await reader.read()
            writer.close()

        async with AsyncExitStack() as stack:
            server = await asyncio.start_server(accept_silently, _HOST, _PORT)
            stack.callback(server.close)
            await self._run_link(stack)
            async with asyncio.timeout(_DEADLINE_SECONDS):
                while len(accepted) < 3:
                    await asyncio.sleep(0.01)

    async def test_pings_keep_a_link(self) -> None:
        """A peer without frames to send does not count as silent."""
        opened: list[Link] = []
        async with AsyncExitStack() as stack:
            events = LinkCallbacks(opened.append, _ignore, _ignore)
            server = LinkServer(events, SystemClock(), _SHORT_TIMINGS)
            await server.start(_HOST, _PORT, stack)
            await self._run_link(stack)
            await asyncio.sleep(
                _SHORT_TIMINGS.silence_timeout.total_seconds() * 3
            )
            self.assertEqual(len(opened), 1)

    async def _run_link(self, stack: AsyncExitStack) -> None:
        events = LinkCallbacks(_ignore, _ignore, _ignore)
        address = f'{_HOST}:{_PORT}'
        link = OutgoingLink(address, events, SystemClock(), _SHORT_TIMINGS)
        stack.callback(asyncio.create_task(link.run()).cancel)


def _chunks(frames: list[bytes], cuts: list[int]) -> list[bytes]:
    ping = bytes(4)
    sent = [
        b''.join((len(frame).to_bytes(4, 'big'), frame, ping))
        for frame in frames
    ]
    stream = b''.join(sent)
    inner = sorted(min(cut, len(stream)) for cut in cuts)
    offsets = [0, *inner, len(stream)]
    return [
        stream[start:end]
        for start, end in zip(offsets, offsets[1:], strict=False)
    ]
