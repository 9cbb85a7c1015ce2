"""The platform's list of targets, built from incremental updates."""

from collections.abc import Sequence
from datetime import timedelta

import msgspec
from plantainstand_core import TargetId

from plantainstand_fleet._messages import TargetEntry, TargetUpdate

_NEVER = timedelta.min


class TargetListing:
    """The list as one VM has read it."""

    def __init__(self) -> None:
        """Start without entries."""
        self.entries: dict[TargetId, TargetEntry] = {}
        """Entries with ``cold_seconds`` set to 0; see ``cold_until``."""

        self.cold_until: dict[TargetId, timedelta] = {}
        """Monotonic times at which cold targets become warm."""

        self.seen_at = _NEVER
        self.is_complete = False
        self.digest = 0
        """Hash of the entries, equal for listings with the same entries."""

    def apply(self, update: TargetUpdate, now: timedelta) -> None:
        """Apply an update that was received at the monotonic time ``now``."""
        seen_at = now - timedelta(seconds=update.age_seconds)
        if update.full:
            self.entries = {}
            self.cold_until = {}
            self.digest = 0
            self.is_complete = True
        for target in update.removed:
            self._drop(target)
        for entry in update.updated:
            self._set(entry, seen_at)
        self.seen_at = seen_at

    def snapshot(self) -> Sequence[TargetEntry]:
        """Return all entries, with the cold time left at ``seen_at``."""
        return tuple(
            _with_cold_time(entry, self.cold_until.get(target), self.seen_at)
            for target, entry in self.entries.items()
        )

    def _set(self, entry: TargetEntry, seen_at: timedelta) -> None:
        target = entry.target
        self._drop(target)
        if entry.cold_seconds > 0:
            cold = timedelta(seconds=entry.cold_seconds)
            self.cold_until[target] = seen_at + cold
            entry = msgspec.structs.replace(entry, cold_seconds=0)
        self.entries[target] = entry
        self.digest ^= hash(entry)

    def _drop(self, target: TargetId) -> None:
        self.cold_until.pop(target, None)
        known = self.entries.pop(target, None)
        if known is not None:
            self.digest ^= hash(known)


def _with_cold_time(
    entry: TargetEntry,
    cold_until: timedelta | None,
    seen_at: timedelta,
) -> TargetEntry:
    """Return an entry with the cold time that is left at ``seen_at``."""
    if cold_until is None or cold_until <= seen_at:
        return entry
    left = (cold_until - seen_at).total_seconds()
    return msgspec.structs.replace(entry, cold_seconds=left)
