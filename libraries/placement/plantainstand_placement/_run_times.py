"""Estimates how long a request of a route runs at a target.

Load pattern: a target runs an object that it has served recently several times
faster than another one, and routes of one service differ as much. One mean over
all of them is above the time of most requests: after a cold start, requests
that would be served in time are rejected, and a few slow runs make a queue of
quick ones look long.
"""

from dataclasses import dataclass
from datetime import timedelta
from enum import Enum

INITIAL_RUN_TIME = timedelta(milliseconds=200)
"""Assumed before the first response; the magnitude of usual services."""

MIN_RUN_TIME = timedelta(milliseconds=1)
"""Shortest recorded time, so that an estimate never reaches zero."""

NEWEST_RUN_WEIGHT = 0.1
"""Weight of the newest run: the average spans about ten runs."""

MAX_RUN_RATIO = 2
"""Multiple of the estimate at which a repeated run is clipped. A longer one
waited in the target's queue or ran anew after the target had dropped the
object."""


class Familiarity(Enum):
    """What an entry VM knows of an object at a target."""

    REPEATED = 'repeated'
    """This VM has had a response for the object from there."""

    STARTED = 'started'
    """It has sent the object there and has had no response yet. Some targets
    run further requests for an object quickly as soon as the first has begun,
    others only once it has ended."""

    PREFERRED = 'preferred'
    """It has not, but the target is the first of the object's order, so other
    VMs may have."""

    OTHER = 'other'
    """It has not, and other VMs probably neither."""


@dataclass(frozen=True, slots=True)
class RunTimeEstimates:
    """Expected run times of one route's requests, without queueing."""

    repeated: timedelta
    started: timedelta
    preferred: timedelta
    other: timedelta

    def expected(self, familiarity: Familiarity) -> timedelta:
        """Return the expected run time."""
        return {
            Familiarity.REPEATED: self.repeated,
            Familiarity.STARTED: self.started,
            Familiarity.PREFERRED: self.preferred,
            Familiarity.OTHER: self.other,
        }[familiarity]


class RunTimes:
    """Moving averages of run times, by route and familiarity."""

    def __init__(self) -> None:
        """Create averages without runs."""
        self._times: dict[tuple[str, Familiarity], timedelta] = {}

    def estimates(self, route: str) -> RunTimeEstimates:
        """Return the estimates of a route; guesses until runs are known."""
        repeated, started, preferred, other = (
            self._times.get((route, familiarity)) for familiarity in Familiarity
        )
        preferred = preferred or repeated or INITIAL_RUN_TIME
        repeated = repeated or preferred
        return RunTimeEstimates(
            repeated=min(repeated, preferred),
            started=started or preferred,
            preferred=preferred,
            other=max(other or preferred, preferred),
        )

    def record(
        self, route: str, familiarity: Familiarity, duration: timedelta
    ) -> None:
        """Add the time of one run, queueing left out."""
        key = (route, familiarity)
        duration = max(duration, MIN_RUN_TIME)
        known = self._times.get(key)
        if known is None:
            self._times[key] = duration
            return
        if familiarity is Familiarity.REPEATED:
            duration = min(duration, known * MAX_RUN_RATIO)
        self._times[key] = known + (duration - known) * NEWEST_RUN_WEIGHT
