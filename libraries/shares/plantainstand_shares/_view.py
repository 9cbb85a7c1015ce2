"""Immutable views of the VM registry and the share table."""

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
    """Identifies one process of a VM; every share belongs to one process."""

    vm: VmId
    incarnation: Incarnation


class VmState(Enum):
    """Life cycle of an incarnation in the registry."""

    LIVE = 'live'
    LEAVING = 'leaving'
    """Gets no more shares, but still serves requests."""

    DEPARTED = 'departed'
    """Ended with no work in flight."""

    RECLAIMED = 'reclaimed'
    """Lost; its shares were reclaimed."""


class VmRecord(msgspec.Struct, frozen=True):
    """Registry entry of one incarnation."""

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
    """Log index up to which the VM is known to have applied the log."""

    longest_deadline_ms: int
    """Maximum deadline of dispatched work since the VM was registered."""

    superseded_at: LogIndex | None = None
    """Log index at which a later incarnation of the VM was registered."""

    ended_at: LogIndex | None = None
    """Log index at which the incarnation departed or was reclaimed."""

    @property
    def key(self) -> VmIncarnation:
        """Identity of the process."""
        return VmIncarnation(self.vm, self.incarnation)

    @property
    def member_until(self) -> LogIndex | None:
        """Log index at which the zone membership ended; None for a member."""
        ends = [
            end
            for end in (self.superseded_at, self.ended_at)
            if end is not None
        ]
        return min(ends, default=None)

    @property
    def is_member(self) -> bool:
        """Whether this is the VM's current process."""
        return self.superseded_at is None and self.ended_at is None

    @property
    def may_get_shares(self) -> bool:
        """Whether the planner may assign shares to the incarnation."""
        return self.is_member and self.state is VmState.LIVE

    def was_member(self, index: LogIndex) -> bool:
        """Return whether it was a member of its zone at a log index."""
        until = self.member_until
        return self.registered_at <= index and (until is None or index < until)


class Share(msgspec.Struct, frozen=True):
    """Part of a resource that one incarnation may use."""

    resource: ResourceId
    vm: VmId
    incarnation: Incarnation
    unit: ShareUnit
    share: Amount
    """Amount that the holder may use."""

    held: Amount
    """Highest amount that may still be in use.

    It is above ``share`` until the holder confirms a lowered share.
    """

    version: LogIndex
    """Index of the command that set ``share``."""

    @property
    def key(self) -> VmIncarnation:
        """Identity of the holder."""
        return VmIncarnation(self.vm, self.incarnation)


@dataclass(frozen=True)
class ResourceShares:
    """All shares of one resource."""

    unit: ShareUnit
    capacity: Amount
    """Capacity in the last accepted change."""

    holders: Mapping[VmIncarnation, Share]
    held: Amount
    """Sum of the amounts that the holders may still use."""


@dataclass(frozen=True)
class RegistryView:
    """View of the VM registry."""

    records: Mapping[VmIncarnation, VmRecord]
    newest: Mapping[VmId, VmRecord]
    """Record of each VM's latest incarnation, even if it has ended."""

    zone_records: Mapping[AvailabilityZoneId, tuple[VmRecord, ...]]
    """All records by availability zone, including retained ended ones."""

    zone_versions: Mapping[AvailabilityZoneId, LogIndex]
    """Log index of the last change of each zone's members."""

    def members(
        self,
        availability_zone: AvailabilityZoneId,
    ) -> tuple[VmRecord, ...]:
        """Return the zone's registered VMs, including leaving ones."""
        records = self.zone_records.get(availability_zone, ())
        return tuple(record for record in records if record.is_member)

    def memberships_since(
        self,
        availability_zone: AvailabilityZoneId,
        index: LogIndex,
    ) -> frozenset[frozenset[VmId]]:
        """Return all sets of members of the zone since a log index."""
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
    """VM registry and share table at one log index."""

    index: LogIndex
    registry: RegistryView
    resources: Mapping[ResourceId, ResourceShares]
    by_vm: Mapping[VmIncarnation, Mapping[ResourceId, Share]]

    def member(self, key: VmIncarnation) -> VmRecord | None:
        """Return the record of a VM's current process, else None."""
        record = self.registry.records.get(key)
        return record if record and record.is_member else None
