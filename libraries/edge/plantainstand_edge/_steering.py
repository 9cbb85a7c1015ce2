"""Serves one request: route, target, attempts, answer."""

import asyncio
from dataclasses import dataclass
from datetime import timedelta
from http import HTTPStatus

import structlog
from plantainstand_core import Clock
from plantainstand_desired import DesiredView, RouteMatch
from plantainstand_http import (
    FailureKind,
    Request,
    Response,
    TargetConnectionPool,
)
from plantainstand_placement import (
    Choice,
    Demand,
    Refusal,
    RetryBudgetShare,
    TargetTable,
    TrafficSplitter,
    choose_target,
)
from plantainstand_telemetry import Metrics

from plantainstand_edge._attempts import TargetAttempts, pass_on
from plantainstand_edge._dialect import HeaderCodec, RequestMetadata
from plantainstand_edge._fleet_size import FleetSize
from plantainstand_edge._journey import Journey
from plantainstand_edge._request_log import RequestLog
from plantainstand_edge._service_times import ServiceTimes
from plantainstand_edge._settings import EntrySettings

_log = structlog.get_logger()

ANSWER_MARGIN = timedelta(milliseconds=20)
"""Time kept for an own answer to reach the client before it gives up."""

MIN_ATTEMPT = timedelta(milliseconds=30)
"""An attempt with less time left is not begun: connecting and one round trip
between regions take longer."""

DEFAULT_PATIENCE = timedelta(seconds=30)
"""Assumed of a client that does not state a deadline."""

NOT_READY_PAUSE = timedelta(milliseconds=500)
"""When to come back to a VM that has just started."""

REJECTED_PAUSE = timedelta(milliseconds=20)
"""When to come back if targets have rejected a request though others of its
object have room: at once, since the objective may still be met."""

MAX_CONNECT_FAILURES = 3
"""Unreachable targets tried for one request before it is given up."""

SHORTEST_QUEUE_SHARE = 0.25
"""Part of the usual service time that a request may always wait: estimates
are not exact to less."""


@dataclass(frozen=True)
class SteeringParts:
    """State that decisions are made from."""

    view: DesiredView
    board: TargetTable
    pool: TargetConnectionPool
    budget: RetryBudgetShare
    fleet: FleetSize
    metrics: Metrics


class RequestSteering:
    """Answers the requests of clients."""

    def __init__(
        self,
        settings: EntrySettings,
        parts: SteeringParts,
        dialect: HeaderCodec,
        clock: Clock,
    ):
        """Start without history."""
        self._settings = settings
        self._parts = parts
        self._dialect = dialect
        self._clock = clock
        self._splitter = TrafficSplitter()
        self._times = ServiceTimes()
        self._request_log = RequestLog(
            parts.view,
            parts.board,
            self._times,
            parts.metrics,
            clock,
        )
        self._attempts = TargetAttempts(
            parts.pool,
            dialect,
            self._times,
            self._request_log,
            clock,
        )

    async def handle(self, request: Request) -> Response:
        """Serve a request; cancelled when the client leaves."""
        facts = self._dialect.read_request_metadata(request)
        if facts is None:
            return self._own(None, HTTPStatus.BAD_REQUEST, 'no request id')
        match = self._parts.view.match(facts.host, facts.path)
        if match is None:
            return self._unmatched(facts)
        journey = self._begin(request, facts, match)
        try:
            return await self._serve(journey)
        except asyncio.CancelledError:
            # The server cancels a request when its client has left.
            self._request_log.note(journey, 0, 'client left')
            raise

    def may_overlap(self, request: Request) -> bool:
        """Tell whether a pipelined request may be served at once."""
        facts = self._dialect.read_request_metadata(request)
        if facts is None:
            return False
        match = self._parts.view.match(facts.host, facts.path)
        return match is not None and match.route.idempotent

    def _begin(
        self,
        request: Request,
        facts: RequestMetadata,
        match: RouteMatch,
    ) -> Journey:
        received = request.received_at
        patience = facts.client_timeout or DEFAULT_PATIENCE
        longest = min(patience - ANSWER_MARGIN, match.timeout)
        objective = timedelta(seconds=match.route.objective_seconds)
        service = self._splitter.pick(match)
        self._parts.budget.count_request(service, received)
        return Journey(
            request=request,
            facts=facts,
            match=match,
            service=service,
            deadline=received + longest,
            objective=received + objective,
        )

    async def _serve(self, journey: Journey) -> Response:
        while True:
            choice = self._choose(journey)
            if isinstance(choice, Refusal):
                return self._give_up(journey, choice)
            if journey.deadline - self._clock.monotonic() < MIN_ATTEMPT:
                return self._give_up(journey, None)
            response = await self._attempts.send(journey, choice)
            if response is not None:
                return response
            if not self._may_try_again(journey):
                return self._give_up(journey, None)

    def _choose(self, journey: Journey) -> Choice | Refusal:
        now = self._clock.monotonic()
        parts = self._parts
        service_time = self._times.of(journey.service)
        until_objective = journey.objective - now - service_time
        demand = Demand(
            object_key=self._object_key(journey),
            region=self._settings.region,
            homes=journey.match.route.home_regions,
            longest_wait=max(
                until_objective,
                service_time * SHORTEST_QUEUE_SHARE,
            ),
            cold_limit=self._cold_limit(journey),
            evacuating=parts.view.evacuated_availability_zones(),
            tried=frozenset(journey.tried),
        )
        targets = parts.board.targets_of(journey.service)
        return choose_target(demand, targets, service_time, now)

    def _object_key(self, journey: Journey) -> bytes:
        facts = journey.facts
        if journey.match.route.sticky and facts.object_key is not None:
            return facts.object_key
        return facts.request_id

    def _cold_limit(self, journey: Journey) -> int:
        policy = self._parts.view.service_policy(journey.service)
        rate = 0 if policy is None else policy.cold_requests_per_second
        entry_count = self._parts.fleet.entry_count
        return self._settings.cold_target_limits.per_vm(rate, entry_count)

    def _may_try_again(self, journey: Journey) -> bool:
        now = self._clock.monotonic()
        allowed = (
            journey.may_run_again
            and journey.sends < journey.match.route.max_attempts
            and journey.connect_failures < MAX_CONNECT_FAILURES
            and journey.deadline - now > MIN_ATTEMPT
        )
        if not allowed:
            return False
        if not journey.sends:
            return True
        return self._parts.budget.take(
            journey.service,
            now,
            self._parts.fleet.entry_count,
        )

    def _give_up(self, journey: Journey, refusal: Refusal | None) -> Response:
        """Answer without a success, saying no more than what is known."""
        answer = journey.last_answer
        if answer is not None:
            self._request_log.note(
                journey, answer.status, 'passed on a failure'
            )
            return pass_on(answer)
        if not journey.maybe_ran:
            return self._not_run(journey, refusal)
        status = HTTPStatus.BAD_GATEWAY
        if journey.last_failure is FailureKind.TIMED_OUT:
            status = HTTPStatus.GATEWAY_TIMEOUT
        self._request_log.note(journey, status, 'outcome unknown')
        return self._own(journey.facts, status, 'the outcome is not known')

    def _not_run(self, journey: Journey, refusal: Refusal | None) -> Response:
        pause = REJECTED_PAUSE
        reason = 'targets rejected it'
        if refusal is None:
            # Where all are full, an early return would be refused again.
            journey.tried.clear()
            following = self._choose(journey)
            if isinstance(following, Refusal):
                pause = following.retry_after
        else:
            pause = refusal.retry_after
            reason = refusal.reason.value
        status = HTTPStatus.SERVICE_UNAVAILABLE
        self._request_log.note(journey, status, reason)
        return self._own(journey.facts, status, reason, pause)

    def _unmatched(self, facts: RequestMetadata) -> Response:
        view = self._parts.view
        status = HTTPStatus.NOT_FOUND
        pause = None
        if not view.has_routes:
            status = HTTPStatus.SERVICE_UNAVAILABLE
            pause = NOT_READY_PAUSE
        _log.info(
            'request without a route',
            request=facts.log_id,
            host=facts.host,
            path=facts.path,
            desired_index=view.index,
            status=int(status),
        )
        self._parts.metrics.count(
            'plantainstand_entry_requests_total',
            outcome='no route',
        )
        return self._own(facts, status, 'no route', pause)

    def _own(
        self,
        facts: RequestMetadata | None,
        status: HTTPStatus,
        reason: str,
        pause: timedelta | None = None,
    ) -> Response:
        request_id = b'' if facts is None else facts.request_id
        headers = self._dialect.local_response_headers(request_id, pause)
        return Response(status, headers, reason.encode())
