"""Commands ``drain ...``."""

from datetime import timedelta

from plantainstand_core import OperationId
from result import Err, Ok, Result

from plantainstand_ctl._api import (
    DRAINS_PATH,
    ChangeBody,
    DrainList,
    DrainProgress,
    DrainState,
)
from plantainstand_ctl._client import OperatorClient, Pause
from plantainstand_ctl._exit_codes import ExitCode, Failure
from plantainstand_ctl._report import CommandResult, Report, make_report

POLL_INTERVAL = timedelta(seconds=0.5)
"""Time between two reads of the progress of a drain."""


def announce_drain(
    client: OperatorClient,
    subject: str,
    operation_id: OperationId,
) -> CommandResult:
    """Announce a drain, so that a subject gets no new requests."""
    return make_report(
        _send_change(client, 'PUT', subject, operation_id),
        lambda done: (f'{subject}: drain announced, revision {done.revision}',),
    )


def withdraw_drain(
    client: OperatorClient,
    subject: str,
    operation_id: OperationId,
) -> CommandResult:
    """Withdraw a drain, so that a subject gets new requests again."""
    return make_report(
        _send_change(client, 'DELETE', subject, operation_id),
        lambda done: (f'{subject}: drain withdrawn, revision {done.revision}',),
    )


def list_drains(client: OperatorClient) -> CommandResult:
    """List the announced drains."""
    return make_report(
        client.get(DRAINS_PATH, DrainList),
        lambda found: [
            f'{drain.subject}  revision {drain.revision}'
            for drain in found.drains
        ],
    )


def wait_for_drain(
    client: OperatorClient,
    subject: str,
    timeout: timedelta,
    pause: Pause,
) -> CommandResult:
    """Poll a drain until it has ended.

    ``timeout`` limits the sum of the pauses. The calls take additional time,
    and each has its own timeout.
    """
    for _ in range(timeout // POLL_INTERVAL):
        progress = client.get(f'{DRAINS_PATH}/{subject}', DrainProgress)
        if isinstance(progress, Err):
            return progress
        if progress.ok_value.state is not DrainState.DRAINING:
            return _final_result(subject, progress.ok_value)
        pause(POLL_INTERVAL)
    return make_report(
        client.get(f'{DRAINS_PATH}/{subject}', DrainProgress),
        lambda last: _progress_lines(subject, last),
    ).and_then(_set_exit_code)


def _final_result(subject: str, progress: DrainProgress) -> CommandResult:
    if progress.state is DrainState.NOT_DRAINING:
        return Err(
            Failure(
                ExitCode.NOT_FOUND,
                f'no drain of {subject} is announced; announce it with '
                + f'"drain announce {subject}"',
            ),
        )
    return Ok(Report(progress, (f'{subject}: drained',)))


def _set_exit_code(report: Report) -> CommandResult:
    progress = report.document
    is_drained = (
        isinstance(progress, DrainProgress)
        and progress.state is DrainState.DRAINED
    )
    code = ExitCode.DONE if is_drained else ExitCode.PENDING
    return Ok(Report(progress, report.lines, code))


def _progress_lines(subject: str, progress: DrainProgress) -> tuple[str, ...]:
    waiting = ', '.join(progress.waiting_for) or 'no known VM'
    return (
        f'{subject}: {progress.state.value}, {progress.in_flight} requests in '
        + f'flight, waiting for {waiting}',
    )


def _send_change(
    client: OperatorClient,
    method: str,
    subject: str,
    operation_id: OperationId,
) -> Result[ChangeBody, Failure]:
    return client.change(
        method,
        f'{DRAINS_PATH}/{subject}?operation_id={operation_id}',
        f'--operation-id {operation_id}',
    )
