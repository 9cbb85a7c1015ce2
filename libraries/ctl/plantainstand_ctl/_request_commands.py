"""Commands ``request ...``."""

from plantainstand_core import RequestId
from result import Err, Ok, Result

from plantainstand_ctl._api import CANCEL_PATH, REQUESTS_PATH, RequestReport
from plantainstand_ctl._client import (
    OUTCOME_HEADER,
    Answer,
    OperatorClient,
    error_text,
    refusal,
)
from plantainstand_ctl._exit_codes import ExitCode, Failure
from plantainstand_ctl._report import CommandResult, Report, reported

_EXPIRED_STATUS = 410
_EXPIRED = 'expired'
_ANSWERED = 'answered'
_NOT_RUN = 'not-run'


def show_request(
    client: OperatorClient,
    request_id: RequestId,
) -> CommandResult:
    """Show what is recorded about a request."""
    answer = client.send('GET', f'{REQUESTS_PATH}/{request_id}')
    return reported(
        answer.and_then(lambda found: _read_outcome(request_id, found)),
        lambda found: (f'{request_id}: {found.outcome}, {found.message}',),
    )


def cancel_request(
    client: OperatorClient,
    request_id: RequestId,
) -> CommandResult:
    """Cancel a request; it succeeds if the request never runs."""
    answer = client.send('DELETE', f'{CANCEL_PATH}/{request_id}')
    if isinstance(answer, Err):
        return Err(_not_cancelled(answer.err_value))
    found = _read_outcome(request_id, answer.ok_value)
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
    answer: Answer,
) -> Result[RequestReport, Failure]:
    outcome = answer.headers.get(OUTCOME_HEADER)
    if answer.status == _EXPIRED_STATUS:
        outcome = _EXPIRED
    if outcome is None:
        return Err(refusal(answer))
    message = f'{len(answer.body)} bytes with status {answer.status}'
    if outcome != _ANSWERED:
        message = error_text(answer)
    return Ok(RequestReport(request_id, outcome, answer.status, message))


def _not_cancelled(failure: Failure) -> Failure:
    if failure.code is not ExitCode.UNKNOWN:
        return failure
    hint = 'cancel again to learn the outcome'
    return Failure(failure.code, f'{failure.message}; {hint}')
