"""Replicated state machine of the VM registry and the share table."""

import msgspec
from plantainstand_core import AvailabilityZoneId, LogIndex

from plantainstand_shares._commands import (
    AnyCommand,
    ConfirmMembers,
    ConfirmRelease,
    DepartVm,
    MarkLeaving,
    ReclaimVm,
    RegisterVm,
    SetLongestDeadline,
    SetShares,
    ShareChange,
)
from plantainstand_shares._outcomes import (
    Accepted,
    RefusalReason,
    Refused,
    ShareOutcome,
    SharesSet,
)
from plantainstand_shares._register import VmRegistry
from plantainstand_shares._table import ResourceEntry, ShareTable
from plantainstand_shares._view import (
    ShareView,
    VmIncarnation,
    VmRecord,
    VmState,
)


class _Snapshot(msgspec.Struct, frozen=True):
    index: LogIndex
    records: tuple[VmRecord, ...]
    zone_versions: tuple[tuple[AvailabilityZoneId, LogIndex], ...]
    longest_deadline_ms: int
    resources: tuple[ResourceEntry, ...]


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(_Snapshot)
_UNKNOWN_INCARNATION = Refused(RefusalReason.UNKNOWN_INCARNATION)


class ShareState:
    """Deterministic state machine of the VM registry and the share table.

    Replicas that apply the same commands at the same indexes are equal.
    """

    def __init__(self) -> None:
        """Create a state without VMs and shares."""
        self._index = LogIndex(0)
        self._registry = VmRegistry()
        self._table = ShareTable()
        self._view: ShareView | None = None

    def apply(self, command: AnyCommand, index: LogIndex) -> ShareOutcome:
        """Apply the committed command at ``index``, in log order."""
        self._index = index
        self._view = None
        match command:
            case RegisterVm():
                return self._registry.register(command, index)
            case SetShares():
                return self._set_shares(command, index)
            case SetLongestDeadline():
                self._registry.set_longest_deadline(command.milliseconds)
                return Accepted(index)
        record = self._registry.find_active(
            VmIncarnation(command.vm, command.incarnation),
        )
        if record is None:
            return _UNKNOWN_INCARNATION
        return self._apply_to_vm(command, record, index)

    def view(self) -> ShareView:
        """Return the state as an immutable view."""
        if self._view is None:
            self._view = ShareView(
                self._index,
                self._registry.view,
                self._table.resources,
                self._table.by_vm,
            )
        return self._view

    def snapshot(self) -> bytes:
        """Return the encoded state."""
        registry = self._registry.view
        return _ENCODER.encode(
            _Snapshot(
                self._index,
                tuple(
                    registry.records[key] for key in sorted(registry.records)
                ),
                tuple(sorted(registry.zone_versions.items())),
                self._registry.longest_deadline_ms,
                self._table.entries(),
            ),
        )

    def restore(self, snapshot: bytes) -> None:
        """Replace the state with a snapshot.

        :raises msgspec.MsgspecError: if the snapshot cannot be decoded
        """
        contents = _DECODER.decode(snapshot)
        self._index = contents.index
        self._registry = VmRegistry(
            contents.records,
            contents.zone_versions,
            contents.longest_deadline_ms,
        )
        self._table = ShareTable(contents.resources)
        self._view = None

    def _apply_to_vm(
        self,
        command: MarkLeaving
        | DepartVm
        | ReclaimVm
        | ConfirmRelease
        | ConfirmMembers,
        record: VmRecord,
        index: LogIndex,
    ) -> ShareOutcome:
        match command:
            case MarkLeaving():
                self._registry.mark_leaving(record)
            case ConfirmRelease():
                if not self._table.confirm_release(command):
                    return Refused(RefusalReason.STALE_VERSION)
                self._registry.record_applied(record, command.version)
            case ConfirmMembers():
                self._registry.record_applied(record, command.version)
            case ReclaimVm():
                if not self._decided_on_current_members(command, record):
                    return Refused(RefusalReason.STALE_DECISION)
                self._end_incarnation(record, VmState.RECLAIMED, index)
            case _:
                self._end_incarnation(record, VmState.DEPARTED, index)
        return Accepted(index)

    def _decided_on_current_members(
        self, command: ReclaimVm, record: VmRecord
    ) -> bool:
        # With changed members, the VM may get support from a majority of its
        # zone that the leader's decision did not exclude.
        version = self._registry.zone_version(record.availability_zone)
        return version <= command.decided_at

    def _end_incarnation(
        self, record: VmRecord, state: VmState, index: LogIndex
    ) -> None:
        self._registry.end(record, state, index)
        self._table.remove_holder(record.key)

    def _set_shares(self, command: SetShares, index: LogIndex) -> SharesSet:
        return SharesSet(
            tuple(
                change.resource
                for change in command.changes
                if not self._set_resource(change, index)
            ),
        )

    def _set_resource(self, change: ShareChange, index: LogIndex) -> bool:
        for grant in change.grants:
            record = self._registry.find_active(
                VmIncarnation(grant.vm, grant.incarnation),
            )
            if record is None or (grant.share and not record.is_member):
                return False
        return self._table.apply_change(change, index)
