"""The platform's list of targets, put together from differences."""

from datetime import timedelta

from plantainstand_core import TargetId

from plantainstand_fleet._messages import TargetEntry, TargetUpdate

_NEVER = timedelta.min


class TargetListing:
    """The list as one other VM has seen it."""

    def __init__(self) -> None:
        """Start without entries."""
        self.entries: dict[TargetId, TargetEntry] = {}
        self.seen_at = _NEVER
        self.is_complete = False
        self.digest = 0
        """Equal for listings with the same entries."""

    def take(self, update: TargetUpdate, now: timedelta) -> None:
        """Carry out an update, received at the monotonic time ``now``."""
        if update.full:
            self.entries = {}
            self.digest = 0
            self.is_complete = True
        for entry in update.present:
            self._drop(entry.target)
            self.entries[entry.target] = entry
            self.digest ^= hash(entry)
        for target in update.gone:
            self._drop(target)
        self.seen_at = now - timedelta(seconds=update.age_seconds)

    def _drop(self, target: TargetId) -> None:
        known = self.entries.pop(target, None)
        if known is not None:
            self.digest ^= hash(known)
