"""Event loop with simulated time, which advances when the loop is idle."""

import asyncio
import selectors
from collections.abc import Callable, Coroutine
from datetime import UTC, datetime, timedelta
from typing import Any, TypeVar

ValueT = TypeVar('ValueT')


class _SkippingSelector(selectors.SelectSelector):
    """Selector that returns at once and adds up the skipped wait times."""

    def __init__(self) -> None:
        super().__init__()
        self.skipped: float = 0

    def select(
        self,
        timeout: float | None = None,
    ) -> list[tuple[selectors.SelectorKey, int]]:
        if timeout is None:
            raise AssertionError('the test waits for nothing')
        self.skipped += timeout
        return []


class SimulatedLoop(asyncio.SelectorEventLoop):
    """Event loop and clock.

    File operations must run in the loop's thread, since simulated time does not
    wait for other threads.
    """

    def __init__(self) -> None:
        """Start with the time zero."""
        self._skipping = _SkippingSelector()
        super().__init__(self._skipping)

    def time(self) -> float:
        """Return the simulated time in seconds."""
        return self._skipping.skipped

    def monotonic(self) -> timedelta:
        """See ``Clock.monotonic``."""
        return timedelta(seconds=self.time())

    def wall(self) -> datetime:
        """See ``Clock.wall``."""
        return datetime.fromtimestamp(self.time(), UTC)


async def run_without_thread(action: Callable[[], None]) -> None:
    """Run a file operation in the loop; it takes one millisecond."""
    await asyncio.sleep(0.001)
    action()


def run_simulated(main: Coroutine[Any, Any, ValueT]) -> ValueT:
    """Run a coroutine in a simulated loop."""
    with asyncio.Runner(loop_factory=SimulatedLoop) as runner:
        return runner.run(main)
