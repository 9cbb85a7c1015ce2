"""Reads the platform's list of targets."""

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass
from datetime import timedelta

import structlog
from plantainstand_core import Clock, TargetId
from plantainstand_fleet import TargetEntry, TargetUpdate
from result import Err, Result

_log = structlog.get_logger()

LEADER_INTERVAL = timedelta(seconds=1)
"""Interval between two readings by the VM whose turn it is: a third of the
time in which a leaving target must get nothing more."""

STANDBY_INTERVAL = timedelta(seconds=2)
"""Interval of the other VMs. If the leader can't read the list, a leaving
target must still be noticed within three seconds."""

DUE_CHECK_INTERVAL = timedelta(milliseconds=100)
"""How often it is looked whether a reading is due; a VM that becomes the
leader begins at once."""

RATE_SHARE = 0.5
"""Part of the allowed calls that is used, since several VMs may read."""


@dataclass(frozen=True)
class ListProblem:
    """Why the list could not be read."""

    description: str
    """What happened, in one sentence."""


@dataclass(frozen=True)
class TargetList:
    """The whole list."""

    entries: Sequence[TargetEntry]
    calls: int
    """Calls that it took, one a page."""


ListReader = Callable[[], Awaitable[Result[TargetList, ListProblem]]]


class ListPoller:
    """Keeps the newest list and the differences to it."""

    def __init__(
        self,
        read: ListReader,
        is_leading: Callable[[], bool],
        publish: Callable[[TargetUpdate], None],
        clock: Clock,
        calls_per_second: float,
    ):
        """``publish`` is given each difference."""
        self._read = read
        self._is_leading = is_leading
        self._publish = publish
        self._clock = clock
        self._calls_per_second = calls_per_second
        self._entries: dict[TargetId, TargetEntry] = {}
        self._seen_at: timedelta | None = None
        self._calls = 1
        self._reachable = True

    def full_update(self) -> TargetUpdate | None:
        """Return the whole list, if it was ever read."""
        if self._seen_at is None:
            return None
        age = self._clock.monotonic() - self._seen_at
        return TargetUpdate(
            full=True,
            present=tuple(self._entries.values()),
            gone=(),
            age_seconds=age.total_seconds(),
        )

    async def run(self) -> None:
        """Read until cancelled."""
        due = self._clock.monotonic()
        while True:
            began = self._clock.monotonic()
            if began >= due or self._took_over():
                await self._read_once(began)
                due = began + self._interval()
            await asyncio.sleep(DUE_CHECK_INTERVAL.total_seconds())

    def _interval(self) -> timedelta:
        usual = LEADER_INTERVAL if self._is_leading() else STANDBY_INTERVAL
        calls = self._calls_per_second * RATE_SHARE
        return max(usual, timedelta(seconds=self._calls / calls))

    def _took_over(self) -> bool:
        if not self._is_leading() or self._seen_at is None:
            return False
        age = self._clock.monotonic() - self._seen_at
        return self._reachable and age > self._interval()

    async def _read_once(self, began: timedelta) -> None:
        outcome = await self._read()
        if isinstance(outcome, Err):
            self._note_reachable(outcome.err_value.description)
            return
        self._note_reachable(None)
        self._calls = outcome.ok_value.calls
        self._take(outcome.ok_value.entries, began)

    def _take(self, listed: Sequence[TargetEntry], began: timedelta) -> None:
        entries = {entry.target: entry for entry in listed}
        changed = tuple(
            entry
            for entry in entries.values()
            if self._entries.get(entry.target) != entry
        )
        gone = tuple(self._entries.keys() - entries.keys())
        if changed or gone:
            _log.info(
                'target list changed',
                changed=[(each.target, each.draining) for each in changed[:8]],
                changed_count=len(changed),
                gone=list(gone[:8]),
            )
        self._entries = entries
        self._seen_at = began
        age = self._clock.monotonic() - began
        self._publish(
            TargetUpdate(
                full=False,
                present=changed,
                gone=gone,
                age_seconds=age.total_seconds(),
            ),
        )

    def _note_reachable(self, problem: str | None) -> None:
        reachable = problem is None
        if reachable != self._reachable:
            self._reachable = reachable
            event = 'target list readable again'
            if problem is not None:
                event = 'target list unreadable'
            _log.warning(event, problem=problem)
