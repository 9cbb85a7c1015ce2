"""Loads of targets that entry VMs exchange."""

from collections.abc import Iterable
from dataclasses import dataclass
from datetime import timedelta

import msgspec
from plantainstand_core import TargetId

LOAD_LIFETIME = timedelta(seconds=2)
"""Age from which a load is not passed on. Queues of requests that take a second
or less have changed by then."""

MAX_LOADS = 512
"""Targets whose loads are held; an update with all of them has about 18 KB."""

_MILLISECOND = timedelta(milliseconds=1)


class TargetLoad(msgspec.Struct, frozen=True, array_like=True):
    """Load that a target stated in a response.

    Numbers are whole, since a fraction takes nine bytes on the link.
    """

    target: TargetId
    started_ms: int
    """Start of the target's process; the load of the one before is void."""

    running: int
    waiting: int
    slowdown_percent: int
    """Time that work takes on its machine, in percent of the usual time."""

    age_ms: int
    """Time since the response arrived at an entry VM."""

    def read_at(self, now: timedelta) -> timedelta:
        """Return when the response arrived; never later than ``now``."""
        return now - max(0, self.age_ms) * _MILLISECOND

    def aged(self, read_at: timedelta, now: timedelta) -> 'TargetLoad':
        """Return the load with its age as of ``now``."""
        age_ms = (now - read_at) // _MILLISECOND
        return msgspec.structs.replace(self, age_ms=age_ms)


@dataclass(frozen=True, slots=True)
class _Known:
    """Newest load of one target."""

    load: TargetLoad
    read_at: timedelta
    was_taken: bool = False


class NewestLoads:
    """Newest load of each target, until it is too old to be of use."""

    def __init__(self) -> None:
        """Start without loads."""
        self._known: dict[tuple[TargetId, int], _Known] = {}

    def merge(self, loads: Iterable[TargetLoad], now: timedelta) -> None:
        """Keep the loads that are newer than the known ones."""
        for load in loads:
            read_at = load.read_at(now)
            key = (load.target, load.started_ms)
            known = self._known.get(key)
            if known is None or known.read_at < read_at:
                self._known[key] = _Known(load, read_at)
        if len(self._known) > MAX_LOADS:
            self._keep_newest(now)

    def take_changed(self, now: timedelta) -> tuple[TargetLoad, ...]:
        """Return the loads that no call has returned yet, with their ages."""
        self._keep_newest(now)
        changed = tuple(
            known.load.aged(known.read_at, now)
            for known in self._known.values()
            if not known.was_taken
        )
        self._known = {
            key: _Known(known.load, known.read_at, was_taken=True)
            for key, known in self._known.items()
        }
        return changed

    def _keep_newest(self, now: timedelta) -> None:
        newest = sorted(
            (
                pair
                for pair in self._known.items()
                if now - pair[1].read_at <= LOAD_LIFETIME
            ),
            key=lambda pair: pair[1].read_at,
            reverse=True,
        )
        self._known = dict(newest[:MAX_LOADS])
