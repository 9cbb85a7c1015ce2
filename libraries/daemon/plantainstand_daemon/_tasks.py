"""Supervision of the daemon's background tasks."""

import asyncio
from collections.abc import Awaitable, Callable
from datetime import timedelta

import structlog

_log = structlog.get_logger()

_CANCEL_INTERVAL_SECONDS = 0.2


async def sleep(length: timedelta) -> None:
    """Sleep without blocking the event loop."""
    await asyncio.sleep(length.total_seconds())


async def repeat(
    interval: timedelta,
    step: Callable[[], Awaitable[None]],
) -> None:
    """Run ``step`` repeatedly, ``interval`` apart, until cancelled."""
    while True:  # noqa: WPS457
        await step()
        await sleep(interval)


class TaskSupervisor:
    """Owns background tasks and reports those that end with an exception."""

    def __init__(self, on_failure: Callable[[], None]) -> None:
        """Call ``on_failure`` when a task ends with an exception."""
        self._on_failure = on_failure
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self, name: str, work: Awaitable[None]) -> None:
        """Run ``work`` in the background."""
        task = asyncio.ensure_future(work)
        task.set_name(name)
        self._tasks.add(task)
        task.add_done_callback(self._finish)

    async def stop(self) -> None:
        """Cancel all tasks and wait until they have ended.

        Cancellation is repeated until the task ends, because in Python 3.11
        ``asyncio.wait_for`` loses a cancellation that arrives together with its
        result.
        """
        while self._tasks:
            tasks = tuple(self._tasks)
            for task in tasks:
                task.cancel()
            await asyncio.wait(tasks, timeout=_CANCEL_INTERVAL_SECONDS)

    def _finish(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if task.cancelled() or task.exception() is None:
            return
        _log.error(
            'background task failed',
            task=task.get_name(),
            exc_info=task.exception(),
        )
        self._on_failure()
