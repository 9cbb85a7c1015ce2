"""Commands ``status ...`` and ``request ...``."""

from collections.abc import Sequence

from plantainstand_core import RequestId, Revision
from result import Err, Ok

from plantainstand_ctl._api import (
    CANCEL_PATH,
    CHANGES_PATH,
    ENTRIES_PATH,
    REQUESTS_PATH,
    VMS_PATH,
    ChangeStatus,
    EntryList,
    RequestStatus,
    VmList,
)
from plantainstand_ctl._client import OperatorClient
from plantainstand_ctl._exit_codes import ExitCode, Failure
from plantainstand_ctl._report import CommandResult, Report, reported

_OUTCOME_HEADER = 'Request-Outcome'
_NOT_RUN = 'not-run'


def show_vms(client: OperatorClient) -> CommandResult:
    """List the registered VMs."""
    return reported(
        client.get(VMS_PATH, VmList),
        lambda found: [
            f'{vm.id}  {vm.availability_zone}  {vm.state}  revision '
            + f'{vm.revision}'
            for vm in found.vms
        ],
    )


def show_change(
    client: OperatorClient,
    revision: Revision | None,
) -> CommandResult:
    """Show where a change is in force; by default the newest one."""
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


def show_request(
    client: OperatorClient,
    request_id: RequestId,
) -> CommandResult:
    """Show what is recorded about a request."""
    return reported(
        client.get(f'{REQUESTS_PATH}/{request_id}', RequestStatus),
        lambda found: (f'{found.request_id}: {found.outcome} {found.detail}',),
    )


def cancel_request(
    client: OperatorClient,
    request_id: RequestId,
) -> CommandResult:
    """Cancel a request; it succeeds if the request never runs."""
    answer = client.send('DELETE', f'{CANCEL_PATH}/{request_id}')
    if isinstance(answer, Err):
        return Err(_not_cancelled(answer.err_value))
    outcome = answer.ok_value.headers.get(_OUTCOME_HEADER, 'missing')
    document = {'request_id': request_id, 'outcome': outcome}
    if outcome == _NOT_RUN:
        lines = (f'{request_id}: cancelled, it has not run and never will',)
        return Ok(Report(document, lines))
    lines = (f'{request_id}: not cancelled, the outcome is {outcome}',)
    return Ok(Report(document, lines, ExitCode.NOT_CANCELLED))


def _not_cancelled(failure: Failure) -> Failure:
    if failure.code is not ExitCode.UNKNOWN:
        return failure
    hint = 'cancel again to learn the outcome'
    return Failure(failure.code, f'{failure.message}; {hint}')


def _change_lines(change: ChangeStatus) -> Sequence[str]:
    return (
        f'revision {change.revision}',
        f'in force at: {", ".join(change.in_force) or "no VM"}',
        f'pending at: {", ".join(change.pending) or "no VM"}',
    )
