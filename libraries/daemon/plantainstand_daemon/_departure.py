"""Timing of a graceful departure."""

from datetime import timedelta

from plantainstand_membership import ENTRY_LIFETIME

# A caller may use an entry list that it received just before the departure
# began for this long.
_ENTRY_LIST_EXPIRY = ENTRY_LIFETIME + timedelta(milliseconds=500)
# How long an idle VM waits for a leader to commit its departure.
_DEPARTURE_TIMEOUT = timedelta(seconds=4)


class Departure:
    """Start of a VM's departure and of its idle time, in monotonic time."""

    def __init__(self) -> None:
        """Start without a departure in progress."""
        self._started_at: timedelta | None = None
        self._idle_since: timedelta | None = None

    def reset(self) -> None:
        """Record that the VM no longer leaves."""
        self._started_at = None
        self._idle_since = None

    def start(self, now: timedelta) -> None:
        """Record the start of the departure; only the first call counts."""
        if self._started_at is None:
            self._started_at = now

    def record_idle(self, now: timedelta) -> None:
        """Record that no request is in flight and none is accepted.

        Only the first call counts.
        """
        if self._idle_since is None:
            self._idle_since = now

    def may_refuse_requests(self, now: timedelta) -> bool:
        """Return whether no caller can have a valid list with this VM."""
        return self._started_at is not None and (
            now - self._started_at >= _ENTRY_LIST_EXPIRY
        )

    def has_timed_out(self, now: timedelta) -> bool:
        """Return whether an idle VM has waited too long for its departure.

        No leader has committed the departure in time. The VM then stops anyway,
        and its shares are reclaimed later, like those of a lost VM.
        """
        return self._idle_since is not None and (
            now - self._idle_since > _DEPARTURE_TIMEOUT
        )
