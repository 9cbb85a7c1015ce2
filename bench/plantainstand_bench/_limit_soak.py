"""Soak of request limits that come, change and end while VMs restart."""

import asyncio
import random
from collections.abc import Callable, Sequence
from contextlib import AsyncExitStack
from dataclasses import dataclass
from datetime import timedelta
from http import HTTPStatus
from pathlib import Path
from tempfile import TemporaryDirectory

from plantainstand_bench._limited_fleet import LimitedFleet
from plantainstand_bench._limited_target import CLOCK

REQUESTS_PER_SECOND = 12
"""Requests to each VM; clients keep their connections."""

DURATION = timedelta(seconds=24)

MEAN_CHANGE_INTERVAL = timedelta(milliseconds=800)
"""Mean time between two events, so that several are in progress at once."""

LIMIT_RANGE = (0.5, 8)
"""Least and largest limit that a target states, in requests per second."""


STALL_CHECK_INTERVAL = timedelta(milliseconds=50)
"""Interval at which the event loop is checked for stalls."""


@dataclass(frozen=True)
class SoakResult:
    """What targets and callers have seen."""

    excesses: Sequence[str]
    """Windows in which a target got more than its limit allows."""

    other_statuses: frozenset[int]
    """Statuses other than 200, and 503, which says that nothing ran."""

    refused_fraction: float
    """Fraction of the answers with status 503."""

    longest_stall: timedelta
    """Longest time for which the event loop, and so every VM, stood still."""


async def play_limit_soak(
    seed: int, build_fleet: Callable[[], LimitedFleet]
) -> SoakResult:
    """Play one seed with a fleet that has not been started."""
    source = random.Random(seed)  # noqa: S311
    async with AsyncExitStack() as stack:
        folder = Path(stack.enter_context(TemporaryDirectory()))
        fleet = build_fleet()
        await fleet.start(stack, folder)
        changing = asyncio.create_task(_change_forever(fleet, source))
        stack.callback(changing.cancel)
        stalls = _StallMeter()
        measuring = asyncio.create_task(stalls.measure_forever())
        stack.callback(measuring.cancel)
        await fleet.send_requests(REQUESTS_PER_SECOND, DURATION)
    return SoakResult(
        tuple(
            excess for target in fleet.targets for excess in target.excesses()
        ),
        frozenset(fleet.statuses)
        - {HTTPStatus.OK, HTTPStatus.SERVICE_UNAVAILABLE},
        fleet.statuses.count(HTTPStatus.SERVICE_UNAVAILABLE)
        / len(fleet.statuses),
        stalls.longest,
    )


class _StallMeter:
    """Longest delay of a short sleep."""

    def __init__(self) -> None:
        self.longest = timedelta()

    async def measure_forever(self) -> None:
        while True:
            began_at = CLOCK.monotonic()
            await asyncio.sleep(STALL_CHECK_INTERVAL.total_seconds())
            late = CLOCK.monotonic() - began_at - STALL_CHECK_INTERVAL
            self.longest = max(self.longest, late)


async def _change_forever(fleet: LimitedFleet, source: random.Random) -> None:
    """Restart VMs, and let every second target state or end a limit."""
    limited = fleet.targets[::2]
    while True:
        target = source.choice(limited)
        match source.choices(('restart', 'end', 'state'), (1, 1, 3))[0]:
            case 'restart':
                await fleet.restart(source.randrange(fleet.vm_count))
            case 'end':
                target.state_limit(None)
            case _:
                target.state_limit(round(source.uniform(*LIMIT_RANGE), 1))
        pause = source.uniform(0, 2) * MEAN_CHANGE_INTERVAL
        await asyncio.sleep(pause.total_seconds())
