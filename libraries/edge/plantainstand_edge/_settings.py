"""Settings of an entry VM."""

from dataclasses import dataclass
from datetime import timedelta

from plantainstand_core import AvailabilityZoneId, RegionId, VmId
from plantainstand_placement import ColdTargetLimits, RetryBudgetLimits


@dataclass(frozen=True)
class EntrySettings:
    """Settings of an entry VM's process."""

    vm: VmId
    """IP address of this VM."""

    availability_zone: AvailabilityZoneId
    region: RegionId
    client_address: str
    """Address on which clients connect, ``host:port``."""

    ready_address: str
    """Address of the readiness check, ``host:port``."""

    metrics_port: int
    link_port: int
    """Port on which control VMs accept links."""

    seeds: tuple[VmId, ...]
    """Control VMs to connect to before any roster is known."""

    cold_target_limits: ColdTargetLimits
    retry_budget_limits: RetryBudgetLimits
    list_lag: timedelta
    """Age of what the platform's list says when it is read."""

    stop_grace_period: timedelta
    """Time between the order to stop and the forced end of the process."""

    memory_bytes: int = 256_000_000
    """Memory that the process may take."""

    max_descriptors: int = 4096
    """Descriptors that the process may open."""

    key_withdrawal_limit: timedelta | None = None
    """Longest time for which a VM without contact may use a key that was
    withdrawn; None for no limit."""
