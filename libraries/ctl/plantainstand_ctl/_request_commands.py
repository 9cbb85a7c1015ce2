"""Commands ``request ...``."""

from plantainstand_core import RequestId
from result import Err, Ok, Result

from plantainstand_ctl._api import CANCEL_PATH, REQUESTS_PATH, RequestReport
from plantainstand_ctl._client import (
    OUTCOME_HEADER,
    DaemonResponse,
    OperatorClient,
    error_text,
    read_failure,
)
from plantainstand_ctl._exit_codes import ExitCode, Failure
from plantainstand_ctl._report import CommandResult, Report, make_report

_EXPIRED_STATUS = 410
_EXPIRED = 'expired'
_ANSWERED = 'answered'
_NOT_RUN = 'not-run'


def show_request(
    client: OperatorClient,
    request_id: RequestId,
) -> CommandResult:
    """Show the recorded outcome of a request."""
    response = client.send('GET', f'{REQUESTS_PATH}/{request_id}')
    return make_report(
        response.and_then(lambda found: _read_outcome(request_id, found)),
        lambda found: (f'{request_id}: {found.outcome}, {found.message}',),
    )


def cancel_request(
    client: OperatorClient,
    request_id: RequestId,
) -> CommandResult:
    """Cancel a request.

    The exit code is 0 only if the request has not run and never will.
    """
    response = client.send('DELETE', f'{CANCEL_PATH}/{request_id}')
    if isinstance(response, Err):
        return Err(_cancel_failure(response.err_value))
    found = _read_outcome(request_id, response.ok_value)
    if isinstance(found, Err):
        return found
    outcome = found.ok_value.outcome
    if outcome == _NOT_RUN:
        lines = (f'{request_id}: cancelled, it has not run and never will',)
        return Ok(Report(found.ok_value, lines))
    lines = (f'{request_id}: not cancelled, the outcome is {outcome}',)
    return Ok(Report(found.ok_value, lines, ExitCode.NOT_CANCELLED))


def _read_outcome(
    request_id: RequestId,
    response: DaemonResponse,
) -> Result[RequestReport, Failure]:
    outcome = response.headers.get(OUTCOME_HEADER)
    if response.status == _EXPIRED_STATUS:
        outcome = _EXPIRED
    if outcome is None:
        return Err(read_failure(response))
    message = f'{len(response.body)} bytes with status {response.status}'
    if outcome != _ANSWERED:
        message = error_text(response)
    return Ok(RequestReport(request_id, outcome, response.status, message))


def _cancel_failure(failure: Failure) -> Failure:
    if failure.code is not ExitCode.UNKNOWN:
        return failure
    hint = 'repeat the command to get the outcome'
    return Failure(failure.code, f'{failure.message}; {hint}')
