"""Settings of an entry VM."""

from dataclasses import dataclass
from datetime import timedelta

from plantainstand_core import AvailabilityZoneId, RegionId, VmId
from plantainstand_placement import ColdTargetLimits, RetryBudgetLimits


@dataclass(frozen=True)
class EntrySettings:
    """What an entry VM is told at its start."""

    vm: VmId
    """Own IP address."""

    availability_zone: AvailabilityZoneId
    region: RegionId
    client_address: str
    """Where clients reach it, ``host:port``."""

    ready_address: str
    """Where the platform asks whether it is ready."""

    metrics_port: int
    link_port: int
    """Port on which control VMs take links."""

    seeds: tuple[VmId, ...]
    """Control VMs to begin with."""

    cold_target_limits: ColdTargetLimits
    retry_budget_limits: RetryBudgetLimits
    stop_grace_period: timedelta
    """Time between the order to stop and the forced end."""
