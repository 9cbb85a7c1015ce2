"""Limited resources of a deployment and who may own them."""

from collections.abc import Iterator, Sequence
from itertools import groupby
from operator import attrgetter

from plantainstand_catalogue import (
    AvailabilityZone,
    DrainSubjectKind,
    Link,
    Service,
    Target,
)
from plantainstand_core import (
    AvailabilityZoneId,
    RegionId,
    ResourceId,
    ServiceId,
    TargetId,
    VmId,
)
from plantainstand_shares import ShareDemand, ShareUnit, VmRecord

from plantainstand_daemon._control_state import ControlView

# The rest of a link is left to control messages, which no share counts.
_LINK_USABLE = 0.9
# Requests and responses each get half: a response must have its budget when
# its request is sent, and that budget belongs to the sender of the request.
_LINK_PARTS = 2

Tiers = tuple[tuple[VmId, ...], ...]


def target_resource(target: TargetId) -> ResourceId:
    """Name the slots of a target."""
    return ResourceId(f'target/{target}')


def zone_resource(zone: AvailabilityZoneId) -> ResourceId:
    """Name the requests in flight at the targets of an availability zone."""
    return ResourceId(f'zone/{zone}')


def request_link_resource(
    source: RegionId, destination: RegionId
) -> ResourceId:
    """Name the bytes of requests sent over a link."""
    return ResourceId(f'link/{source}/{destination}/requests')


def response_link_resource(
    source: RegionId,
    destination: RegionId,
) -> ResourceId:
    """Name the bytes of responses sent over a link, back to ``destination``."""
    return ResourceId(f'link/{source}/{destination}/responses')


def shift_resource(
    service: ServiceId,
    source: RegionId,
    destination: RegionId,
) -> ResourceId:
    """Name the requests of a service steered from region to region."""
    return ResourceId(f'shift/{service}/{source}/{destination}')


def build_demands(view: ControlView) -> Sequence[ShareDemand]:
    """List every limited resource with its capacity and possible owners."""
    tiers = _TierTable(view)
    return (
        *_target_demands(view, tiers),
        *_zone_demands(view, tiers),
        *_link_demands(view, tiers),
        *_shift_demands(view, tiers),
    )


class _TierTable:
    """Possible owners by place, nearest first."""

    def __init__(self, view: ControlView) -> None:
        members = sorted(
            (
                record
                for record in view.shares.registry.newest.values()
                if record.is_member
            ),
            key=attrgetter('vm'),
        )
        self._everyone = tuple(record.vm for record in members)
        self._by_region = _group(members, 'region')
        self._by_zone = _group(members, 'availability_zone')
        self._regions = {
            zone.availability_zone_id: zone.region
            for zone in view.catalogue.availability_zones.values()
        }

    def of_zone(self, zone: AvailabilityZoneId) -> Tiers:
        """Return the owners of what lies in an availability zone."""
        region = self._regions[zone]
        return (
            self._by_zone.get(zone, ()),
            self._by_region.get(region, ()),
            self._everyone,
        )

    def of_region(self, region: RegionId) -> Tiers:
        """Return the owners of what only VMs of a region use."""
        return (self._by_region.get(region, ()),)


def _group(
    members: Sequence[VmRecord],
    attribute: str,
) -> dict[str, tuple[VmId, ...]]:
    key = attrgetter(attribute)
    return {
        place: tuple(record.vm for record in records)
        for place, records in groupby(sorted(members, key=key), key)
    }


def _target_demands(
    view: ControlView,
    tiers: _TierTable,
) -> Iterator[ShareDemand]:
    for target in view.catalogue.targets.values():
        is_draining = view.catalogue.is_draining(
            DrainSubjectKind.TARGET,
            target.id,
        )
        yield ShareDemand(
            target_resource(target.target_id),
            ShareUnit.COUNT,
            0 if is_draining else target.limits.slots,
            tiers.of_zone(target.availability_zone),
        )


def _zone_demands(
    view: ControlView,
    tiers: _TierTable,
) -> Iterator[ShareDemand]:
    for zone in view.catalogue.availability_zones.values():
        yield ShareDemand(
            zone_resource(zone.availability_zone_id),
            ShareUnit.COUNT,
            _zone_capacity(view, zone),
            tiers.of_zone(zone.availability_zone_id),
        )


def _zone_capacity(view: ControlView, zone: AvailabilityZone) -> int:
    """Return the zone's limit, or its part of the region's if smaller.

    A region's limit is divided among its zones by their slots. The parts add
    up to no more than the limit, so no VM has to ask another zone.
    """
    catalogue = view.catalogue
    slots = {
        other.id: _slots(catalogue.targets_of_zone(other.availability_zone_id))
        for other in catalogue.zones_of_region(zone.region)
    }
    total = sum(slots.values())
    if not total:
        return 0
    region_limit = catalogue.regions[zone.region].limits.requests_in_flight
    part = region_limit * slots[zone.id] // total
    return min(part, zone.limits.requests_in_flight)


def _slots(targets: Sequence[Target]) -> int:
    return sum(target.limits.slots for target in targets)


def _link_demands(
    view: ControlView,
    tiers: _TierTable,
) -> Iterator[ShareDemand]:
    for link in view.catalogue.links.values():
        rate = link.limits.bytes_per_second * _LINK_USABLE / _LINK_PARTS
        yield ShareDemand(
            request_link_resource(link.from_region, link.to_region),
            ShareUnit.RATE,
            rate,
            tiers.of_region(link.from_region),
        )
        yield ShareDemand(
            response_link_resource(link.from_region, link.to_region),
            ShareUnit.RATE,
            rate,
            tiers.of_region(link.to_region),
        )


def _shift_demands(
    view: ControlView,
    tiers: _TierTable,
) -> Iterator[ShareDemand]:
    for service in view.catalogue.services.values():
        for link in view.catalogue.links.values():
            yield _shift_demand(service, link, tiers)


def _shift_demand(
    service: Service,
    link: Link,
    tiers: _TierTable,
) -> ShareDemand:
    return ShareDemand(
        shift_resource(service.service_id, link.from_region, link.to_region),
        ShareUnit.RATE,
        service.shift.region_requests_per_second,
        tiers.of_region(link.from_region),
    )
