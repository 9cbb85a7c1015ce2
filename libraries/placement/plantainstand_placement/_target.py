"""Load and health of one target, as one entry VM knows them."""

import math
from collections import OrderedDict
from datetime import timedelta

import xxhash
from plantainstand_fleet import TargetEntry

from plantainstand_placement._cold_knowledge import ColdKnowledge
from plantainstand_placement._other_load import LoadReport, OtherLoad
from plantainstand_placement._recent_sends import RecentSends
from plantainstand_placement._slowdown import ReportedSlowdown

_NEVER = timedelta.min

NEWEST_RESULT_WEIGHT = 0.15
"""Weight of the newest result in the moving average of failures."""

FAILURE_HALF_LIFE = timedelta(seconds=3)
"""Age at which the failure rate counts half, so that a failing target is tried
again although it receives no requests."""

UNREACHABLE_BACKOFF = timedelta(milliseconds=500)
"""Time without requests after a failed connection; doubles each time."""

UNREACHABLE_BACKOFF_MAX = timedelta(seconds=4)
"""Longest time without requests after failed connections."""

SILENCE_SERVICE_TIMES = 4
"""Number of usual service times without any response, while requests are in
flight, after which a target is tried last."""

SILENCE_MIN = timedelta(milliseconds=600)
"""Shortest time without a response that makes a target silent."""


MAX_KNOWN_OBJECTS = 1024
"""Objects of one target that are remembered, the ones sent last."""


class TargetState:
    """Load and health of a target, from own results and its reports."""

    def __init__(self, entry: TargetEntry, now: timedelta):
        """Track a target that has no requests in flight."""
        self.entry = entry
        self.order_seed = xxhash.xxh32_intdigest(entry.target.encode())
        self.in_flight = 0
        self.cold_until = _NEVER
        self.paused_until = _NEVER
        self.knowledge = ColdKnowledge()
        self.sends = RecentSends()
        self.slowdown = ReportedSlowdown()
        self.other_load = OtherLoad(now)
        self._failure_rate = float(0)
        self._failure_rate_at = now
        self._backoff_until = _NEVER
        self._backoff = UNREACHABLE_BACKOFF
        self._silent_since: timedelta | None = None
        self._responded_at = _NEVER
        self._known_objects: OrderedDict[bytes, bool] = OrderedDict()

    def knows(self, object_key: bytes) -> bool:
        """Tell whether the target has responded for the object before."""
        return self._known_objects.get(object_key, False)

    def has_started(self, object_key: bytes) -> bool:
        """Tell whether a request for the object was sent, answered or not."""
        return object_key in self._known_objects

    def record_object(self, object_key: bytes, *, responded: bool) -> None:
        """Record that the target runs, or has run, a request for an object."""
        known = self._known_objects.get(object_key, False)
        self._known_objects[object_key] = known or responded
        self._known_objects.move_to_end(object_key)
        if len(self._known_objects) > MAX_KNOWN_OBJECTS:
            self._known_objects.popitem(last=False)

    def forget_object(self, object_key: bytes) -> None:
        """Record that a request for an object was sent and did not run."""
        if not self.knows(object_key):
            self._known_objects.pop(object_key, None)

    def load(self, now: timedelta, usual: float = 0) -> float:
        """Return the estimated number of requests at the target.

        ``usual`` is the load by other VMs that is assumed without a report.
        """
        return self.in_flight + self.other_load.at(now, usual)

    def is_cold(self, now: timedelta) -> bool:
        """Tell whether the target may be cold."""
        return now < self.cold_until

    def is_backing_off(self, now: timedelta) -> bool:
        """Tell whether requests are held off after a failed connection."""
        return now < self._backoff_until

    def failure_rate(self, now: timedelta) -> float:
        """Return the moving average of failures, 0 to 1, decaying with time."""
        age: float = (now - self._failure_rate_at) / FAILURE_HALF_LIFE
        return self._failure_rate * _decay(age)

    def is_silent(self, now: timedelta, service_time: timedelta) -> bool:
        """Tell whether in-flight requests have had no response for too long."""
        limit = max(SILENCE_MIN, service_time * SILENCE_SERVICE_TIMES)
        return (
            self._silent_since is not None and now - self._silent_since > limit
        )

    def record_sent(self, now: timedelta) -> None:
        """Record that a request is sent."""
        self.in_flight += 1
        if self._silent_since is None:
            self._silent_since = now
        self.sends.record(now)

    def record_ended(self) -> None:
        """Record that a request is no longer in flight, for any reason."""
        self.in_flight -= 1
        if not self.in_flight:
            self._silent_since = None

    def record_response(
        self,
        now: timedelta,
        report: LoadReport | None,
        *,
        failed: bool,
    ) -> None:
        """Record a response; ``failed`` if it is of no use to the client."""
        self._backoff = UNREACHABLE_BACKOFF
        self._record_result(now, failed=failed, responded=True)
        if report is not None:
            self._record_report(now, report)

    def record_rejection(
        self, now: timedelta, report: LoadReport | None
    ) -> None:
        """Record that the target has rejected a request without running it.

        A target that does not report its load is assumed to be full.
        """
        self._record_result(now, failed=True, responded=True)
        slots = self.entry.slots
        self._record_report(now, report or LoadReport(slots, 1, slots))

    def record_failure(
        self, now: timedelta, silent_since: timedelta | None = None
    ) -> None:
        """Record an exchange that ended without a whole response.

        A timeout alone says little about a busy target: it may have ended only
        if it has sent no response since ``silent_since``.
        """
        if silent_since is None or self._responded_at < silent_since:
            self.knowledge.record_failure(now)
        self._record_result(now, failed=True)

    def record_unreachable(self, now: timedelta) -> None:
        """Record a failed connection and double the time to the next try."""
        self.knowledge.record_failure(now)
        self._record_result(now, failed=True)
        self._backoff_until = now + self._backoff
        self._backoff = min(self._backoff * 2, UNREACHABLE_BACKOFF_MAX)

    def _record_result(
        self, now: timedelta, *, failed: bool, responded: bool = False
    ) -> None:
        if responded:
            self._silent_since = now if self.in_flight else None
            self._responded_at = now
            self.knowledge.record_contact(now)
        rate = self.failure_rate(now)
        self._failure_rate = rate + NEWEST_RESULT_WEIGHT * (failed - rate)
        self._failure_rate_at = now

    def _record_report(self, now: timedelta, report: LoadReport) -> None:
        self.other_load.record_own(now, report, self.in_flight)
        self.slowdown.record(now, report.slowdown)


def _decay(half_lives: float) -> float:
    return math.pow(0.5, half_lives)
