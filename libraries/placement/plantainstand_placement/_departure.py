"""Decides which requests a stopping entry VM still accepts.

Load pattern: clients that hold an older directory answer keep sending for
seconds after the order to stop, and some routes take longer than the time that
is left. A request that cannot end before the process does would lose its
answer while its target works on it, so it is rejected at once; the client then
has most of its deadline left for another VM.

How long a request runs is known only from earlier ones. One that must not
repeat has no second try if it is broken off, so it is accepted only if its
time limit ends before the process does. The same holds for all requests once
clients have had notice of the stop: what still arrives is little, and a target
that has just turned slow would have it broken off.
"""

from datetime import timedelta

DURATION_WINDOW = timedelta(seconds=10)
"""Time for which a response time counts at least."""


class LongestDurations:
    """Longest recent time to a whole response, by route.

    Two windows are kept, so a duration counts for one to two window lengths.
    """

    def __init__(self) -> None:
        """Create windows without durations."""
        self._current: dict[str, timedelta] = {}
        self._previous: dict[str, timedelta] = {}
        self._current_since: timedelta | None = None

    def record(self, route: str, duration: timedelta, now: timedelta) -> None:
        """Add the time between sending a request and its last byte."""
        since = self._current_since
        windows = self._windows(now)
        self._current = windows[0]
        self._previous = windows[1]
        if since is None or now - since > DURATION_WINDOW:
            self._current_since = now
        known = self._current.get(route, timedelta())
        self._current[route] = max(known, duration)

    def longest(self, route: str, now: timedelta) -> timedelta | None:
        """Return the longest recent duration; None if there was none."""
        windows = self._windows(now)
        known = [window[route] for window in windows if route in window]
        return max(known, default=None)

    def _windows(
        self, now: timedelta
    ) -> tuple[dict[str, timedelta], dict[str, timedelta]]:
        """Return the current and the previous window as of ``now``."""
        since = self._current_since
        if since is None or now - since <= DURATION_WINDOW:
            return self._current, self._previous
        is_adjacent = now - since <= DURATION_WINDOW * 2
        return {}, self._current if is_adjacent else {}


def ends_before_exit(
    longest: timedelta | None,
    time_limit: timedelta,
    time_left: timedelta,
    *,
    certain: bool,
) -> bool:
    """Tell whether a request is expected to end before the process does.

    ``longest`` is the longest recent duration on the request's route, if any;
    ``time_limit`` is the time after which the request is given up anyway, and
    ``time_left`` the time until the process ends. ``certain`` demands that the
    request ends in time however long its target runs it.
    """
    if certain or longest is None:
        return time_limit <= time_left
    return min(longest, time_limit) <= time_left
