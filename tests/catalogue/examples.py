"""Small catalogue entries shared by the tests."""

from collections.abc import Iterable

from plantainstand_catalogue import (
    AnyEntry,
    AvailabilityZone,
    CatalogueState,
    ChangeAccepted,
    HedgePolicy,
    InFlightLimits,
    Link,
    LinkLimits,
    PutEntry,
    Region,
    Service,
    ServiceLimits,
    ShiftCap,
    Target,
    TargetLimits,
)
from plantainstand_core import (
    AvailabilityZoneId,
    LogIndex,
    OperationId,
    OwnerId,
    RegionId,
    Revision,
    ServiceId,
    TrafficClass,
)

_OWNER = OwnerId('operations')
_CLASS = TrafficClass.CRITICAL
HEDGE = HedgePolicy(enabled=True)


def region(name: str, zone_delay_ms: float = 0.5) -> Region:
    """Build a region."""
    return Region(
        id=name,
        owner=_OWNER,
        traffic_class=_CLASS,
        limits=InFlightLimits(100),
        zone_delay_ms=zone_delay_ms,
    )


def zone(name: str, region_name: str) -> AvailabilityZone:
    """Build an availability zone."""
    return AvailabilityZone(
        id=name,
        owner=_OWNER,
        traffic_class=_CLASS,
        limits=InFlightLimits(50),
        region=RegionId(region_name),
    )


def link(source: str, destination: str) -> Link:
    """Build a link with a delay of 20 ms."""
    return Link(
        id=f'{source}-{destination}',
        owner=_OWNER,
        traffic_class=_CLASS,
        limits=LinkLimits(1000000),
        from_region=RegionId(source),
        to_region=RegionId(destination),
        delay_ms=20.0,
    )


def service(name: str, *, idempotent: bool = True) -> Service:
    """Build a service."""
    return Service(
        id=name,
        owner=_OWNER,
        traffic_class=_CLASS,
        limits=ServiceLimits(2000, 1024, 4096, 10),
        idempotent=idempotent,
        shift=ShiftCap(1.0, 10.0),
    )


def target(
    name: str,
    zone_name: str = 'bajio-a',
    port: int = 21000,
    service_name: str = 'catalogue',
    host: str = '127.0.0.1',
    connections: int = 100,
) -> Target:
    """Build a target."""
    return Target(
        id=name,
        owner=_OWNER,
        traffic_class=_CLASS,
        limits=TargetLimits(4, connections),
        service=ServiceId(service_name),
        availability_zone=AvailabilityZoneId(zone_name),
        host=host,
        port=port,
    )


ENTRIES: tuple[AnyEntry, ...] = (
    region('bajio'),
    region('norte', 0.7),
    zone('bajio-a', 'bajio'),
    zone('bajio-b', 'bajio'),
    zone('norte-a', 'norte'),
    link('bajio', 'norte'),
    service('catalogue'),
    target('catalogue-1', 'bajio-a', 21000),
    target('catalogue-2', 'norte-a', 21001),
)


def put(entry: AnyEntry, operation: str, expected: int = 0) -> PutEntry:
    """Build a command that puts an entry."""
    return PutEntry(OperationId(operation), entry, Revision(expected))


def filled_state(entries: Iterable[AnyEntry] = ENTRIES) -> CatalogueState:
    """Return a state with ``entries``, whose revisions count from 1."""
    state = CatalogueState()
    for index, entry in enumerate(entries, start=1):
        outcome = state.apply(put(entry, f'fill-{index}'), LogIndex(index))
        assert isinstance(outcome, ChangeAccepted), outcome
    return state
