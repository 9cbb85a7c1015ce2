"""Estimates the time in which a service's targets respond."""

from datetime import timedelta

from plantainstand_core import ServiceId

INITIAL_SERVICE_TIME = timedelta(milliseconds=200)
"""Assumed before the first response; the magnitude of usual services."""

NEWEST_RESPONSE_WEIGHT = 0.05
"""Weight of the newest response: the average spans about 20 responses."""


class ServiceTimes:
    """Moving average of the time to a response, by service."""

    def __init__(self) -> None:
        """Create averages without responses."""
        self._times: dict[ServiceId, timedelta] = {}

    def estimate(self, service: ServiceId) -> timedelta:
        """Return the usual time to a response."""
        return self._times.get(service, INITIAL_SERVICE_TIME)

    def record(self, service: ServiceId, duration: timedelta) -> None:
        """Add the time to one response, queueing left out."""
        known = self.estimate(service)
        duration = max(duration, timedelta(milliseconds=1))
        self._times[service] = (
            known + (duration - known) * NEWEST_RESPONSE_WEIGHT
        )
