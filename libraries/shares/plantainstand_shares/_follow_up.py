"""Commands that heartbeats ask for."""

from collections.abc import Iterable

from plantainstand_shares._commands import (
    AnyCommand,
    ConfirmMembers,
    ConfirmRelease,
    DepartVm,
)
from plantainstand_shares._heartbeat import Heartbeat
from plantainstand_shares._ledger_types import ReleasedShare
from plantainstand_shares._view import ShareView, VmRecord, VmState


def heartbeat_commands(
    heartbeat: Heartbeat,
    view: ShareView,
) -> tuple[AnyCommand, ...]:
    """Return the commands that a heartbeat asks the leader to propose."""
    record = view.member(heartbeat.sender)
    if record is None:
        return ()
    if heartbeat.drained and record.state is VmState.LEAVING:
        return (DepartVm(record.vm, record.incarnation),)
    return (
        *_confirmed_members(heartbeat, record, view),
        *_confirmations(heartbeat.released, record, view),
    )


def _confirmed_members(
    heartbeat: Heartbeat,
    record: VmRecord,
    view: ShareView,
) -> Iterable[ConfirmMembers]:
    version = view.registry.zone_versions[record.availability_zone]
    if record.applied_floor < version <= heartbeat.applied_index:
        yield ConfirmMembers(record.vm, record.incarnation, version)


def _confirmations(
    released: Iterable[ReleasedShare],
    record: VmRecord,
    view: ShareView,
) -> Iterable[ConfirmRelease]:
    shares = view.by_vm.get(record.key, {})
    for release in released:
        share = shares.get(release.resource)
        if share is None or share.version != release.version:
            continue
        if share.held > share.share:
            yield ConfirmRelease(
                record.vm,
                record.incarnation,
                release.resource,
                release.version,
            )
