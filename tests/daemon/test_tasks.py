"""Cancellation and failures of background tasks."""

import asyncio
import unittest

from plantainstand_daemon._tasks import TaskSupervisor


class TaskOwnerTest(unittest.IsolatedAsyncioTestCase):
    """Guards against a daemon that hangs during its shutdown."""

    async def asyncSetUp(self) -> None:
        """Create a supervisor and count failures."""
        self.failures = 0
        self.owner = TaskSupervisor(self._count_failure)

    async def test_cancel_is_repeated(self) -> None:
        """A task that ignores its first cancellation is cancelled again."""
        ignored: list[str] = []

        async def ignore_first_cancel() -> None:
            try:
                await asyncio.Event().wait()
            except asyncio.CancelledError:
                ignored.append('cancel')
            await asyncio.Event().wait()

        self.owner.start('loses one', ignore_first_cancel())
        await asyncio.sleep(0)
        await self.owner.stop()
        self.assertEqual((ignored, self.failures), (['cancel'], 0))

    async def test_failure(self) -> None:
        """A failed task is reported once."""

        async def fail() -> None:
            raise RuntimeError('fault of a task')

        self.owner.start('fails', fail())
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        await self.owner.stop()
        self.assertEqual(self.failures, 1)

    def _count_failure(self) -> None:
        self.failures += 1
