"""Sends a request to one target and records the outcome."""

from collections.abc import Collection
from dataclasses import dataclass
from datetime import timedelta
from functools import partial
from http import HTTPStatus

import structlog
from plantainstand_core import Clock
from plantainstand_http import (
    CONNECT_TIMEOUT,
    ExchangeFailure,
    FailureKind,
    Response,
    StreamEnd,
    TargetConnectionPool,
    TargetResponse,
    encode_request,
    read_whole,
)
from plantainstand_placement import (
    Choice,
    LongestDurations,
    RunTimes,
    TargetState,
)
from result import Err, Ok, Result

from plantainstand_edge._access import AccountChecks
from plantainstand_edge._active_request import ActiveRequest
from plantainstand_edge._header_codec import HeaderCodec, ResponseMetadata
from plantainstand_edge._request_log import RequestLog
from plantainstand_edge._service_times import ServiceTimes
from plantainstand_edge._target_limits import TargetLimits, record_pause

_log = structlog.get_logger()

MAX_ERROR_BODY_BYTES = 256 * 1024
"""Longest body of an error response that is kept in memory to be forwarded."""


DECISION_LIFETIME = CONNECT_TIMEOUT * 2
"""Time after a decision until which its request may leave."""


@dataclass(frozen=True, slots=True)
class Durations:
    """How long work has taken; attempts add to each."""

    service_times: ServiceTimes
    run_times: RunTimes
    longest_durations: LongestDurations


class TargetAttempts:
    """Makes single attempts; the caller decides whether to make another."""

    def __init__(
        self,
        pool: TargetConnectionPool,
        header_codec: HeaderCodec,
        durations: Durations,
        target_limits: TargetLimits,
        accounts: AccountChecks,
        request_log: RequestLog,
        clock: Clock,
    ):
        """Record how long runs and whole exchanges take in the given state."""
        self._pool = pool
        self._header_codec = header_codec
        self._durations = durations
        self._target_limits = target_limits
        self._access = accounts.access
        self._permits = accounts.permits
        self._request_log = request_log
        self._clock = clock

    async def send(
        self, active: ActiveRequest, choice: Choice
    ) -> Response | None:
        """Send a request once; return None if another attempt may help."""
        started = self._clock.monotonic()
        time_left = active.deadline - started
        state = choice.state
        target = state.entry.target
        active.last_target = target
        active.last_rank = choice.rank
        active.last_familiarity = choice.familiarity.value
        limit = self._target_limits.known(state.entry)
        active.last_limit = None if limit is None else limit.rate
        active.last_sent_at = started
        active.last_expected_wait = choice.expected_wait
        active.last_expected_run = choice.expected_run
        active.tried_targets.add(target)
        active.keys_required = self._access.requires_keys
        payload = encode_request(
            active.request,
            self._header_codec.target_headers(
                target, time_left, active.account_name
            ),
            self._removed_headers(),
        )
        active.is_withheld = False
        state.record_sent(started)
        state.record_object(active.object_key, responded=False)
        # Stays set if the exchange is cancelled: the target may run on.
        active.is_sending = True
        streamed = False
        try:
            outcome = await self._exchange(active, state, payload, time_left)
            streamed = _is_streamed(outcome)
        finally:
            if not streamed:
                state.record_ended()
        active.is_sending = False
        return self._handle_outcome(active, choice, outcome, started)

    async def _exchange(
        self,
        active: ActiveRequest,
        state: TargetState,
        payload: bytes,
        time_left: timedelta,
    ) -> Result[TargetResponse, ExchangeFailure]:
        outcome = await self._pool.exchange(
            state.entry.address,
            payload,
            (self._header_codec.request_id_header, active.metadata.request_id),
            time_left,
            head_only=active.request.method == b'HEAD',
            may_send=partial(self._may_send, active, state),
            long_body=active.request.long_body,
        )
        if isinstance(outcome, Err) or outcome.ok_value.rest is None:
            return outcome
        if not self._may_retry(outcome.ok_value):
            return outcome
        # Another attempt may follow, so the client must not get this body yet.
        return await read_whole(outcome.ok_value, MAX_ERROR_BODY_BYTES)

    def _may_send(self, active: ActiveRequest, state: TargetState) -> bool:
        """Count a request at the time at which it leaves.

        The decision to send it does not hold for long: the process may have
        stood still meanwhile.
        """
        if not self._access.still_allows(active):
            active.is_withheld = True
            return False
        now = self._clock.monotonic()
        decided_at = active.last_sent_at or now
        if now - decided_at > DECISION_LIFETIME:
            return False
        if now < state.paused_until or self._target_limits.is_leaving(
            state.entry
        ):
            return False
        state.sends.postpone(decided_at, now)
        if active.account is not None and active.permit_at is not None:
            self._permits.postpone(active.account.name, active.permit_at, now)
            active.permit_at = now
        active.last_sent_at = now
        return True

    def _removed_headers(self) -> Collection[bytes]:
        if self._access.requires_keys:
            return self._header_codec.account_headers
        return ()

    def _may_retry(self, response: TargetResponse) -> bool:
        stated = self._header_codec.read_response_metadata(response)
        failed = response.status >= HTTPStatus.BAD_REQUEST
        return failed or stated.not_run or stated.misdirected

    def _handle_outcome(
        self,
        active: ActiveRequest,
        choice: Choice,
        outcome: Result[TargetResponse, ExchangeFailure],
        started: timedelta,
    ) -> Response | None:
        now = self._clock.monotonic()
        if isinstance(outcome, Err):
            self._record_failure(active, choice, outcome.err_value, started)
            return None
        route = active.match.name
        self._durations.longest_durations.record(route, now - started, now)
        active.sends += 1
        response = outcome.ok_value
        stated = self._header_codec.read_response_metadata(response)
        state = choice.state
        if not stated.misdirected:
            self._record_statements(active, state, stated)
        if stated.misdirected or stated.not_run:
            state.forget_object(active.object_key)
        if stated.misdirected:
            self._pool.close_idle(state.entry.address)
            state.record_unreachable(now)
            return None
        if stated.not_run:
            state.record_rejection(now, stated.load)
            return None
        active.permit_at = None
        failed = response.status >= HTTPStatus.INTERNAL_SERVER_ERROR
        state.record_response(now, stated.load, failed=failed)
        state.record_object(active.object_key, responded=True)
        if failed and active.match.route.idempotent:
            active.maybe_ran = True
            active.last_error_response = response
            return None
        if not failed:
            run = now - started - choice.expected_wait
            self._durations.service_times.record(active.service, run)
            self._durations.run_times.record(route, choice.familiarity, run)
        self._request_log.record_request(active, response.status, 'answered')
        if response.rest is not None:
            response.rest.when_closed(
                lambda end: self._finish_body(active, state, end),
            )
        return forward_response(response)

    def _record_statements(
        self,
        active: ActiveRequest,
        state: TargetState,
        stated: ResponseMetadata,
    ) -> None:
        """Record what a target says of itself, in whatever answer."""
        request = active.metadata.log_id
        limits = self._target_limits
        limits.record_answer(state.entry, stated.request_limit, request)
        if stated.leaving:
            limits.record_leaving(state.entry, request)
        if stated.pause:
            record_pause(state, stated.pause, self._clock, request=request)

    def _finish_body(
        self,
        active: ActiveRequest,
        state: TargetState,
        end: StreamEnd,
    ) -> None:
        now = self._clock.monotonic()
        duration = now - active.request.received_at
        self._durations.longest_durations.record(
            active.match.name, duration, now
        )
        state.record_ended()
        self._request_log.record_body(active, state, end)

    def _record_failure(
        self,
        active: ActiveRequest,
        choice: Choice,
        failure: ExchangeFailure,
        started: timedelta,
    ) -> None:
        now = self._clock.monotonic()
        active.last_failure = failure.kind
        if failure.kind is FailureKind.NOT_SENT:
            active.connect_failures += 1
            self._record_not_sent(active, choice.state, now)
        else:
            active.sends += 1
            active.maybe_ran = True
            active.permit_at = None
            timed_out = failure.kind is FailureKind.TIMED_OUT
            choice.state.record_failure(now, started if timed_out else None)
        if failure.kind is FailureKind.TIMED_OUT:
            duration = now - active.request.received_at
            self._durations.longest_durations.record(
                active.match.name, duration, now
            )
        _log.info(
            'attempt failed',
            request=active.metadata.log_id,
            target=choice.state.entry.target,
            failure=failure.kind.value,
            detail=failure.detail,
        )

    def _record_not_sent(
        self, active: ActiveRequest, state: TargetState, now: timedelta
    ) -> None:
        state.forget_object(active.object_key)
        if active.is_withheld:
            # This VM withheld the request; the target may serve it yet.
            active.tried_targets.discard(state.entry.target)
        else:
            state.record_unreachable(now)


def _is_streamed(outcome: Result[TargetResponse, ExchangeFailure]) -> bool:
    return isinstance(outcome, Ok) and outcome.ok_value.rest is not None


def forward_response(response: TargetResponse) -> Response:
    """Return a target's response as the response to the client."""
    return Response(
        response.status,
        response.headers,
        response.body,
        rest=response.rest,
    )
