"""Limited resources of a deployment and the VMs that may own them."""

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

# The rest of a link's rate is reserved for control messages, which are not
# charged to any share.
_LINK_USABLE_FRACTION = 0.9
# Requests and responses each get half of the usable rate. Budget for the
# response must be available when the request is sent, so it is owned by the
# sender of the request.
_LINK_DIRECTION_COUNT = 2

Tiers = tuple[tuple[VmId, ...], ...]


def target_resource(target: TargetId) -> ResourceId:
    """Return the resource id of a target's slots."""
    return ResourceId(f'target/{target}')


def zone_resource(zone: AvailabilityZoneId) -> ResourceId:
    """Return the resource id of a zone's limit on requests in flight."""
    return ResourceId(f'zone/{zone}')


def request_link_resource(
    source: RegionId, destination: RegionId
) -> ResourceId:
    """Return the resource id of the request bytes sent over a link."""
    return ResourceId(f'link/{source}/{destination}/requests')


def response_link_resource(
    source: RegionId,
    destination: RegionId,
) -> ResourceId:
    """Return the resource id of response bytes, sent to ``destination``."""
    return ResourceId(f'link/{source}/{destination}/responses')


def shift_resource(
    service: ServiceId,
    source: RegionId,
    destination: RegionId,
) -> ResourceId:
    """Return the resource id of a service's requests between two regions."""
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
    """Possible owners by location, nearest first."""

    def __init__(self, view: ControlView) -> None:
        members = sorted(
            (
                record
                for record in view.shares.registry.newest.values()
                if record.is_member
            ),
            key=attrgetter('vm'),
        )
        self._all_vms = tuple(record.vm for record in members)
        self._by_region = _group_vms(members, 'region')
        self._by_zone = _group_vms(members, 'availability_zone')
        self._regions = {
            zone.availability_zone_id: zone.region
            for zone in view.catalogue.availability_zones.values()
        }

    def of_zone(self, zone: AvailabilityZoneId) -> Tiers:
        """Return the possible owners of resources of an availability zone."""
        region = self._regions[zone]
        return (
            self._by_zone.get(zone, ()),
            self._by_region.get(region, ()),
            self._all_vms,
        )

    def of_region(self, region: RegionId) -> Tiers:
        """Return the possible owners of resources that only one region uses."""
        return (self._by_region.get(region, ()),)


def _group_vms(
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
    """Return the smaller of the zone's limit and its part of the region's.

    A region's limit is divided among its zones in proportion to their slots.
    The parts add up to no more than the limit, so the VMs of one zone need no
    coordination with another zone.
    """
    catalogue = view.catalogue
    slots = {
        other.id: _total_slots(
            catalogue.targets_of_zone(other.availability_zone_id)
        )
        for other in catalogue.zones_of_region(zone.region)
    }
    total = sum(slots.values())
    if not total:
        return 0
    region_limit = catalogue.regions[zone.region].limits.requests_in_flight
    part = region_limit * slots[zone.id] // total
    return min(part, zone.limits.requests_in_flight)


def _total_slots(targets: Sequence[Target]) -> int:
    return sum(target.limits.slots for target in targets)


def _link_demands(
    view: ControlView,
    tiers: _TierTable,
) -> Iterator[ShareDemand]:
    for link in view.catalogue.links.values():
        rate = (
            link.limits.bytes_per_second
            * _LINK_USABLE_FRACTION
            / _LINK_DIRECTION_COUNT
        )
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
