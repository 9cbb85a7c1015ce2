"""Use of one account at one entry VM."""

from collections import deque
from datetime import timedelta
from typing import Final

from plantainstand_allotments._terms import NEAR_DEMAND_PART
from plantainstand_allotments._windows import CountWindow, RunWindow

_WAIT_LIMIT = timedelta(milliseconds=250)
"""A request waits for an answer for at most 200 ms."""

_IDLE_WINDOW_COUNT: Final = 6
"""An account without requests for this many windows is forgotten, so that its
allotment is free for VMs that use it."""

_RETURN_LIMIT: Final = 6
"""Windows that a rejected request is asked to wait at most."""


class AccountUsage:
    """Allotment, runs and demand of one account."""

    __slots__ = (
        '_promised',
        '_rejections',
        '_waiting_since',
        '_window',
        'allotment',
        'is_exhausted',
        'is_scarce',
        'requested_at',
        'runs',
        'waiting_count',
    )

    def __init__(self, window: timedelta, now: timedelta) -> None:
        """Start without an allotment."""
        self.allotment = 0
        self.is_exhausted = False
        self.is_scarce = False
        self.requested_at = now
        self.runs = RunWindow(window)
        self.waiting_count = 0
        """Requests since the last answer that found no allotment left and are
        expected to try again."""

        self._window = window
        self._waiting_since = now
        self._rejections = CountWindow(window)
        self._promised: deque[timedelta] = deque()

    def try_run(self, now: timedelta) -> bool:
        """Count a run if the allotment has room for it."""
        self.requested_at = now
        if self.runs.prune(now) >= self.allotment:
            return False
        self.runs.times.append(now)
        return True

    def reject(self, now: timedelta) -> None:
        """Count a request that was rejected."""
        self._rejections.add(1, now)

    def wait(self, now: timedelta) -> None:
        """Count a request that waits for the next answer."""
        if not self.waiting_count:
            self._waiting_since = now
        self.waiting_count += 1

    def end_wait(self, now: timedelta) -> None:
        """Take note of an answer, after which those waiting try again.

        They are counted then. Those that waited too long were rejected.
        """
        if now - self._waiting_since > _WAIT_LIMIT:
            self._rejections.add(self.waiting_count, now)
        self.waiting_count = 0

    def demand(self, now: timedelta) -> int:
        """Return the runs and rejections of the window that ends at ``now``."""
        if self.waiting_count and now - self._waiting_since > _WAIT_LIMIT:
            self.end_wait(now)
        count = self.runs.prune(now) + self._rejections.count(now)
        return count + self.waiting_count

    def return_unused(self, demand: int) -> bool:
        """Lower the allotment to what is used until the next question.

        Only if other VMs need the difference. Return whether it was lowered.
        """
        used = len(self.runs.times) + demand // NEAR_DEMAND_PART
        if not self.is_scarce or self.allotment <= used:
            return False
        self.allotment = used
        return True

    def is_idle(self, now: timedelta) -> bool:
        """Tell whether there were no requests for a long time."""
        return now - self.requested_at > self._window * _IDLE_WINDOW_COUNT

    def promise(self, now: timedelta) -> timedelta:
        """Return the time until a rejected request may find room.

        Each run that leaves the window makes room for one request, and those
        that were told to return before take the first of these.
        """
        wait = self.wait_for_room(now)
        if wait < self._window * _RETURN_LIMIT:
            self._promised.append(now + wait)
        return wait

    def wait_for_room(self, now: timedelta) -> timedelta:
        """Return what :meth:`promise` would return, without promising it."""
        promised = self._promised
        while promised and promised[0] <= now:
            promised.popleft()
        moment = self._room_at(len(promised), now)
        return min(moment - now, self._window * _RETURN_LIMIT)

    def left(self, now: timedelta) -> int:
        """Return the number of runs that the allotment has room for."""
        return max(0, self.allotment - self.runs.prune(now))

    def _room_at(self, ahead: int, now: timedelta) -> timedelta:
        """Return when there is room after ``ahead`` other requests."""
        allotment = self.allotment
        run_count = self.runs.prune(now)
        if not run_count:
            # Other VMs hold the whole limit; the mean time until some of it
            # leaves their windows is unknown here.
            spacing = self._window / max(allotment, 2)
            return now + spacing * (ahead + 1)
        excess = run_count - max(allotment, 1) + ahead
        if excess < 0:
            return now
        rounds, position = divmod(excess, run_count)
        return self.runs.times[position] + self._window * (rounds + 1)
