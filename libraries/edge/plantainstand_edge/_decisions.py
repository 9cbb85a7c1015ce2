"""State and criteria by which requests are steered."""

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from plantainstand_core import ServiceId
from plantainstand_desired import DesiredView, RouteMatch
from plantainstand_http import Request, TargetConnectionPool
from plantainstand_placement import (
    ColdRequestShare,
    DemandEstimate,
    ObjectDemand,
    PlacementCriteria,
    RankCounts,
    RequestLimits,
    RetryBudgetShare,
    ReturningCallers,
    RunTimes,
    ServiceEstimates,
    TargetTable,
    TrafficSplitter,
)
from plantainstand_telemetry import Metrics

from plantainstand_edge._access import AccountChecks
from plantainstand_edge._active_request import ActiveRequest
from plantainstand_edge._fleet_view import FleetView
from plantainstand_edge._header_codec import RequestMetadata
from plantainstand_edge._probes import TargetProbes
from plantainstand_edge._service_times import ServiceTimes
from plantainstand_edge._settings import EntrySettings
from plantainstand_edge._target_limits import TargetLimits

RESPONSE_MARGIN = timedelta(milliseconds=20)
"""Time reserved for a response of this VM to reach the client in time."""

DEFAULT_CLIENT_TIMEOUT = timedelta(seconds=30)
"""Timeout assumed for a client that states none."""


@dataclass(frozen=True)
class SteeringInputs:
    """State on which the decisions are based."""

    desired_view: DesiredView
    target_table: TargetTable
    pool: TargetConnectionPool
    retry_budget: RetryBudgetShare
    fleet_view: FleetView
    target_limits: TargetLimits
    probes: TargetProbes
    accounts: AccountChecks
    metrics: Metrics


class RequestDecisions:
    """What this VM has observed of requests, and the criteria that follow.

    Serving a request and explaining one use the same criteria and estimates.
    """

    def __init__(self, settings: EntrySettings, inputs: SteeringInputs):
        """Start without observations."""
        self.inputs = inputs
        self.service_times = ServiceTimes()
        self.run_times = RunTimes()
        self.returning_callers = ReturningCallers()
        self._settings = settings
        self._splitter = TrafficSplitter()
        self._object_demand: dict[ServiceId, ObjectDemand] = {}
        self._rank_counts: dict[ServiceId, RankCounts] = {}

    def start(
        self, request: Request, metadata: RequestMetadata, match: RouteMatch
    ) -> ActiveRequest:
        """Begin a request; it counts for the split and the object's demand."""
        service = self._splitter.pick(match)
        demand = self._object_demand.setdefault(service, ObjectDemand())
        return _activate(request, metadata, match, service, demand.count)

    def preview(
        self, request: Request, metadata: RequestMetadata, match: RouteMatch
    ) -> ActiveRequest:
        """Return what :meth:`start` would return now, without counting it."""
        service = self._splitter.preview(match)
        demand = self._object_demand.get(service, ObjectDemand())
        return _activate(request, metadata, match, service, demand.preview)

    def count_rank(self, active: ActiveRequest) -> None:
        """Count a request of an account, and decide its admission.

        Requests without an account are admitted alike: without accounts that
        compete, rejecting less urgent routes earlier only lost requests.
        """
        if active.account is None:
            return
        ranks = self._rank_counts.setdefault(active.service, RankCounts())
        active.admission = ranks.count(active.rank, active.draw)

    def preview_rank(self, active: ActiveRequest) -> None:
        """Decide the admission of a request without counting it."""
        if active.account is None:
            return
        ranks = self._rank_counts.get(active.service, RankCounts())
        active.admission = ranks.preview(active.rank, active.draw)

    def criteria(
        self, active: ActiveRequest, now: timedelta
    ) -> PlacementCriteria:
        """Return the criteria by which the target of a request is chosen."""
        inputs = self.inputs
        settings = self._settings
        return PlacementCriteria(
            object_key=active.object_key,
            region=settings.region,
            home_regions=active.home_regions,
            objective_left=active.objective - now,
            time_left=active.deadline - now,
            cold_share=self._cold_share(active.service),
            request_limits=RequestLimits(
                settings.region,
                inputs.fleet_view.share,
                inputs.target_limits.stated,
            ),
            demand=active.demand,
            admission=active.admission,
            list_reading=inputs.target_table.reading(settings.list_lag),
            evacuated_availability_zones=(
                inputs.desired_view.evacuated_availability_zones()
            ),
            tried_targets=frozenset(active.tried_targets),
        )

    def estimates(
        self, active: ActiveRequest, now: timedelta
    ) -> ServiceEstimates:
        """Return the times that this VM has observed, as of now."""
        return ServiceEstimates(
            now,
            self.run_times.estimates(active.match.name),
            self.service_times.estimate(active.service),
            self.returning_callers.count(active.service, now),
        )

    def _cold_share(self, service: ServiceId) -> ColdRequestShare:
        inputs = self.inputs
        policy = inputs.desired_view.service_policy(service)
        rate = 0 if policy is None else policy.cold_requests_per_second
        return self._settings.cold_target_limits.share(
            rate, inputs.fleet_view.share
        )


def _activate(
    request: Request,
    metadata: RequestMetadata,
    match: RouteMatch,
    service: ServiceId,
    estimate_demand: Callable[[bytes], DemandEstimate],
) -> ActiveRequest:
    received = request.received_at
    client_timeout = metadata.client_timeout or DEFAULT_CLIENT_TIMEOUT
    timeout = min(client_timeout - RESPONSE_MARGIN, match.timeout)
    objective = timedelta(seconds=match.route.objective_seconds)
    active = ActiveRequest(
        request=request,
        metadata=metadata,
        match=match,
        service=service,
        deadline=received + timeout,
        objective=received + objective,
    )
    if active.states_object:
        active.demand = estimate_demand(active.object_key)
    return active
