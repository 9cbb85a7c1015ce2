"""What the load tool needs to know of a catalogue."""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec
from plantainstand_core import (
    AvailabilityZoneId,
    RegionId,
    ServiceId,
    SettingsProblem,
    TargetId,
    TrafficClass,
    load_settings,
)
from result import Err, Ok, Result


class _Document(msgspec.Struct, frozen=True):
    entries: Sequence[Mapping[str, Any]]


@dataclass(frozen=True)
class MappedService:
    """A service of the catalogue."""

    id: ServiceId
    traffic_class: TrafficClass
    is_idempotent: bool
    deadline_ms: int


@dataclass(frozen=True)
class MappedTarget:
    """A target of the catalogue."""

    id: TargetId
    service: ServiceId
    availability_zone: AvailabilityZoneId
    host: str
    port: int
    slots: int
    connections: int


@dataclass(frozen=True)
class SystemMap:
    """Services, targets and zones of a catalogue."""

    services: Mapping[ServiceId, MappedService]
    targets: Sequence[MappedTarget]
    regions: Mapping[AvailabilityZoneId, RegionId]
    """Region of every availability zone."""

    def targets_of(self, service: ServiceId) -> Sequence[MappedTarget]:
        """Return the targets of one service."""
        return tuple(
            target for target in self.targets if target.service == service
        )

    def slots_of(
        self,
        service: ServiceId,
        lost_zone: AvailabilityZoneId | None = None,
    ) -> int:
        """Return the slots of a service outside a lost zone."""
        return sum(
            target.slots
            for target in self.targets_of(service)
            if target.availability_zone != lost_zone
        )


def load_system_map(path: Path) -> Result[SystemMap, SettingsProblem]:
    """Read a catalogue file, ``{"entries": [...]}``.

    The catalogue library checks the entries when they are applied; here only
    the fields that the tool uses are read.
    """
    loaded = load_settings(path, _Document)
    if isinstance(loaded, Err):
        return loaded
    entries = loaded.ok_value.entries
    try:
        return Ok(map_entries(entries))
    except (KeyError, ValueError) as problem:
        message = f'an entry cannot be used: {problem!r}'
        return Err(SettingsProblem(str(path), message))


def map_entries(entries: Iterable[Mapping[str, Any]]) -> SystemMap:
    """Pick services, targets and zones; raises on missing fields."""
    by_kind: dict[str, list[Mapping[str, Any]]] = {}
    for entry in entries:
        by_kind.setdefault(entry['kind'], []).append(entry)
    services = [_service(fields) for fields in by_kind.get('service', ())]
    zones = by_kind.get('availability_zone', ())
    return SystemMap(
        services={service.id: service for service in services},
        targets=[_target(fields) for fields in by_kind.get('target', ())],
        regions={zone['id']: zone['region'] for zone in zones},
    )


def _service(entry: Mapping[str, Any]) -> MappedService:
    return MappedService(
        id=entry['id'],
        traffic_class=TrafficClass(entry['class']),
        is_idempotent=entry['idempotent'],
        deadline_ms=entry['limits']['deadline_ms'],
    )


def _target(entry: Mapping[str, Any]) -> MappedTarget:
    limits = entry['limits']
    return MappedTarget(
        id=entry['id'],
        service=entry['service'],
        availability_zone=entry['availability_zone'],
        host=entry['host'],
        port=entry['port'],
        slots=limits['slots'],
        connections=limits['connections'],
    )
