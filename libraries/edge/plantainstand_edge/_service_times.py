"""How long a service's targets usually take."""

from datetime import timedelta

from plantainstand_core import ServiceId

INITIAL_SERVICE_TIME = timedelta(milliseconds=200)
"""Assumed until answers have been seen; the order of the catalogue's kinds."""

NEWEST_WEIGHT = 0.05
"""Weight of the newest answer: about twenty answers are remembered."""


class ServiceTimes:
    """Moving average of the time to an answer, by service."""

    def __init__(self) -> None:
        """Start without answers."""
        self._times: dict[ServiceId, timedelta] = {}

    def of(self, service: ServiceId) -> timedelta:
        """Return the usual time to an answer."""
        return self._times.get(service, INITIAL_SERVICE_TIME)

    def note(self, service: ServiceId, duration: timedelta) -> None:
        """Take the time that an answer took."""
        known = self.of(service)
        duration = max(duration, timedelta(milliseconds=1))
        self._times[service] = known + (duration - known) * NEWEST_WEIGHT
