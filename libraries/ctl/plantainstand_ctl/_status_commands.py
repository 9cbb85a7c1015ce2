"""Commands ``status ...``."""

from collections.abc import Sequence

from plantainstand_core import Revision
from result import Err, Ok

from plantainstand_ctl._api import (
    CHANGES_PATH,
    ENTRIES_PATH,
    VMS_PATH,
    ChangeStatus,
    EntryList,
    VmItem,
    VmList,
)
from plantainstand_ctl._client import OperatorClient
from plantainstand_ctl._exit_codes import ExitCode
from plantainstand_ctl._report import CommandResult, Report, make_report


def show_vms(client: OperatorClient) -> CommandResult:
    """List the VMs that are registered at the leader."""
    return make_report(client.get(VMS_PATH, VmList), _vm_lines)


def show_change(
    client: OperatorClient,
    revision: Revision | None,
) -> CommandResult:
    """Show which VMs have applied a change; by default the newest change."""
    if revision is None:
        newest = client.get(ENTRIES_PATH, EntryList)
        if isinstance(newest, Err):
            return newest
        revision = newest.ok_value.revision
    status = client.get(f'{CHANGES_PATH}/{revision}', ChangeStatus)
    if isinstance(status, Err):
        return status
    change = status.ok_value
    code = ExitCode.PENDING if change.pending else ExitCode.DONE
    return Ok(Report(change, _change_lines(change), code))


def _change_lines(change: ChangeStatus) -> Sequence[str]:
    return (
        f'revision {change.revision}',
        f'in force at: {", ".join(change.in_force) or "no VM"}',
        f'pending at: {", ".join(change.pending) or "no VM"}',
    )


def _vm_lines(found: VmList) -> Sequence[str]:
    voters = ', '.join(found.voters)
    head = f'leader {found.leader}, voters {voters}, index {found.commit_index}'
    return (head, *(_vm_line(vm) for vm in found.vms))


def _vm_line(vm: VmItem) -> str:
    contact = 'heard' if vm.heard else 'not heard'
    # A VM that has just registered has not reported an index.
    applied = 'unknown' if vm.applied_index is None else vm.applied_index
    return (
        f'{vm.vm}  {vm.availability_zone}  {vm.state}, {contact}  '
        + f'index {applied}'
    )
