"""Targets and placement criteria for tests."""

from collections.abc import Sequence
from datetime import timedelta

from plantainstand_core import (
    AvailabilityZoneId,
    RegionId,
    ServiceId,
    TargetId,
)
from plantainstand_fleet import TargetEntry, VmSeed
from plantainstand_placement import (
    ColdRequestShare,
    FleetShare,
    PlacementCriteria,
    RequestLimits,
    RunTimeEstimates,
    ServiceEstimates,
    TargetState,
)

NOW = timedelta(hours=1)
SERVICE_TIME = timedelta(milliseconds=100)
OBJECTIVE_LEFT = SERVICE_TIME * 3
TIME_LEFT = OBJECTIVE_LEFT * 2
SERVICE = ServiceId('orders')
REGIONS = ('norte', 'centro', 'sul')


def fleet_shares(sizes: Sequence[int]) -> list[tuple[RegionId, FleetShare]]:
    """Return the VMs of regions with the given numbers of VMs."""
    regions: dict[RegionId, frozenset[VmSeed]] = {}
    first = 0
    for name, size in zip(REGIONS, sizes, strict=False):
        seeds = map(VmSeed, range(first, first + size))
        regions[RegionId(name)] = frozenset(seeds)
        first += size
    return [
        (region, FleetShare(seed, regions))
        for region, seeds in regions.items()
        for seed in sorted(seeds)
    ]


ALONE = fleet_shares([1])[0][1]
NO_LIMITS = RequestLimits(RegionId('norte'), ALONE)


def entry(
    name: str,
    region: str = 'norte',
    *,
    slots: int = 4,
    draining: bool = False,
    cold_seconds: float = 0,
    started_ms: int = 1,
) -> TargetEntry:
    """Return an entry of the platform's list."""
    return TargetEntry(
        target=TargetId(name),
        service=SERVICE,
        address=f'{name}:80',
        availability_zone=AvailabilityZoneId(f'{region}-a'),
        region=RegionId(region),
        slots=slots,
        draining=draining,
        started_ms=started_ms,
        cold_seconds=cold_seconds,
    )


def idle_targets(*names: str, region: str = 'norte') -> list[TargetState]:
    """Return idle targets."""
    return [TargetState(entry(name, region), NOW) for name in names]


def criteria(
    key: str = 'object',
    *,
    home_regions: tuple[str, ...] = (),
    objective_left: timedelta = OBJECTIVE_LEFT,
    time_left: timedelta = TIME_LEFT,
    cold_limit: int = 2,
    tried_targets: tuple[str, ...] = (),
    evacuated_availability_zones: tuple[str, ...] = (),
    request_limits: RequestLimits = NO_LIMITS,
) -> PlacementCriteria:
    """Return the criteria of a request that arrives in region ``norte``."""
    return PlacementCriteria(
        object_key=key.encode(),
        region=RegionId('norte'),
        home_regions=tuple(RegionId(home) for home in home_regions),
        objective_left=objective_left,
        time_left=time_left,
        cold_share=ColdRequestShare(cold_limit, ALONE),
        request_limits=request_limits,
        evacuated_availability_zones=frozenset(
            AvailabilityZoneId(zone) for zone in evacuated_availability_zones
        ),
        tried_targets=frozenset(TargetId(name) for name in tried_targets),
    )


def estimates(
    now: timedelta = NOW,
    *,
    repeated: timedelta = SERVICE_TIME,
    unknown: timedelta = SERVICE_TIME,
    mean: timedelta = SERVICE_TIME,
) -> ServiceEstimates:
    """Return estimates; ``unknown`` is the time of an object's first run."""
    return ServiceEstimates(
        now, RunTimeEstimates(repeated, unknown, unknown, unknown), mean
    )
