"""Guards control processes against clients that take memory or descriptors."""

from collections.abc import Callable
from functools import partial

from review import harness
from tests.hostile._cases import MEMORY_MB, Call, HostileCase
from tests.hostile._clients import (
    BodyClient,
    Crowd,
    finished_heads,
    idle,
    slowly_finished_head,
    unfinished_head,
)
from tests.hostile._deployment import HOST

HEAD_CLIENTS = 240
PIPELINING_CLIENTS = 40
PIPELINED_REQUESTS = 12
BODY_CLIENTS = 24
IDLE_CLIENTS = 600
OPERATOR_BODY_BYTES = MEMORY_MB * 1_000_000 // 32
"""Longest body that the operator's address accepts with this memory."""

DIRECTORY_BODY_BYTES = 65_536
WHOLE_BODY_EVERY = 4

_RESOLVE = f'/resolve?name={HOST}&region=bajio&zone=bajio-a'


class _ControlCase(HostileCase):
    async def play(self, fill: Callable[[Crowd], None]) -> None:
        """Let a crowd act on the address under test."""
        control = self.scene.control
        await self.check(control, self.ordinary[0], fill, self.ordinary)

    @property
    def ordinary(self) -> Call:
        """Return the address under test and an ordinary call to it."""
        raise NotImplementedError

    async def play_heads(self) -> None:
        """Heads of short lines that do not end."""
        await self.play(
            lambda crowd: crowd.join_all(HEAD_CLIENTS, unfinished_head)
        )

    async def play_slow_heads(self) -> None:
        """Heads of short lines that end after two seconds."""
        await self.play(
            lambda crowd: crowd.join_all(HEAD_CLIENTS, slowly_finished_head)
        )

    async def play_finished_heads(self) -> None:
        """Whole requests of short lines whose responses are not read."""
        client = partial(finished_heads, count=PIPELINED_REQUESTS)
        await self.play(
            lambda crowd: crowd.join_all(PIPELINING_CLIENTS, client)
        )

    async def play_bodies(
        self, path: bytes, size: int, *, is_chunked: bool
    ) -> None:
        """Bodies of legal size, most without their end."""
        client = BodyClient(size, path, WHOLE_BODY_EVERY, is_chunked)
        await self.play(
            lambda crowd: crowd.join_all(BODY_CLIENTS, client.sends)
        )


class OperatorTests(_ControlCase):
    """The operator's address."""

    @property
    def ordinary(self) -> Call:
        """Reading the desired state."""
        return (self.scene.control.control, 'GET', '/config/get')

    async def test_unfinished_heads(self) -> None:
        """Guards against heads of short lines that never end."""
        await self.play_heads()

    async def test_slowly_finished_heads(self) -> None:
        """Guards against heads of short lines that end slowly."""
        await self.play_slow_heads()

    async def test_finished_heads(self) -> None:
        """Guards against pipelined requests of short lines."""
        await self.play_finished_heads()

    async def test_bodies(self) -> None:
        """Guards against large changes at once, most without their end."""
        await self.play_bodies(
            b'/config/patch', OPERATOR_BODY_BYTES, is_chunked=False
        )

    async def test_bodies_in_chunks(self) -> None:
        """Guards against large changes in small chunks."""
        await self.play_bodies(
            b'/config/patch', OPERATOR_BODY_BYTES, is_chunked=True
        )

    async def test_idle_connections(self) -> None:
        """Guards against connections that use up all descriptors."""
        await self.play(lambda crowd: crowd.join_all(IDLE_CLIENTS, idle))


class DirectoryTests(_ControlCase):
    """The directory's address."""

    @property
    def ordinary(self) -> Call:
        """Looking up the entry VMs for a host."""
        control = self.scene.control
        address = f'{control.ip}:{harness.DIRECTORY_PORT}'
        return (address, 'GET', _RESOLVE)

    async def test_unfinished_heads(self) -> None:
        """Guards against heads of short lines that never end."""
        await self.play_heads()

    async def test_slowly_finished_heads(self) -> None:
        """Guards against heads of short lines that end slowly."""
        await self.play_slow_heads()

    async def test_finished_heads(self) -> None:
        """Guards against pipelined requests of short lines."""
        await self.play_finished_heads()

    async def test_bodies(self) -> None:
        """Guards against many bodies at once, most without their end."""
        await self.play_bodies(
            b'/resolve', DIRECTORY_BODY_BYTES, is_chunked=False
        )

    async def test_bodies_in_chunks(self) -> None:
        """Guards against many bodies in small chunks."""
        await self.play_bodies(
            b'/resolve', DIRECTORY_BODY_BYTES, is_chunked=True
        )

    async def test_idle_connections(self) -> None:
        """Guards against connections that use up all descriptors."""
        await self.play(lambda crowd: crowd.join_all(IDLE_CLIENTS, idle))
