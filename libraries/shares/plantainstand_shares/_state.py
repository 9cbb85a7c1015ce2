"""The replicated state machine of VM register and share table."""

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
from plantainstand_shares._register import Register
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
_UNKNOWN = Refused(RefusalReason.UNKNOWN_INCARNATION)


class ShareState:
    """Deterministic: equal commands at equal indexes give equal states."""

    def __init__(self) -> None:
        """Start without VMs and shares."""
        self._index = LogIndex(0)
        self._register = Register()
        self._table = ShareTable()
        self._view: ShareView | None = None

    def apply(self, command: AnyCommand, index: LogIndex) -> ShareOutcome:
        """Apply a committed command; ``index`` grows with every call."""
        self._index = index
        self._view = None
        match command:
            case RegisterVm():
                return self._register.register(command, index)
            case SetShares():
                return self._set_shares(command, index)
            case SetLongestDeadline():
                self._register.set_longest_deadline(command.milliseconds)
                return Accepted(index)
        record = self._register.find(
            VmIncarnation(command.vm, command.incarnation),
        )
        if record is None:
            return _UNKNOWN
        return self._apply_to_vm(command, record, index)

    def view(self) -> ShareView:
        """Return the state as an immutable view."""
        if self._view is None:
            self._view = ShareView(
                self._index,
                self._register.view,
                self._table.resources,
                self._table.by_vm,
            )
        return self._view

    def snapshot(self) -> bytes:
        """Return the whole state, encoded."""
        register = self._register.view
        return _ENCODER.encode(
            _Snapshot(
                self._index,
                tuple(
                    register.records[key] for key in sorted(register.records)
                ),
                tuple(sorted(register.zone_versions.items())),
                self._register.longest_deadline_ms,
                self._table.entries(),
            ),
        )

    def restore(self, snapshot: bytes) -> None:
        """Replace the state by that of a snapshot.

        :raises msgspec.MsgspecError: if the snapshot is not one of these
        """
        contents = _DECODER.decode(snapshot)
        self._index = contents.index
        self._register = Register(
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
                self._register.mark_leaving(record)
            case ConfirmRelease():
                if not self._table.confirm(command):
                    return Refused(RefusalReason.STALE_VERSION)
                self._register.note_applied(record, command.version)
            case ConfirmMembers():
                self._register.note_applied(record, command.version)
            case ReclaimVm():
                if not self._is_current(command, record):
                    return Refused(RefusalReason.STALE_DECISION)
                self._end(record, VmState.RECLAIMED, index)
            case _:
                self._end(record, VmState.DEPARTED, index)
        return Accepted(index)

    def _is_current(self, command: ReclaimVm, record: VmRecord) -> bool:
        # With other members the VM may reach a majority of its zone that the
        # leader's decision did not exclude.
        version = self._register.zone_version(record.availability_zone)
        return version <= command.decided_at

    def _end(self, record: VmRecord, state: VmState, index: LogIndex) -> None:
        self._register.end(record, state, index)
        self._table.drop(record.key)

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
            record = self._register.find(
                VmIncarnation(grant.vm, grant.incarnation),
            )
            if record is None or (grant.share and not record.is_member):
                return False
        return self._table.change(change, index)
