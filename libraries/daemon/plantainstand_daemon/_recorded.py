"""Non-idempotent requests: decided in the log before they are dispatched."""

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

from plantainstand_daemon._caller_api import Refusable, RequestRefused
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
from plantainstand_daemon._tasks import pause

_POLL_INTERVAL = timedelta(milliseconds=200)
_CANCEL_TIMEOUT = timedelta(seconds=5)
# How long the outcome of an executed request is offered to the log; after
# that, resends are told "unknown".
_COMPLETE_TIMEOUT = timedelta(minutes=2)
_MAX_REASON_LENGTH = 200

Steer = Callable[[SteeredRequest], Awaitable[Reply]]


class RecordedRequests:
    """Runs non-idempotent requests at most once; owned by the event loop."""

    def __init__(
        self,
        control: ControlClient,
        steer: Steer,
        own_key: Callable[[], VmIncarnation],
        instruments: Instruments,
    ) -> None:
        """Dispatch admitted requests through ``steer``."""
        self._control = control
        self._steer = steer
        self._own_key = own_key
        self._clock = instruments.clock
        self._metrics = instruments.metrics
        self._attempts = count(1)
        self._background: set[asyncio.Task[None]] = set()

    @property
    def unrecorded(self) -> int:
        """Outcomes that are still on their way to the log."""
        return len(self._background)

    async def serve(self, request: SteeredRequest) -> Refusable:
        """Run a request, unless it was decided before."""
        checked = check_request_id(request.request_id, self._clock.wall())
        if isinstance(checked, Err):
            return _refused_id(checked.err_value)
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
            return Ok(self._undecided(command, admitted.err_value))
        if isinstance(admitted.ok_value, Admitted):
            return Ok(await self._run(request, admission))
        return await self._decided(request, admitted.ok_value)

    async def look_up(self, request_id: str) -> Refusable:
        """Return the recorded outcome of a request."""
        checked = check_request_id(request_id, self._clock.wall())
        if isinstance(checked, Err):
            return _refused_id(checked.err_value)
        found = await self._read(checked.ok_value)
        if isinstance(found, Err):
            return Ok(unknown(found.err_value.message))
        return _describe(found.ok_value)

    async def cancel(self, request_id: str) -> Refusable:
        """Decide that a request does not run, unless it was admitted."""
        checked = check_request_id(request_id, self._clock.wall())
        if isinstance(checked, Err):
            return _refused_id(checked.err_value)
        command = Abandon(
            checked.ok_value,
            self._new_admission(),
            'cancelled by the caller',
            self._clock.wall(),
        )
        outcome = await self._propose(command, _CANCEL_TIMEOUT)
        if isinstance(outcome, Err):
            return Ok(unknown(outcome.err_value.message))
        return _describe(outcome.ok_value)

    async def _run(
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
            self._record(Complete(request.request_id, admission, answer))
        elif reply.outcome is RequestOutcome.NOT_RUN:
            # Only this attempt may dispatch the request, and it never will,
            # so the reply need not wait for the record.
            self._record(
                Abandon(
                    request.request_id,
                    admission,
                    reply.reason[:_MAX_REASON_LENGTH],
                    self._clock.wall(),
                ),
            )
        return reply

    async def _decided(
        self,
        request: SteeredRequest,
        outcome: RecordOutcome,
    ) -> Refusable:
        while isinstance(outcome, InProgress):
            if self._clock.monotonic() + _POLL_INTERVAL >= request.deadline:
                break
            await pause(_POLL_INTERVAL)
            found = await self._read(request.request_id)
            if isinstance(found, Ok):
                outcome = found.ok_value
        return _describe(outcome)

    def _undecided(self, command: Admit, problem: ControlProblem) -> Reply:
        if problem.failure is ControlFailure.OUTCOME_UNKNOWN:
            # The admission may still be committed, and nobody would run it.
            self._record(
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

    def _record(self, command: RecordCommand) -> None:
        task = asyncio.ensure_future(self._record_later(command))
        self._background.add(task)
        task.add_done_callback(self._background.discard)

    async def _record_later(self, command: RecordCommand) -> None:
        await self._propose(command, _COMPLETE_TIMEOUT)

    def _new_admission(self) -> Admission:
        key = self._own_key()
        return Admission(key.vm, key.incarnation, next(self._attempts))


def _decode(payload: bytes) -> Result[RecordOutcome, ControlProblem]:
    decoded = decode_outcome(payload)
    if isinstance(decoded, Err):
        message = decoded.err_value.message
        return Err(ControlProblem(ControlFailure.OUTCOME_UNKNOWN, message))
    return decoded


def _bad_request(message: str) -> Err[RequestRefused]:
    return Err(RequestRefused(HTTPStatus.BAD_REQUEST, message))


def _refused_id(problem: RequestIdProblem) -> Err[RequestRefused]:
    is_expired = problem.fault is RequestIdFault.EXPIRED
    status = HTTPStatus.GONE if is_expired else HTTPStatus.BAD_REQUEST
    return Err(RequestRefused(status, str(problem)))


def _describe(outcome: RecordOutcome) -> Refusable:
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
            kept = outcome.answer
            answer = Answer(kept.status, kept.headers, kept.body)
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
