"""Deployments to work out, and rows of the resulting table."""

from dataclasses import dataclass

_DAY_S = 86400
_SLOTS = 9


@dataclass(frozen=True)
class Site:
    """What is known of a deployment of one size."""

    vms: int
    targets: int
    zones: int
    changes_per_day: float
    failures_per_day: float
    restarts_per_day: float
    look_ups_per_second: float

    @property
    def members(self) -> float:
        """Entry VMs in one zone on average."""
        return self.vms / self.zones

    @property
    def changes_per_second(self) -> float:
        """Operators' changes."""
        return self.changes_per_day / _DAY_S

    @property
    def events_per_second(self) -> float:
        """Reclaims and registrations: each lost VM is replaced by one."""
        events = 2 * (self.failures_per_day + self.restarts_per_day)
        return events / _DAY_S

    @property
    def polled_targets(self) -> float:
        """Targets of which a VM owns a slot."""
        per_zone = self.targets / self.zones
        return min(per_zone, per_zone * _SLOTS / self.members)


TODAY_SITE = Site(10, 38, 6, 100, 0.1, 10, 371)
PLANNED_SITE = Site(3300, 5500, 64, 33000, 14, 930, 17e6)


@dataclass(frozen=True)
class Row:
    """One activity of a role, per second."""

    role: str
    activity: str
    received: float
    """Messages per second."""

    sent: float
    core: float
    """Seconds of processor time per second."""

    bytes_both_ways: float
    slope: str
    """Name of the measurement that the row is worked out from."""
