"""Log lines and metrics of each request."""

from datetime import timedelta

import structlog
from plantainstand_core import Clock
from plantainstand_desired import DesiredView
from plantainstand_http import FailureKind, StreamEnd
from plantainstand_placement import TargetState, TargetTable
from plantainstand_telemetry import Metrics
from result import Ok

from plantainstand_edge._active_request import ActiveRequest
from plantainstand_edge._fleet_view import FleetView
from plantainstand_edge._header_codec import log_text
from plantainstand_edge._service_times import ServiceTimes

_log = structlog.get_logger()


class RequestLog:
    """Logs how each request ended, and from which inputs it was decided."""

    def __init__(
        self,
        desired_view: DesiredView,
        target_table: TargetTable,
        fleet_view: FleetView,
        service_times: ServiceTimes,
        metrics: Metrics,
        clock: Clock,
    ):
        """Read versions and ages from the state that decisions are based on."""
        self._desired_view = desired_view
        self._target_table = target_table
        self._fleet_view = fleet_view
        self._service_times = service_times
        self._metrics = metrics
        self._clock = clock

    def record_request(
        self, active: ActiveRequest, status: int, outcome: str
    ) -> None:
        """Log and count a request that has ended; ``outcome`` says how."""
        now = self._clock.monotonic()
        duration = now - active.request.received_at
        self._metrics.count(
            'plantainstand_entry_requests_total',
            outcome=outcome,
        )
        self._metrics.observe(
            'plantainstand_entry_request_seconds',
            duration.total_seconds(),
            service=active.service,
        )
        _log.info(
            'request',
            request=active.metadata.log_id,
            route=active.match.name,
            route_version=active.match.version,
            desired_index=self._desired_view.index,
            list_age_s=round(self._target_table.age(now).total_seconds(), 2),
            account=active.account_name,
            rank=active.rank,
            service=active.service,
            object=_as_text(active.metadata.object_key),
            target=active.last_target,
            target_rank=active.last_rank,
            familiarity=active.last_familiarity,
            target_limit=active.last_limit,
            cold_limit=active.last_cold_limit,
            entry_count=self._fleet_view.entry_count,
            leased=self._fleet_view.is_leased,
            sent_ms=_sent_milliseconds(active),
            expected_wait_ms=_milliseconds(active.last_expected_wait),
            expected_run_ms=_milliseconds(active.last_expected_run),
            objective_ms=_milliseconds(
                active.objective - active.request.received_at
            ),
            service_time_ms=_milliseconds(
                self._service_times.estimate(active.service)
            ),
            sends=active.total_sends,
            maybe_ran=active.may_have_run,
            status=int(status),
            outcome=outcome,
            ms=_milliseconds(duration),
        )

    def record_body(
        self,
        active: ActiveRequest,
        state: TargetState,
        end: StreamEnd,
    ) -> None:
        """Log and count a streamed response body that has ended."""
        now = self._clock.monotonic()
        whole = isinstance(end, Ok)
        outcome = 'body passed on'
        if not isinstance(end, Ok):
            outcome = end.err_value.detail
            if end.err_value.kind is not FailureKind.ABANDONED:
                state.record_failure(now)
        self._metrics.count(
            'plantainstand_entry_bodies_total',
            whole=str(whole).lower(),
        )
        _log.info(
            'response body ended',
            request=active.metadata.log_id,
            target=state.entry.target,
            body_bytes=end.ok(),
            ms=_milliseconds(now - active.request.received_at),
            outcome=outcome,
        )


def _milliseconds(duration: timedelta) -> int:
    return round(duration / timedelta(milliseconds=1))


def _sent_milliseconds(active: ActiveRequest) -> int | None:
    """Return the time from the request's arrival to its last attempt."""
    if active.last_sent_at is None:
        return None
    return _milliseconds(active.last_sent_at - active.request.received_at)


def _as_text(object_key: bytes | None) -> str | None:
    return None if object_key is None else log_text(object_key)
