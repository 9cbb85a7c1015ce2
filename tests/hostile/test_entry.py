"""Guards entry processes against clients that take memory or descriptors."""

from collections.abc import Callable
from functools import partial

from tests.hostile._cases import HostileCase
from tests.hostile._clients import (
    BodyClient,
    Crowd,
    finished_heads,
    idle,
    slowly_finished_head,
    unfinished_head,
)
from tests.hostile._deployment import MAX_BODY_BYTES

HEAD_CLIENTS = 240
PIPELINING_CLIENTS = 40
PIPELINED_REQUESTS = 12
BODY_CLIENTS = 24
IDLE_CLIENTS = 600
WHOLE_BODY_EVERY = 4
"""One body in so many is sent to its end."""


class EntryTests(HostileCase):
    """Each request is of legal size; their number is not bounded."""

    async def test_unfinished_heads(self) -> None:
        """Guards against heads of short lines, each of which costs 200 bytes
        of memory or more, that never end."""
        await self._check(
            lambda crowd: crowd.join_all(HEAD_CLIENTS, unfinished_head)
        )

    async def test_slowly_finished_heads(self) -> None:
        """Guards against heads of short lines that end after two seconds."""
        await self._check(
            lambda crowd: crowd.join_all(HEAD_CLIENTS, slowly_finished_head)
        )

    async def test_finished_heads(self) -> None:
        """Guards against whole requests of short lines that wait in a
        pipeline while those before them run."""
        client = partial(finished_heads, count=PIPELINED_REQUESTS)
        await self._check(
            lambda crowd: crowd.join_all(PIPELINING_CLIENTS, client)
        )

    async def test_bodies(self) -> None:
        """Guards against large bodies at once, most without their end."""
        await self._check_bodies(is_chunked=False)

    async def test_bodies_in_chunks(self) -> None:
        """Guards against large bodies in small chunks, most without end."""
        await self._check_bodies(is_chunked=True)

    async def test_idle_connections(self) -> None:
        """Guards against connections that use up all descriptors."""
        await self._check(lambda crowd: crowd.join_all(IDLE_CLIENTS, idle))

    async def _check_bodies(self, *, is_chunked: bool) -> None:
        client = BodyClient(
            MAX_BODY_BYTES, b'/p/x', WHOLE_BODY_EVERY, is_chunked
        )
        await self._check(
            lambda crowd: crowd.join_all(BODY_CLIENTS, client.sends)
        )

    async def _check(self, fill: Callable[[Crowd], None]) -> None:
        entry = self.scene.entry
        ordinary = (entry.front, 'GET', '/p/x')
        await self.check(entry, entry.front, fill, ordinary)
