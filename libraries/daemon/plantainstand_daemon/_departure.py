"""Times of a graceful departure."""

from datetime import timedelta

from plantainstand_membership import ENTRY_LIFETIME

# A caller that got its list just before the drain may use it this much later.
_ENTRY_LIST_EXPIRY = ENTRY_LIFETIME + timedelta(milliseconds=500)
# How long an idle VM waits for a leader to take its departure.
_DEPARTURE_TIMEOUT = timedelta(seconds=4)


class Departure:
    """Since when a VM is leaving, and since when it is idle."""

    def __init__(self) -> None:
        """Start as not leaving."""
        self._started_at: timedelta | None = None
        self._idle_since: timedelta | None = None

    def reset(self) -> None:
        """Note that the VM is not leaving any more."""
        self._started_at = None
        self._idle_since = None

    def start(self, now: timedelta) -> None:
        """Note that the VM is leaving; later calls change nothing."""
        if self._started_at is None:
            self._started_at = now

    def record_idle(self, now: timedelta) -> None:
        """Note that no request is in flight and none is taken any more."""
        if self._idle_since is None:
            self._idle_since = now

    def may_refuse_requests(self, now: timedelta) -> bool:
        """Tell whether no caller can still have a list that names this VM."""
        return self._started_at is not None and (
            now - self._started_at >= _ENTRY_LIST_EXPIRY
        )

    def has_timed_out(self, now: timedelta) -> bool:
        """Tell whether the VM is idle and no leader takes its departure.

        Its shares are then reclaimed later, as those of a lost VM.
        """
        return self._idle_since is not None and (
            now - self._idle_since > _DEPARTURE_TIMEOUT
        )
