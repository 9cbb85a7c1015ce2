"""Serves one request: matches a route, chooses targets, makes attempts."""

import asyncio
from dataclasses import replace
from datetime import timedelta
from http import HTTPStatus

import structlog
from plantainstand_core import Clock
from plantainstand_http import (
    FailureKind,
    Request,
    Response,
)
from plantainstand_placement import (
    Choice,
    LongestDurations,
    Refusal,
    RefusalReason,
    choose_target,
    cold_limit,
    ends_before_exit,
    targets_to_probe,
)
from result import Err

from plantainstand_edge._access import (
    AccessDenial,
    PermitDenial,
)
from plantainstand_edge._active_request import ActiveRequest
from plantainstand_edge._attempts import (
    Durations,
    TargetAttempts,
    forward_response,
)
from plantainstand_edge._decisions import RequestDecisions, SteeringInputs
from plantainstand_edge._explanation import (
    STOPPING_RETRY_AFTER,
    ExplainQuestion,
    Explanation,
    explain_request,
)
from plantainstand_edge._header_codec import HeaderCodec
from plantainstand_edge._local_responses import LocalResponses
from plantainstand_edge._probes import PROBE_TIMEOUT
from plantainstand_edge._request_log import RequestLog
from plantainstand_edge._settings import EntrySettings

_log = structlog.get_logger()

MIN_ATTEMPT_TIME = timedelta(milliseconds=30)
"""Shortest time left with which an attempt is made; connecting and one round
trip between regions take at least that."""

REJECTED_RETRY_AFTER = timedelta(milliseconds=20)
"""Retry-After when targets rejected a request while other targets of its object
have capacity: short, since the latency objective may still be met."""

MAX_CONNECT_FAILURES = 3
"""Failed connections after which no further attempt is made."""


class RequestSteering:
    """Serves the requests of clients."""

    def __init__(
        self,
        settings: EntrySettings,
        inputs: SteeringInputs,
        header_codec: HeaderCodec,
        clock: Clock,
    ):
        """Create a handler without any history."""
        self._settings = settings
        self._inputs = inputs
        self._header_codec = header_codec
        self._clock = clock
        self._responses = LocalResponses(
            header_codec, inputs.desired_view, inputs.metrics
        )
        self._accounts = inputs.accounts
        self._decisions = RequestDecisions(settings, inputs)
        self._longest_durations = LongestDurations()
        self._exit_at: timedelta | None = None
        self._notice_until: timedelta | None = None
        self._time_limits: set[asyncio.Timeout] = set()
        self._request_log = RequestLog(
            inputs.desired_view,
            inputs.target_table,
            inputs.fleet_view,
            self._decisions.service_times,
            inputs.metrics,
            clock,
        )
        self._attempts = TargetAttempts(
            inputs.pool,
            header_codec,
            Durations(
                self._decisions.service_times,
                self._decisions.run_times,
                self._longest_durations,
            ),
            inputs.target_limits,
            self._accounts,
            self._request_log,
            clock,
        )

    def begin_stop(self, notice_until: timedelta, exit_at: timedelta) -> None:
        """Reject requests that may not end before ``exit_at`` (monotonic).

        Requests that are accepted, now or earlier, get a response by then.
        From ``notice_until`` on, only requests that are certain to end in time
        are accepted.
        """
        self._notice_until = notice_until
        self._exit_at = exit_at
        loop_time = self._exit_loop_time()
        for time_limit in self._time_limits:
            time_limit.reschedule(loop_time)

    async def handle(self, request: Request) -> Response:
        """Serve a request; cancelled when the client disconnects."""
        metadata = self._header_codec.read_request_metadata(request)
        if metadata is None:
            return self._responses.local(
                None, HTTPStatus.BAD_REQUEST, 'no request id'
            )
        match = self._inputs.desired_view.match(metadata.host, metadata.path)
        if match is None:
            return self._responses.unmatched(metadata)
        checked = self._accounts.access.check(match, metadata.key_digest)
        if isinstance(checked, Err):
            return self._responses.denied(metadata, match, checked.err_value)
        active = self._decisions.start(request, metadata, match)
        self._inputs.retry_budget.count_request(
            active.service, request.received_at
        )
        active.account = checked.ok_value
        self._decisions.count_rank(active)
        time_limit = asyncio.timeout_at(self._exit_loop_time())
        self._time_limits.add(time_limit)
        try:
            async with time_limit:
                response = await self._serve(active)
        except TimeoutError:
            return self._respond_at_exit(active)
        except asyncio.CancelledError:
            # The server cancels a request whose client has disconnected.
            self._request_log.record_request(active, 0, 'client left')
            raise
        finally:
            self._time_limits.discard(time_limit)
        if response.rest is None:
            return response
        fallback = self._responses.local(
            metadata, HTTPStatus.BAD_GATEWAY, 'the outcome is not known'
        )
        return replace(response, fallback=fallback)

    def may_overlap(self, request: Request) -> bool:
        """Tell whether a request may be served beside those ahead of it.

        The requests ahead are unanswered ones of the same connection.
        """
        metadata = self._header_codec.read_request_metadata(request)
        if metadata is None:
            return False
        match = self._inputs.desired_view.match(metadata.host, metadata.path)
        return match is not None and match.route.idempotent

    def log_id(self, request: Request) -> str:
        """Return the id under which a request is logged."""
        metadata = self._header_codec.read_request_metadata(request)
        return '' if metadata is None else metadata.log_id

    def explain(self, question: ExplainQuestion) -> Explanation:
        """Tell where a request would go now, without sending it."""
        return explain_request(
            question,
            self._decisions,
            self._ends_before_exit,
            self._clock.monotonic(),
        )

    def _exit_loop_time(self) -> float | None:
        """Return the time on the event loop's clock at which the VM exits."""
        if self._exit_at is None:
            return None
        time_left = self._exit_at - self._clock.monotonic()
        return asyncio.get_running_loop().time() + time_left.total_seconds()

    async def _serve(self, active: ActiveRequest) -> Response:
        while True:
            denial = self._accounts.access.renew(active)
            if denial is not None:
                return self._respond_denied(active, denial)
            if not self._ends_before_exit(active):
                refusal = Refusal(RefusalReason.STOPPING, STOPPING_RETRY_AFTER)
                return self._respond_without_success(active, refusal)
            limited = await self._accounts.acquire(active)
            if limited is not None:
                return self._respond_limited(active, limited)
            try:
                response = await self._attempt(active)
            finally:
                self._accounts.settle(active)
            if response is not None:
                return response
            if not self._may_retry(active):
                return self._respond_without_success(active, None)

    async def _attempt(self, active: ActiveRequest) -> Response | None:
        """Make an attempt; return None if another one may help."""
        choice = await self._choose_known(active)
        if isinstance(choice, Refusal):
            return self._respond_without_success(active, choice)
        if active.deadline - self._clock.monotonic() < MIN_ATTEMPT_TIME:
            return self._respond_without_success(active, None)
        return await self._attempts.send(active, choice)

    def _ends_before_exit(self, active: ActiveRequest) -> bool:
        if self._exit_at is None or self._notice_until is None:
            return True
        now = self._clock.monotonic()
        is_noticed = now >= self._notice_until
        return ends_before_exit(
            self._longest_durations.longest(active.match.name, now),
            active.deadline - now,
            self._exit_at - now,
            certain=is_noticed or not active.match.route.idempotent,
        )

    async def _choose_known(self, active: ActiveRequest) -> Choice | Refusal:
        """Choose a target, if necessary after one has said that it is warm."""
        choice = self._choose(active)
        if not isinstance(choice, Refusal):
            return choice
        time_left = active.deadline - self._clock.monotonic()
        if choice.reason is not RefusalReason.NO_TARGET or (
            time_left < PROBE_TIMEOUT + MIN_ATTEMPT_TIME
        ):
            return choice
        if await self._inputs.probes.wait(PROBE_TIMEOUT):
            return self._choose(active)
        return choice

    def _choose(self, active: ActiveRequest) -> Choice | Refusal:
        now = self._clock.monotonic()
        inputs = self._inputs
        criteria = self._decisions.criteria(active, now)
        estimates = self._decisions.estimates(active, now)
        targets = inputs.target_table.targets_of(active.service)
        unknown = targets_to_probe(criteria, targets, now)
        if unknown:
            inputs.probes.start(active.service, unknown)
        choice = choose_target(criteria, targets, estimates)
        if isinstance(choice, Choice):
            active.last_cold_limit = cold_limit(choice.state, criteria, now)
        return choice

    def _may_retry(self, active: ActiveRequest) -> bool:
        now = self._clock.monotonic()
        allowed = (
            active.may_run_again
            and active.sends < active.match.route.max_attempts
            and active.connect_failures < MAX_CONNECT_FAILURES
            and active.deadline - now > MIN_ATTEMPT_TIME
        )
        if not allowed:
            return False
        if not active.sends:
            return True
        return self._inputs.retry_budget.try_spend(
            active.service,
            now,
            self._inputs.fleet_view.entry_count,
        )

    def _respond_without_success(
        self, active: ActiveRequest, refusal: Refusal | None
    ) -> Response:
        """Respond after the last attempt; "not run" only if that is certain."""
        error_response = active.last_error_response
        if error_response is not None:
            self._request_log.record_request(
                active, error_response.status, 'passed on a failure'
            )
            return forward_response(error_response)
        if not active.maybe_ran:
            return self._respond_not_run(active, refusal)
        status = HTTPStatus.BAD_GATEWAY
        if active.last_failure is FailureKind.TIMED_OUT:
            status = HTTPStatus.GATEWAY_TIMEOUT
        self._request_log.record_request(active, status, 'outcome unknown')
        return self._responses.local(
            active.metadata, status, 'the outcome is not known'
        )

    def _respond_at_exit(self, active: ActiveRequest) -> Response:
        """Respond to a request that the end of this process breaks off."""
        if not active.may_have_run:
            refusal = Refusal(RefusalReason.STOPPING, STOPPING_RETRY_AFTER)
            return self._respond_not_run(active, refusal)
        status = HTTPStatus.GATEWAY_TIMEOUT
        self._request_log.record_request(active, status, 'process ends')
        return self._responses.local(
            active.metadata, status, 'the outcome is not known'
        )

    def _respond_not_run(
        self, active: ActiveRequest, refusal: Refusal | None
    ) -> Response:
        retry_after = REJECTED_RETRY_AFTER
        reason = 'targets rejected it'
        if refusal is None:
            # If all targets are full, an early retry would be rejected again.
            active.tried_targets.clear()
            next_choice = self._choose(active)
            if isinstance(next_choice, Refusal):
                retry_after = next_choice.retry_after
        else:
            retry_after = refusal.retry_after
            reason = refusal.reason.value
            if refusal.reason is RefusalReason.LIMITED:
                return_at = self._clock.monotonic() + retry_after
                self._decisions.returning_callers.record(
                    active.service, return_at
                )
        status = HTTPStatus.SERVICE_UNAVAILABLE
        self._request_log.record_request(active, status, reason)
        return self._responses.local(
            active.metadata, status, reason, retry_after
        )

    def _respond_denied(
        self, active: ActiveRequest, denial: AccessDenial
    ) -> Response:
        """Respond to a request that its account may not run, or not again."""
        if active.may_have_run:
            return self._respond_without_success(active, None)
        return self._responses.denied(active.metadata, active.match, denial)

    def _respond_limited(
        self, active: ActiveRequest, denial: PermitDenial
    ) -> Response:
        """Respond to a request that the limit of its account does not allow."""
        if active.may_have_run or active.last_error_response is not None:
            return self._respond_without_success(active, None)
        status = HTTPStatus.SERVICE_UNAVAILABLE
        reason = 'account limit not known'
        if denial.is_over_limit:
            status = HTTPStatus.TOO_MANY_REQUESTS
            reason = 'account limit reached'
        self._request_log.record_request(active, status, reason)
        return self._responses.local(
            active.metadata, status, reason, denial.retry_after
        )
