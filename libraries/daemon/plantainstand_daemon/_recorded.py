"""Non-idempotent requests: admitted in the log before they are dispatched."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import replace
from datetime import timedelta
from http import HTTPStatus
from itertools import count

from plantainstand_core import RequestId, RequestOutcome
from plantainstand_records import (
    Abandon,
    Admission,
    Admit,
    Admitted,
    Answered,
    AnsweredTooLarge,
    Complete,
    Expired,
    FingerprintMismatch,
    IdRefused,
    InProgress,
    NoRecord,
    NotRun,
    RecordCommand,
    RecordOutcome,
    RequestIdFault,
    RequestIdProblem,
    check_request_id,
    content_fingerprint,
    decode_outcome,
    encode_command,
    recordable_answer,
)
from plantainstand_shares import VmIncarnation
from result import Err, Ok, Result

from plantainstand_daemon._caller_api import ReplyResult, RequestRefused
from plantainstand_daemon._control_client import ControlClient
from plantainstand_daemon._control_problems import (
    ControlFailure,
    ControlProblem,
)
from plantainstand_daemon._control_state import CommandKind, wrap_command
from plantainstand_daemon._instruments import Instruments
from plantainstand_daemon._messages import (
    Answer,
    Reply,
    SteeredRequest,
    not_run,
    unknown,
)
from plantainstand_daemon._tasks import sleep

_POLL_INTERVAL = timedelta(milliseconds=200)
_CANCEL_TIMEOUT = timedelta(seconds=5)
# How long to retry recording the outcome of a request in the log. Afterwards,
# resends of the request get the outcome "unknown".
_RECORD_TIMEOUT = timedelta(minutes=2)
_MAX_REASON_LENGTH = 200

Steer = Callable[[SteeredRequest], Awaitable[Reply]]


class RecordedRequests:
    """Runs non-idempotent requests at most once.

    Not thread-safe: used on the event loop only.
    """

    def __init__(
        self,
        control: ControlClient,
        steer: Steer,
        own_key: Callable[[], VmIncarnation],
        instruments: Instruments,
    ) -> None:
        """Run admitted requests with ``steer``."""
        self._control = control
        self._steer = steer
        self._own_key = own_key
        self._clock = instruments.clock
        self._metrics = instruments.metrics
        self._attempt_numbers = count(1)
        self._record_tasks: set[asyncio.Task[None]] = set()

    @property
    def unrecorded_count(self) -> int:
        """Number of outcomes that are not yet recorded in the log."""
        return len(self._record_tasks)

    async def serve(self, request: SteeredRequest) -> ReplyResult:
        """Run a request, unless its id already has a record.

        A request with a record gets the recorded outcome.
        """
        checked = check_request_id(request.request_id, self._clock.wall())
        if isinstance(checked, Err):
            return _refuse_id(checked.err_value)
        request = replace(request, request_id=checked.ok_value)
        admission = self._new_admission()
        command = Admit(
            request.request_id,
            content_fingerprint(
                request.method,
                f'/{request.service}{request.path}',
                request.body,
            ),
            admission,
            self._clock.wall(),
        )
        time_left = request.deadline - self._clock.monotonic()
        admitted = await self._propose(command, time_left)
        if isinstance(admitted, Err):
            return Ok(self._reply_undecided(command, admitted.err_value))
        if isinstance(admitted.ok_value, Admitted):
            return Ok(await self._run_admitted(request, admission))
        return await self._wait_for_outcome(request, admitted.ok_value)

    async def look_up(self, request_id: str) -> ReplyResult:
        """Return the recorded outcome of a request."""
        checked = check_request_id(request_id, self._clock.wall())
        if isinstance(checked, Err):
            return _refuse_id(checked.err_value)
        found = await self._read(checked.ok_value)
        if isinstance(found, Err):
            return Ok(unknown(found.err_value.message))
        return _outcome_result(found.ok_value)

    async def cancel(self, request_id: str) -> ReplyResult:
        """Record that a request does not run, unless it was admitted."""
        checked = check_request_id(request_id, self._clock.wall())
        if isinstance(checked, Err):
            return _refuse_id(checked.err_value)
        command = Abandon(
            checked.ok_value,
            self._new_admission(),
            'cancelled by the caller',
            self._clock.wall(),
        )
        outcome = await self._propose(command, _CANCEL_TIMEOUT)
        if isinstance(outcome, Err):
            return Ok(unknown(outcome.err_value.message))
        return _outcome_result(outcome.ok_value)

    async def _run_admitted(
        self,
        request: SteeredRequest,
        admission: Admission,
    ) -> Reply:
        reply = await self._steer(request)
        if reply.outcome is RequestOutcome.ANSWERED and reply.answer:
            answer = recordable_answer(
                reply.answer.status,
                reply.answer.headers,
                reply.answer.body,
            )
            self._record_in_background(
                Complete(request.request_id, admission, answer)
            )
        elif reply.outcome is RequestOutcome.NOT_RUN:
            # Only this admission allows the request to be dispatched, and it is
            # not used any more, so the reply need not wait for the record.
            self._record_in_background(
                Abandon(
                    request.request_id,
                    admission,
                    reply.reason[:_MAX_REASON_LENGTH],
                    self._clock.wall(),
                ),
            )
        return reply

    async def _wait_for_outcome(
        self,
        request: SteeredRequest,
        outcome: RecordOutcome,
    ) -> ReplyResult:
        while isinstance(outcome, InProgress):
            if self._clock.monotonic() + _POLL_INTERVAL >= request.deadline:
                break
            await sleep(_POLL_INTERVAL)
            found = await self._read(request.request_id)
            if isinstance(found, Ok):
                outcome = found.ok_value
        return _outcome_result(outcome)

    def _reply_undecided(
        self, command: Admit, problem: ControlProblem
    ) -> Reply:
        if problem.failure is ControlFailure.OUTCOME_UNKNOWN:
            # The admission may still be committed, but no VM would run the
            # request, so its record must not stay open.
            self._record_in_background(
                Abandon(
                    command.request_id,
                    command.admission,
                    'admitted too late',
                    self._clock.wall(),
                ),
            )
        return unknown(f'no decision by the voters: {problem.message}')

    async def _read(
        self,
        request_id: RequestId,
    ) -> Result[RecordOutcome, ControlProblem]:
        read = await self._control.look_up_record(request_id)
        if isinstance(read, Err):
            return read
        return _decode(read.ok_value)

    async def _propose(
        self,
        command: RecordCommand,
        timeout: timedelta,
    ) -> Result[RecordOutcome, ControlProblem]:
        payload = wrap_command(CommandKind.RECORDS, encode_command(command))
        proposed = await self._control.propose(payload, timeout)
        if isinstance(proposed, Err):
            self._metrics.count(
                'record_commands_total',
                outcome=proposed.err_value.failure.value,
            )
            return proposed
        self._metrics.count('record_commands_total', outcome='committed')
        return _decode(proposed.ok_value)

    def _record_in_background(self, command: RecordCommand) -> None:
        task = asyncio.ensure_future(self._propose_record(command))
        self._record_tasks.add(task)
        task.add_done_callback(self._record_tasks.discard)

    async def _propose_record(self, command: RecordCommand) -> None:
        await self._propose(command, _RECORD_TIMEOUT)

    def _new_admission(self) -> Admission:
        key = self._own_key()
        return Admission(key.vm, key.incarnation, next(self._attempt_numbers))


def _decode(payload: bytes) -> Result[RecordOutcome, ControlProblem]:
    decoded = decode_outcome(payload)
    if isinstance(decoded, Err):
        message = decoded.err_value.message
        return Err(ControlProblem(ControlFailure.OUTCOME_UNKNOWN, message))
    return decoded


def _bad_request(message: str) -> Err[RequestRefused]:
    return Err(RequestRefused(HTTPStatus.BAD_REQUEST, message))


def _refuse_id(problem: RequestIdProblem) -> Err[RequestRefused]:
    is_expired = problem.fault is RequestIdFault.EXPIRED
    status = HTTPStatus.GONE if is_expired else HTTPStatus.BAD_REQUEST
    return Err(RequestRefused(status, str(problem)))


def _outcome_result(outcome: RecordOutcome) -> ReplyResult:
    match outcome:
        case Expired():
            message = 'the request id is too old; its outcome is forgotten'
            return Err(RequestRefused(HTTPStatus.GONE, message))
        case FingerprintMismatch():
            message = 'the request id belongs to a request with other content'
            return Err(RequestRefused(HTTPStatus.CONFLICT, message))
        case IdRefused():
            return _bad_request(f'request id refused: {outcome.fault.value}')
    return Ok(_recorded_reply(outcome))


def _recorded_reply(outcome: RecordOutcome) -> Reply:
    match outcome:
        case Answered():
            recorded = outcome.answer
            answer = Answer(recorded.status, recorded.headers, recorded.body)
            return Reply(RequestOutcome.ANSWERED, answer, served_by='record')
        case AnsweredTooLarge():
            return unknown(
                f'the request ran with status {outcome.status}; its answer '
                f'of {outcome.answer_bytes} bytes was too large to keep',
            )
        case NotRun():
            return not_run(outcome.reason)
        case NoRecord():
            return unknown('nothing is recorded under this request id')
    return unknown('admitted, with no outcome yet')
