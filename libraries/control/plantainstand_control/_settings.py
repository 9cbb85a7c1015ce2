"""Settings of a control VM."""

from dataclasses import dataclass
from pathlib import Path

from plantainstand_core import AvailabilityZoneId, RegionId, VmId


@dataclass(frozen=True)
class ControlSettings:
    """Settings that a control VM is started with."""

    vm: VmId
    """Own IP address."""

    availability_zone: AvailabilityZoneId
    region: RegionId
    data_folder: Path
    link_port: int
    """Port on which every control VM accepts links."""

    metrics_port: int
    seeds: tuple[VmId, ...]
    """Control VMs to connect to before others are known."""

    bootstrap: bool
    """Whether this is the first start of the whole system. The seeds then
    found the replicated log."""

    tolerated_losses: int
    """Number of disks that may be lost at the same time."""

    list_calls_per_second: float
    """Limit on calls to the platform's list, for all VMs together."""

    memory_bytes: int = 256_000_000
    """Memory that the process may take."""

    disk_bytes: int = 256_000_000
    """Disk that the data folder may take."""

    max_descriptors: int = 4096
    """Descriptors that the process may open."""
