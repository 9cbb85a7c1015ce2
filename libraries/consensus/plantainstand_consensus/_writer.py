"""Writes batches to disk without blocking the event loop."""

import asyncio
from collections.abc import Callable, Sequence

from plantainstand_storage import StorageProblem
from result import Err, Result

from plantainstand_consensus._effects import Effects
from plantainstand_consensus._interfaces import RunBlocking
from plantainstand_consensus._storage import VoterStorage


class Writer:
    """Writes batches in order; all queued batches share one sync."""

    def __init__(self, storage: VoterStorage, run_blocking: RunBlocking):
        """Write to ``storage`` within ``run_blocking``."""
        self._storage = storage
        self._run_blocking = run_blocking
        self._queue: list[Effects] = []
        self._filled = asyncio.Event()
        self.problem: StorageProblem | None = None
        """Error of the disk after which nothing is written any more."""

    def add(self, batch: Effects) -> None:
        """Add a batch to the queue."""
        self._queue.append(batch)
        self._filled.set()

    async def run(
        self, on_written: Callable[[Sequence[Effects]], None]
    ) -> None:
        """Write until the disk fails; call ``on_written`` after each sync."""
        while self.problem is None:
            await self._filled.wait()
            self._filled.clear()
            batches = self._queue
            self._queue = []
            self.problem = await self._write(batches)
            if self.problem is None:
                on_written(batches)

    async def _write(self, batches: Sequence[Effects]) -> StorageProblem | None:
        writes = [write for batch in batches for write in batch.writes]
        outcomes: list[Result[None, StorageProblem]] = []
        await self._run_blocking(
            lambda: outcomes.append(self._storage.perform(writes)),
        )
        outcome = outcomes[0]
        return outcome.err_value if isinstance(outcome, Err) else None
