"""Small catalogue entries shared by the tests."""

from collections.abc import Iterable

import plantainstand_catalogue as catalogue
import plantainstand_core as core

_OWNER = core.OwnerId('operations')
_CLASS = core.TrafficClass.CRITICAL


def region(name: str, zone_delay_ms: float = 0.5) -> catalogue.Region:
    """Build a region."""
    return catalogue.Region(
        id=name,
        owner=_OWNER,
        traffic_class=_CLASS,
        limits=catalogue.InFlightLimits(100),
        zone_delay_ms=zone_delay_ms,
    )


def zone(name: str, region_name: str) -> catalogue.AvailabilityZone:
    """Build an availability zone."""
    return catalogue.AvailabilityZone(
        id=name,
        owner=_OWNER,
        traffic_class=_CLASS,
        limits=catalogue.InFlightLimits(50),
        region=core.RegionId(region_name),
    )


def link(source: str, destination: str) -> catalogue.Link:
    """Build a link with a delay of 20 ms."""
    return catalogue.Link(
        id=f'{source}-{destination}',
        owner=_OWNER,
        traffic_class=_CLASS,
        limits=catalogue.LinkLimits(1000000),
        from_region=core.RegionId(source),
        to_region=core.RegionId(destination),
        delay_ms=20.0,
    )


def service(
    name: str, *, idempotent: bool = True, hedge: bool = False
) -> catalogue.Service:
    """Build a service."""
    return catalogue.Service(
        id=name,
        owner=_OWNER,
        traffic_class=_CLASS,
        limits=catalogue.ServiceLimits(2000, 1024, 4096, 10),
        idempotent=idempotent,
        shift=catalogue.TrafficShiftLimits(1.0, 10.0),
        hedge=catalogue.HedgePolicy(enabled=hedge),
    )


def target(
    name: str,
    zone_name: str = 'bajio-a',
    port: int = 21000,
    service_name: str = 'catalogue',
    host: str = '127.0.0.1',
    connections: int = 100,
) -> catalogue.Target:
    """Build a target."""
    return catalogue.Target(
        id=name,
        owner=_OWNER,
        traffic_class=_CLASS,
        limits=catalogue.TargetLimits(4, connections),
        service=core.ServiceId(service_name),
        availability_zone=core.AvailabilityZoneId(zone_name),
        host=host,
        port=port,
    )


ENTRIES: tuple[catalogue.AnyEntry, ...] = (
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


def put(
    entry: catalogue.AnyEntry, operation: str, expected: int = 0
) -> catalogue.PutEntry:
    """Build a command that puts an entry."""
    return catalogue.PutEntry(
        core.OperationId(operation), entry, core.Revision(expected)
    )


def filled_state(
    entries: Iterable[catalogue.AnyEntry] = ENTRIES,
) -> catalogue.CatalogueState:
    """Return a state with ``entries``, whose revisions count from 1."""
    state = catalogue.CatalogueState()
    for index, entry in enumerate(entries, start=1):
        outcome = state.apply(put(entry, f'fill-{index}'), core.LogIndex(index))
        assert isinstance(outcome, catalogue.ChangeAccepted), outcome
    return state
