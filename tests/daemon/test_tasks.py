"""Background tasks end when the daemon stops."""

import asyncio
import unittest

from plantainstand_daemon._tasks import TaskSupervisor


class TaskOwnerTest(unittest.IsolatedAsyncioTestCase):
    """Guards against a daemon that has left and does not end."""

    async def asyncSetUp(self) -> None:
        """Own tasks and note failures."""
        self.failures = 0
        self.owner = TaskSupervisor(self._note_failure)

    async def test_lost_cancel(self) -> None:
        """A task that loses its first cancel ends with a later one."""
        lost: list[str] = []

        async def lose_one() -> None:
            try:
                await asyncio.Event().wait()
            except asyncio.CancelledError:
                lost.append('cancel')
            await asyncio.Event().wait()

        self.owner.start('loses one', lose_one())
        await asyncio.sleep(0)
        await self.owner.stop()
        self.assertEqual((lost, self.failures), (['cancel'], 0))

    async def test_failure(self) -> None:
        """A task that fails is reported once; a cancelled one is not."""

        async def fail() -> None:
            raise RuntimeError('fault of a task')

        self.owner.start('fails', fail())
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        await self.owner.stop()
        self.assertEqual(self.failures, 1)

    def _note_failure(self) -> None:
        self.failures += 1
