"""Sends a request to one target and learns from the outcome."""

from datetime import timedelta
from http import HTTPStatus

import structlog
from plantainstand_core import Clock
from plantainstand_http import (
    ExchangeFailure,
    FailureKind,
    Response,
    StreamEnd,
    TargetConnectionPool,
    TargetResponse,
    encode_request,
    read_whole,
)
from plantainstand_placement import Choice, TargetState
from result import Err, Ok, Result

from plantainstand_edge._dialect import HeaderCodec
from plantainstand_edge._journey import Journey
from plantainstand_edge._request_log import RequestLog
from plantainstand_edge._service_times import ServiceTimes

_log = structlog.get_logger()

MAX_FAILURE_BYTES = 256 * 1024
"""Longest body of a target's failure that is kept to be passed on."""


class TargetAttempts:
    """Single attempts; the caller decides whether another one follows."""

    def __init__(
        self,
        pool: TargetConnectionPool,
        dialect: HeaderCodec,
        times: ServiceTimes,
        request_log: RequestLog,
        clock: Clock,
    ):
        """Note the times of answers in ``times``."""
        self._pool = pool
        self._dialect = dialect
        self._times = times
        self._request_log = request_log
        self._clock = clock

    async def send(self, journey: Journey, choice: Choice) -> Response | None:
        """Send once; return None if another attempt may help."""
        started = self._clock.monotonic()
        left = journey.deadline - started
        state = choice.state
        target = state.entry.target
        journey.last_target = target
        journey.last_rank = choice.rank
        journey.last_expected_wait = choice.expected_wait
        journey.tried.add(target)
        payload = encode_request(
            journey.request,
            self._dialect.target_headers(target, left),
        )
        state.began(started)
        streamed = False
        try:
            outcome = await self._exchange(journey, state, payload, left)
            streamed = _is_streamed(outcome)
        finally:
            if not streamed:
                state.ended()
        return self._conclude(journey, choice, outcome, started)

    async def _exchange(
        self,
        journey: Journey,
        state: TargetState,
        payload: bytes,
        left: timedelta,
    ) -> Result[TargetResponse, ExchangeFailure]:
        outcome = await self._pool.exchange(
            state.entry.address,
            payload,
            (self._dialect.request_id_header, journey.facts.request_id),
            left,
            head_only=journey.request.method == b'HEAD',
        )
        if isinstance(outcome, Err) or outcome.ok_value.rest is None:
            return outcome
        if not self._may_retry(outcome.ok_value):
            return outcome
        # Another attempt may follow, so nothing is passed on yet.
        return await read_whole(outcome.ok_value, MAX_FAILURE_BYTES)

    def _may_retry(self, answer: TargetResponse) -> bool:
        verdict = self._dialect.read_response_metadata(answer)
        failed = answer.status >= HTTPStatus.BAD_REQUEST
        return failed or verdict.not_run or verdict.misdirected

    def _conclude(
        self,
        journey: Journey,
        choice: Choice,
        outcome: Result[TargetResponse, ExchangeFailure],
        started: timedelta,
    ) -> Response | None:
        now = self._clock.monotonic()
        if isinstance(outcome, Err):
            self._note_failure(journey, choice, outcome.err_value, now)
            return None
        journey.sends += 1
        answer = outcome.ok_value
        verdict = self._dialect.read_response_metadata(answer)
        state = choice.state
        if verdict.misdirected:
            self._pool.forget(state.entry.address)
            state.unreachable(now)
            return None
        if verdict.not_run:
            state.rejected(now, verdict.load)
            return None
        failed = answer.status >= HTTPStatus.INTERNAL_SERVER_ERROR
        state.answered(now, verdict.load, failed=failed)
        if failed and journey.match.route.idempotent:
            journey.maybe_ran = True
            journey.last_answer = answer
            return None
        if not failed:
            waited = choice.expected_wait
            self._times.note(journey.service, now - started - waited)
        self._request_log.note(journey, answer.status, 'answered')
        if answer.rest is not None:
            answer.rest.when_closed(
                lambda end: self._close_body(journey, state, end),
            )
        return pass_on(answer)

    def _close_body(
        self,
        journey: Journey,
        state: TargetState,
        end: StreamEnd,
    ) -> None:
        state.ended()
        self._request_log.note_body(journey, state, end)

    def _note_failure(
        self,
        journey: Journey,
        choice: Choice,
        failure: ExchangeFailure,
        now: timedelta,
    ) -> None:
        journey.last_failure = failure.kind
        if failure.kind is FailureKind.NOT_SENT:
            journey.connect_failures += 1
            choice.state.unreachable(now)
        else:
            journey.sends += 1
            journey.maybe_ran = True
            choice.state.broke(now)
        _log.info(
            'attempt failed',
            request=journey.facts.log_id,
            target=choice.state.entry.target,
            failure=failure.kind.value,
            detail=failure.detail,
        )


def _is_streamed(outcome: Result[TargetResponse, ExchangeFailure]) -> bool:
    return isinstance(outcome, Ok) and outcome.ok_value.rest is not None


def pass_on(answer: TargetResponse) -> Response:
    """Return a target's answer as the response to the client."""
    return Response(
        answer.status,
        answer.headers,
        answer.body,
        rest=answer.rest,
    )
