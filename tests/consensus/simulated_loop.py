"""An event loop whose time passes as soon as nothing is left to do."""

import asyncio
import selectors
from collections.abc import Callable, Coroutine
from datetime import UTC, datetime, timedelta
from typing import Any, TypeVar

ValueT = TypeVar('ValueT')


class _SkippingSelector(selectors.SelectSelector):
    """Never waits: the loop's clock is moved by the time not waited."""

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
    """Loop and clock; file operations have to run in its own thread."""

    def __init__(self) -> None:
        """Start at zero."""
        self._skipping = _SkippingSelector()
        super().__init__(self._skipping)

    def time(self) -> float:
        """Return the time that was skipped so far."""
        return self._skipping.skipped

    def monotonic(self) -> timedelta:
        """See ``Clock.monotonic``."""
        return timedelta(seconds=self.time())

    def wall(self) -> datetime:
        """See ``Clock.wall``."""
        return datetime.fromtimestamp(self.time(), UTC)


async def run_here(action: Callable[[], None]) -> None:
    """Run a file operation without a thread; it takes a millisecond."""
    await asyncio.sleep(0.001)
    action()


def run_simulated(main: Coroutine[Any, Any, ValueT]) -> ValueT:
    """Run a coroutine on a simulated loop."""
    with asyncio.Runner(loop_factory=SimulatedLoop) as runner:
        return runner.run(main)
