"""Immutable views of the VM register and the share table."""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple

import msgspec
from plantainstand_core import (
    AvailabilityZoneId,
    Incarnation,
    LogIndex,
    RegionId,
    ResourceId,
    VmId,
)

from plantainstand_shares._commands import Amount, ShareUnit


class VmIncarnation(NamedTuple):
    """One process of a VM; every share belongs to one of them."""

    vm: VmId
    incarnation: Incarnation


class VmState(Enum):
    """Life cycle of an incarnation in the register."""

    LIVE = 'live'
    LEAVING = 'leaving'
    """Gets no shares any more, still serves."""

    DEPARTED = 'departed'
    """Ended with nothing in flight."""

    RECLAIMED = 'reclaimed'
    """Lost; its shares were taken back."""


class VmRecord(msgspec.Struct, frozen=True):
    """Register entry of one incarnation."""

    vm: VmId
    incarnation: Incarnation
    availability_zone: AvailabilityZoneId
    region: RegionId
    host: str
    """IP address."""

    http_port: int
    rpc_port: int
    state: VmState
    registered_at: LogIndex
    applied_floor: LogIndex
    """Index that the VM is known to have applied."""

    longest_deadline_ms: int
    """Largest bound of its dispatched work since it was registered."""

    superseded_at: LogIndex | None = None
    """Where a later incarnation of the VM was registered."""

    ended_at: LogIndex | None = None
    """Where it departed or was reclaimed."""

    @property
    def key(self) -> VmIncarnation:
        """Id of the process."""
        return VmIncarnation(self.vm, self.incarnation)

    @property
    def member_until(self) -> LogIndex | None:
        """Where it stopped being a member of its zone; None while it is."""
        ends = [
            end
            for end in (self.superseded_at, self.ended_at)
            if end is not None
        ]
        return min(ends, default=None)

    @property
    def is_member(self) -> bool:
        """Whether it is the VM's present process."""
        return self.superseded_at is None and self.ended_at is None

    @property
    def may_get_shares(self) -> bool:
        """Whether the planner may give it shares."""
        return self.is_member and self.state is VmState.LIVE

    def was_member(self, index: LogIndex) -> bool:
        """Tell whether it was a member of its zone at ``index``."""
        until = self.member_until
        return self.registered_at <= index and (until is None or index < until)


class Share(msgspec.Struct, frozen=True):
    """What one incarnation may use of one resource."""

    resource: ResourceId
    vm: VmId
    incarnation: Incarnation
    unit: ShareUnit
    share: Amount
    """Current value."""

    held: Amount
    """Highest value that the holder may still use."""

    version: LogIndex
    """Index of the command that set ``share``."""

    @property
    def key(self) -> VmIncarnation:
        """Holder."""
        return VmIncarnation(self.vm, self.incarnation)


@dataclass(frozen=True)
class ResourceShares:
    """All shares of one resource."""

    unit: ShareUnit
    capacity: Amount
    """Capacity that the last accepted change carried."""

    holders: Mapping[VmIncarnation, Share]
    held: Amount
    """Sum of what the holders may still use."""


@dataclass(frozen=True)
class RegistryView:
    """The VM register."""

    records: Mapping[VmIncarnation, VmRecord]
    newest: Mapping[VmId, VmRecord]
    """Record of each VM's latest incarnation, also when it has ended."""

    zone_records: Mapping[AvailabilityZoneId, tuple[VmRecord, ...]]
    """All records by zone, ended ones included while they are needed."""

    zone_versions: Mapping[AvailabilityZoneId, LogIndex]
    """Index of the last change of each zone's members."""

    def members(
        self,
        availability_zone: AvailabilityZoneId,
    ) -> tuple[VmRecord, ...]:
        """Return the zone's registered VMs, leaving ones included."""
        records = self.zone_records.get(availability_zone, ())
        return tuple(record for record in records if record.is_member)

    def memberships_since(
        self,
        availability_zone: AvailabilityZoneId,
        index: LogIndex,
    ) -> frozenset[frozenset[VmId]]:
        """Return every set of members that the zone has had since ``index``."""
        records = self.zone_records.get(availability_zone, ())
        moments = {index}
        for record in records:
            until = record.member_until
            moments.add(record.registered_at)
            moments.add(record.registered_at if until is None else until)
        return frozenset(
            frozenset(rec.vm for rec in records if rec.was_member(moment))
            for moment in moments
            if moment >= index
        )


@dataclass(frozen=True)
class ShareView:
    """Register and share table at one log index."""

    index: LogIndex
    registry: RegistryView
    resources: Mapping[ResourceId, ResourceShares]
    by_vm: Mapping[VmIncarnation, Mapping[ResourceId, Share]]

    def member(self, key: VmIncarnation) -> VmRecord | None:
        """Return the record of a VM's present process, else None."""
        record = self.registry.records.get(key)
        return record if record and record.is_member else None
