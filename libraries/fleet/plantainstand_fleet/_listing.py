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

    def take(self, update: TargetUpdate, now: timedelta) -> None:
        """Carry out an update, received at the monotonic time ``now``."""
        if update.full:
            self.entries = {}
            self.is_complete = True
        self.entries.update((each.target, each) for each in update.present)
        for target in update.gone:
            self.entries.pop(target, None)
        self.seen_at = now - timedelta(seconds=update.age_seconds)
