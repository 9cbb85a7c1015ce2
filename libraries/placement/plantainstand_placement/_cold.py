"""Limits the requests that one entry VM sends to a cold target."""

from dataclasses import dataclass
from datetime import timedelta

from plantainstand_placement._fleet_share import FleetShare

COLD_WINDOW = timedelta(seconds=1)
"""Sliding window in which the requests to a cold target are counted."""

USED_COLD_LIMIT_FRACTION = 0.8
"""Fraction of the limit that is used: the known number of entry VMs lags."""


@dataclass(frozen=True)
class ColdTargetLimits:
    """Limit on the requests that a cold target receives in any second."""

    factor: float
    """Multiple of the cold rate stated by the service."""

    slack: float
    """Requests per second allowed in addition."""

    def share(
        self, service_rate: float, fleet: FleetShare
    ) -> 'ColdRequestShare':
        """Return one VM's share of the requests in any second.

        ``service_rate`` is the cold rate of the service, in requests per
        second.
        """
        total = service_rate * self.factor + self.slack
        return ColdRequestShare(int(total * USED_COLD_LIMIT_FRACTION), fleet)


@dataclass(frozen=True, slots=True)
class ColdRequestShare:
    """Requests per second that one entry VM may send to each cold target.

    Load pattern: after a release, an evacuation or a failed availability zone,
    a fourth of the targets or more are cold at once, and each bears fewer
    requests in a second than there are entry VMs. Shares rounded down would be
    zero, and the other targets would carry the whole load until the cold
    targets are warm. What cannot be split evenly therefore goes to some of the
    VMs, to others for each target.
    """

    total: int
    """Requests in a second that all VMs together may send to a target."""

    fleet: FleetShare

    def limit(self, target_seed: int) -> int:
        """Return this VM's requests per second to a target."""
        return self.fleet.part(self.total, target_seed)
