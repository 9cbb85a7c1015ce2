"""Targets and demands for tests."""

from datetime import timedelta

from plantainstand_core import (
    AvailabilityZoneId,
    RegionId,
    ServiceId,
    TargetId,
)
from plantainstand_fleet import TargetEntry
from plantainstand_placement import Demand, TargetState

NOW = timedelta(hours=1)
SERVICE_TIME = timedelta(milliseconds=100)
LONGEST_WAIT = SERVICE_TIME * 2
SERVICE = ServiceId('orders')


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


def states(*names: str, region: str = 'norte') -> list[TargetState]:
    """Return idle targets."""
    return [TargetState(entry(name, region), NOW) for name in names]


def demand(
    key: str = 'object',
    *,
    homes: tuple[str, ...] = (),
    longest_wait: timedelta = LONGEST_WAIT,
    cold_limit: int = 2,
    tried: tuple[str, ...] = (),
    evacuating: tuple[str, ...] = (),
) -> Demand:
    """Return what a request of the region ``norte`` asks for."""
    return Demand(
        object_key=key.encode(),
        region=RegionId('norte'),
        homes=tuple(RegionId(home) for home in homes),
        longest_wait=longest_wait,
        cold_limit=cold_limit,
        evacuating=frozenset(AvailabilityZoneId(zone) for zone in evacuating),
        tried=frozenset(TargetId(name) for name in tried),
    )
