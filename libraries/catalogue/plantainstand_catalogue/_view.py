"""Immutable view of the catalogue, indexed for readers."""

from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from types import MappingProxyType
from typing import NamedTuple, TypeVar

from plantainstand_core import (
    AvailabilityZoneId,
    EntryId,
    RegionId,
    Revision,
    ServiceId,
    TargetId,
)

from plantainstand_catalogue._commands import (
    NO_REVISION,
    DrainSubject,
    DrainSubjectKind,
)
from plantainstand_catalogue._entries import (
    AnyEntry,
    AvailabilityZone,
    Link,
    Region,
    Service,
    Target,
)

KeyT = TypeVar('KeyT')
EntryT = TypeVar('EntryT')


class VersionedEntry(NamedTuple):
    """An entry and the revision of the change that put it."""

    entry: AnyEntry
    revision: Revision


class RegionPair(NamedTuple):
    """An ordered pair of regions: one direction of traffic."""

    from_region: RegionId
    to_region: RegionId


@dataclass(frozen=True)
class CatalogueView:
    """The catalogue after one change; every mapping is read-only."""

    revision: Revision
    """Revision of the newest change; 0 for the empty catalogue."""

    entries: Mapping[EntryId, VersionedEntry]
    """All entries, in the order in which they were first put."""

    drains: Mapping[DrainSubject, Revision]
    """Announced drains with the revisions of their announcements."""

    regions: Mapping[RegionId, Region]
    availability_zones: Mapping[AvailabilityZoneId, AvailabilityZone]
    services: Mapping[ServiceId, Service]
    targets: Mapping[TargetId, Target]
    links: Mapping[RegionPair, Link]

    _targets_by_service: Mapping[ServiceId, Sequence[Target]]
    _targets_by_availability_zone: Mapping[AvailabilityZoneId, Sequence[Target]]
    _availability_zones_by_region: Mapping[RegionId, Sequence[AvailabilityZone]]

    def entry(self, entry_id: EntryId) -> AnyEntry | None:
        """Return an entry; None if there is none."""
        found = self.entries.get(entry_id)
        return found.entry if found else None

    def entry_revision(self, entry_id: EntryId) -> Revision:
        """Return an entry's revision; ``NO_REVISION`` if there is no entry."""
        found = self.entries.get(entry_id)
        return found.revision if found else NO_REVISION

    def targets_of_service(self, service: ServiceId) -> Sequence[Target]:
        """Return the targets of a service; empty for an unknown service."""
        return self._targets_by_service.get(service, ())

    def targets_of_zone(self, zone: AvailabilityZoneId) -> Sequence[Target]:
        """Return the targets in an availability zone; empty if unknown."""
        return self._targets_by_availability_zone.get(zone, ())

    def zones_of_region(self, region: RegionId) -> Sequence[AvailabilityZone]:
        """Return the availability zones of a region; empty if it is unknown."""
        return self._availability_zones_by_region.get(region, ())

    def region_of_zone(self, zone: AvailabilityZoneId) -> RegionId | None:
        """Return the region of an availability zone; None if it is unknown."""
        found = self.availability_zones.get(zone)
        return found.region if found else None

    def link(self, source: RegionId, destination: RegionId) -> Link | None:
        """Return the link from one region to another; None if there is none."""
        return self.links.get(RegionPair(source, destination))

    def delay_ms(
        self,
        source: AvailabilityZoneId,
        destination: AvailabilityZoneId,
    ) -> float | None:
        """Return the one-way delay between two availability zones, in ms.

        The delay is 0 within an availability zone, and None if either one is
        unknown or no link leads from the source region to the destination
        region.
        """
        from_region = self.region_of_zone(source)
        to_region = self.region_of_zone(destination)
        if from_region is None or to_region is None:
            return None
        if source == destination:
            return 0
        if from_region == to_region:
            return self.regions[from_region].zone_delay_ms
        found = self.link(from_region, to_region)
        return found.delay_ms if found else None

    def is_draining(
        self,
        kind: DrainSubjectKind,
        name: str,
        availability_zone: AvailabilityZoneId | None = None,
    ) -> bool:
        """Return whether a drain covers a subject.

        A drain of an availability zone or region covers everything in it.
        VMs are not catalogue entries, so ``availability_zone`` states where a
        VM runs; the argument is ignored for the other kinds.
        """
        # Fast path: this is called often, and usually no drain is announced.
        if not self.drains:
            return False
        return any(
            subject in self.drains
            for subject in self._covering_subjects(
                kind, name, availability_zone
            )
        )

    def _covering_subjects(
        self,
        kind: DrainSubjectKind,
        name: str,
        availability_zone: AvailabilityZoneId | None,
    ) -> Iterable[DrainSubject]:
        yield DrainSubject(kind.value, name)
        zone = availability_zone
        if kind is DrainSubjectKind.REGION:
            return
        if kind is DrainSubjectKind.TARGET:
            target = self.targets.get(TargetId(name))
            zone = target.availability_zone if target else None
        if kind is DrainSubjectKind.AVAILABILITY_ZONE:
            zone = AvailabilityZoneId(name)
        if zone is None:
            return
        yield DrainSubject(DrainSubjectKind.AVAILABILITY_ZONE.value, zone)
        region = self.region_of_zone(zone)
        if region is not None:
            yield DrainSubject(DrainSubjectKind.REGION.value, region)


def build_view(
    revision: Revision,
    entries: Mapping[EntryId, VersionedEntry],
    drains: Mapping[DrainSubject, Revision],
) -> CatalogueView:
    """Build an indexed view from copies of the mappings."""
    all_entries = [found.entry for found in entries.values()]
    targets = [entry for entry in all_entries if isinstance(entry, Target)]
    zones = [
        entry for entry in all_entries if isinstance(entry, AvailabilityZone)
    ]
    links = [entry for entry in all_entries if isinstance(entry, Link)]
    return CatalogueView(
        revision=revision,
        entries=MappingProxyType(dict(entries)),
        drains=MappingProxyType(dict(drains)),
        regions=_read_only(
            (entry.region_id, entry)
            for entry in all_entries
            if isinstance(entry, Region)
        ),
        availability_zones=_read_only(
            (zone.availability_zone_id, zone) for zone in zones
        ),
        services=_read_only(
            (entry.service_id, entry)
            for entry in all_entries
            if isinstance(entry, Service)
        ),
        targets=_read_only((target.target_id, target) for target in targets),
        links=_read_only(
            (RegionPair(link.from_region, link.to_region), link)
            for link in links
        ),
        _targets_by_service=_group(
            (target.service, target) for target in targets
        ),
        _targets_by_availability_zone=_group(
            (target.availability_zone, target) for target in targets
        ),
        _availability_zones_by_region=_group(
            (zone.region, zone) for zone in zones
        ),
    )


def empty_view() -> CatalogueView:
    """Return the view of a catalogue without any change."""
    return build_view(NO_REVISION, {}, {})


def _read_only(
    pairs: Iterable[tuple[KeyT, EntryT]],
) -> Mapping[KeyT, EntryT]:
    return MappingProxyType(dict(pairs))


def _group(
    pairs: Iterable[tuple[KeyT, EntryT]],
) -> Mapping[KeyT, Sequence[EntryT]]:
    groups: defaultdict[KeyT, list[EntryT]] = defaultdict(list)
    for key, entry in pairs:
        groups[key].append(entry)
    return _read_only((name, tuple(group)) for name, group in groups.items())
