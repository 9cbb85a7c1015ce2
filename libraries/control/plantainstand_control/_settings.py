"""Settings of a control VM."""

from dataclasses import dataclass
from pathlib import Path

from plantainstand_core import AvailabilityZoneId, RegionId, VmId


@dataclass(frozen=True)
class ControlSettings:
    """What a control VM is told at its start."""

    vm: VmId
    """Own IP address."""

    availability_zone: AvailabilityZoneId
    region: RegionId
    data_folder: Path
    link_port: int
    """Port on which all control VMs take links."""

    metrics_port: int
    seeds: tuple[VmId, ...]
    """Control VMs to begin with."""

    bootstrap: bool
    """Whether the whole system starts for the first time."""

    tolerated_losses: int
    """Disks that may be lost at once."""

    list_calls_per_second: float
    """Calls to the platform's list that all VMs together may make."""
