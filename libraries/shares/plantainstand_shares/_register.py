"""VM registry: the processes and the availability zones they belong to."""

from collections.abc import Iterable
from types import MappingProxyType

import msgspec
from plantainstand_core import AvailabilityZoneId, LogIndex, VmId

from plantainstand_shares._commands import RegisterVm
from plantainstand_shares._outcomes import (
    Accepted,
    RefusalReason,
    Refused,
    ShareOutcome,
)
from plantainstand_shares._view import (
    RegistryView,
    VmIncarnation,
    VmRecord,
    VmState,
)

# Applies until the leader sets the maximum of the catalogue's deadlines.
DEFAULT_LONGEST_DEADLINE_MS = 60000


class VmRegistry:
    """Mutable part of the state machine that stores the VMs."""

    def __init__(
        self,
        records: Iterable[VmRecord] = (),
        zone_versions: Iterable[tuple[AvailabilityZoneId, LogIndex]] = (),
        longest_deadline_ms: int = DEFAULT_LONGEST_DEADLINE_MS,
    ):
        """Create a registry with the contents of a snapshot."""
        self._records: dict[VmIncarnation, VmRecord] = {}
        self._newest: dict[VmId, VmRecord] = {}
        self._zones: dict[AvailabilityZoneId, tuple[VmRecord, ...]] = {}
        self._zone_versions = dict(zone_versions)
        self._longest_deadline_ms = longest_deadline_ms
        self._view: RegistryView | None = None
        for record in records:
            self._store(record)

    @property
    def longest_deadline_ms(self) -> int:
        """Maximum deadline of dispatched work for VMs that register now."""
        return self._longest_deadline_ms

    @property
    def view(self) -> RegistryView:
        """Immutable copy; the same object until the next change."""
        if self._view is None:
            self._view = RegistryView(
                records=MappingProxyType(self._records.copy()),
                newest=MappingProxyType(self._newest.copy()),
                zone_records=MappingProxyType(self._zones.copy()),
                zone_versions=MappingProxyType(self._zone_versions.copy()),
            )
        return self._view

    def find_active(self, key: VmIncarnation) -> VmRecord | None:
        """Return the record of an incarnation that has not ended."""
        record = self._records.get(key)
        return record if record and record.ended_at is None else None

    def register(self, command: RegisterVm, index: LogIndex) -> ShareOutcome:
        """Add an incarnation, which supersedes the VM's earlier one."""
        newest = self._newest.get(command.vm)
        if newest and newest.incarnation >= command.incarnation:
            if newest.is_member and newest.incarnation == command.incarnation:
                return Accepted(newest.registered_at)
            return Refused(RefusalReason.STALE_INCARNATION)
        if newest:
            self._store(msgspec.structs.replace(newest, superseded_at=index))
            self._zone_versions[newest.availability_zone] = index
        record = VmRecord(
            **msgspec.structs.asdict(command),
            state=VmState.LIVE,
            registered_at=index,
            applied_floor=index,
            longest_deadline_ms=self._longest_deadline_ms,
        )
        self._store(record)
        self._record_member_change(record.availability_zone, index)
        return Accepted(index)

    def mark_leaving(self, record: VmRecord) -> None:
        """Mark a VM as leaving; the planner assigns it no more shares."""
        self._store(msgspec.structs.replace(record, state=VmState.LEAVING))

    def end(self, record: VmRecord, state: VmState, index: LogIndex) -> None:
        """End an incarnation with state ``DEPARTED`` or ``RECLAIMED``."""
        self._store(
            msgspec.structs.replace(record, state=state, ended_at=index),
        )
        self._record_member_change(record.availability_zone, index)

    def record_applied(self, record: VmRecord, index: LogIndex) -> None:
        """Record that the VM has applied the log up to ``index``."""
        if index > record.applied_floor:
            self._store(msgspec.structs.replace(record, applied_floor=index))
            self._prune(record.availability_zone)

    def set_longest_deadline(self, milliseconds: int) -> None:
        """Set the maximum deadline of dispatched work.

        A lower value applies only to later incarnations, because a VM that has
        not seen it continues to use the higher one.
        """
        self._longest_deadline_ms = milliseconds
        for record in tuple(self._records.values()):
            if record.ended_at is None:
                longest = max(milliseconds, record.longest_deadline_ms)
                self._store(
                    msgspec.structs.replace(
                        record,
                        longest_deadline_ms=longest,
                    ),
                )

    def zone_version(self, zone: AvailabilityZoneId) -> LogIndex:
        """Return the log index of the last change of the zone's members."""
        return self._zone_versions.get(zone, LogIndex(0))

    def _store(self, record: VmRecord) -> None:
        self._records[record.key] = record
        newest = self._newest.get(record.vm, record)
        if newest.incarnation <= record.incarnation:
            self._newest[record.vm] = record
        zone = record.availability_zone
        others = (
            other
            for other in self._zones.get(zone, ())
            if other.key != record.key
        )
        self._zones[zone] = (*others, record)
        self._view = None

    def _record_member_change(
        self,
        zone: AvailabilityZoneId,
        index: LogIndex,
    ) -> None:
        self._zone_versions[zone] = index
        self._prune(zone)

    def _prune(self, zone: AvailabilityZoneId) -> None:
        # An ended record is needed as long as the view of a current member may
        # contain the ended VM as a member. The newest record of each VM is
        # kept, so that no incarnation is registered twice.
        records = self._zones[zone]
        oldest_applied = min(
            (record.applied_floor for record in records if record.is_member),
            default=None,
        )
        kept = tuple(
            record
            for record in records
            if self._newest[record.vm].key == record.key
            or _is_needed(record, oldest_applied)
        )
        if len(kept) == len(records):
            return
        for record in set(records).difference(kept):
            self._records.pop(record.key)
        self._zones[zone] = kept
        self._view = None


def _is_needed(record: VmRecord, oldest_applied: LogIndex | None) -> bool:
    if record.ended_at is None:
        return True
    member_until = record.member_until
    if oldest_applied is None or member_until is None:
        return False
    return member_until > oldest_applied
