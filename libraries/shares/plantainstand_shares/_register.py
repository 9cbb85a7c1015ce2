"""The VM register: which processes exist and which zones they belong to."""

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

# Bound of dispatched work until the leader has set the catalogue's.
DEFAULT_LONGEST_DEADLINE_MS = 60000


class Register:
    """Mutable part of the state machine that knows the VMs."""

    def __init__(
        self,
        records: Iterable[VmRecord] = (),
        zone_versions: Iterable[tuple[AvailabilityZoneId, LogIndex]] = (),
        longest_deadline_ms: int = DEFAULT_LONGEST_DEADLINE_MS,
    ):
        """Start with the contents of a snapshot."""
        self._records: dict[VmIncarnation, VmRecord] = {}
        self._newest: dict[VmId, VmRecord] = {}
        self._zones: dict[AvailabilityZoneId, tuple[VmRecord, ...]] = {}
        self._zone_versions = dict(zone_versions)
        self._longest_deadline_ms = longest_deadline_ms
        self._view: RegistryView | None = None
        for record in records:
            self._put(record)

    @property
    def longest_deadline_ms(self) -> int:
        """Bound of the work of VMs that register now."""
        return self._longest_deadline_ms

    @property
    def view(self) -> RegistryView:
        """Immutable copy, shared until the next change."""
        if self._view is None:
            self._view = RegistryView(
                records=MappingProxyType(self._records.copy()),
                newest=MappingProxyType(self._newest.copy()),
                zone_records=MappingProxyType(self._zones.copy()),
                zone_versions=MappingProxyType(self._zone_versions.copy()),
            )
        return self._view

    def find(self, key: VmIncarnation) -> VmRecord | None:
        """Return the record of an incarnation that has not ended."""
        record = self._records.get(key)
        return record if record and record.ended_at is None else None

    def register(self, command: RegisterVm, index: LogIndex) -> ShareOutcome:
        """Add an incarnation; the VM's earlier one is superseded."""
        newest = self._newest.get(command.vm)
        if newest and newest.incarnation >= command.incarnation:
            if newest.is_member and newest.incarnation == command.incarnation:
                return Accepted(newest.registered_at)
            return Refused(RefusalReason.STALE_INCARNATION)
        if newest:
            self._put(msgspec.structs.replace(newest, superseded_at=index))
            self._zone_versions[newest.availability_zone] = index
        record = VmRecord(
            **msgspec.structs.asdict(command),
            state=VmState.LIVE,
            registered_at=index,
            applied_floor=index,
            longest_deadline_ms=self._longest_deadline_ms,
        )
        self._put(record)
        self._change_members(record.availability_zone, index)
        return Accepted(index)

    def mark_leaving(self, record: VmRecord) -> None:
        """Take the VM out of the planner's sight."""
        self._put(msgspec.structs.replace(record, state=VmState.LEAVING))

    def end(self, record: VmRecord, state: VmState, index: LogIndex) -> None:
        """End an incarnation as departed or reclaimed."""
        self._put(
            msgspec.structs.replace(record, state=state, ended_at=index),
        )
        self._change_members(record.availability_zone, index)

    def note_applied(self, record: VmRecord, index: LogIndex) -> None:
        """Record that the VM has applied ``index``."""
        if index > record.applied_floor:
            self._put(msgspec.structs.replace(record, applied_floor=index))
            self._prune(record.availability_zone)

    def set_longest_deadline(self, milliseconds: int) -> None:
        """Set the bound; a lower one holds only for later incarnations.

        A VM that has not seen the lower bound goes on with the higher one.
        """
        self._longest_deadline_ms = milliseconds
        for record in tuple(self._records.values()):
            if record.ended_at is None:
                longest = max(milliseconds, record.longest_deadline_ms)
                self._put(
                    msgspec.structs.replace(
                        record,
                        longest_deadline_ms=longest,
                    ),
                )

    def zone_version(self, zone: AvailabilityZoneId) -> LogIndex:
        """Return the index of the last change of the zone's members."""
        return self._zone_versions.get(zone, LogIndex(0))

    def _put(self, record: VmRecord) -> None:
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

    def _change_members(
        self,
        zone: AvailabilityZoneId,
        index: LogIndex,
    ) -> None:
        self._zone_versions[zone] = index
        self._prune(zone)

    def _prune(self, zone: AvailabilityZoneId) -> None:
        # An ended record is needed while a member may still believe that the
        # ended VM is a member, too; the newest one of a VM shows which
        # incarnations are used up.
        records = self._zones[zone]
        oldest_view = min(
            (record.applied_floor for record in records if record.is_member),
            default=None,
        )
        kept = tuple(
            record
            for record in records
            if self._newest[record.vm].key == record.key
            or _is_needed(record, oldest_view)
        )
        if len(kept) == len(records):
            return
        for record in set(records).difference(kept):
            self._records.pop(record.key)
        self._zones[zone] = kept
        self._view = None


def _is_needed(record: VmRecord, oldest_view: LogIndex | None) -> bool:
    if record.ended_at is None:
        return True
    until = record.member_until
    if oldest_view is None or until is None:
        return False
    return until > oldest_view
