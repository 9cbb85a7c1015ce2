"""Log lines and metrics of single requests."""

from datetime import timedelta

import structlog
from plantainstand_core import Clock
from plantainstand_desired import DesiredView
from plantainstand_http import FailureKind, StreamEnd
from plantainstand_placement import TargetState, TargetTable
from plantainstand_telemetry import Metrics
from result import Ok

from plantainstand_edge._journey import Journey
from plantainstand_edge._service_times import ServiceTimes

_log = structlog.get_logger()


class RequestLog:
    """Writes what was decided on a request, and from which inputs."""

    def __init__(
        self,
        view: DesiredView,
        board: TargetTable,
        times: ServiceTimes,
        metrics: Metrics,
        clock: Clock,
    ):
        """Read versions and ages from the state that decisions are made of."""
        self._view = view
        self._board = board
        self._times = times
        self._metrics = metrics
        self._clock = clock

    def note(self, journey: Journey, status: int, outcome: str) -> None:
        """Write how a request ended."""
        now = self._clock.monotonic()
        duration = now - journey.request.received_at
        self._metrics.count(
            'plantainstand_entry_requests_total',
            outcome=outcome,
        )
        self._metrics.observe(
            'plantainstand_entry_request_seconds',
            duration.total_seconds(),
            service=journey.service,
        )
        _log.info(
            'request',
            request=journey.facts.log_id,
            route=journey.match.name,
            route_version=journey.match.version,
            desired_index=self._view.index,
            list_age_s=round(self._board.age(now).total_seconds(), 2),
            service=journey.service,
            object=_as_text(journey.facts.object_key),
            target=journey.last_target,
            target_rank=journey.last_rank,
            expected_wait_ms=_milliseconds(journey.last_expected_wait),
            service_time_ms=_milliseconds(self._times.of(journey.service)),
            sends=journey.sends,
            maybe_ran=journey.maybe_ran,
            status=int(status),
            outcome=outcome,
            ms=_milliseconds(duration),
        )

    def note_body(
        self,
        journey: Journey,
        state: TargetState,
        end: StreamEnd,
    ) -> None:
        """Write how a body that was passed on ended."""
        now = self._clock.monotonic()
        whole = isinstance(end, Ok)
        outcome = 'body passed on'
        if not isinstance(end, Ok):
            outcome = end.err_value.detail
            if end.err_value.kind is not FailureKind.ABANDONED:
                state.broke(now)
        self._metrics.count(
            'plantainstand_entry_bodies_total',
            whole=str(whole).lower(),
        )
        _log.info(
            'body ended',
            request=journey.facts.log_id,
            target=state.entry.target,
            body_bytes=end.ok(),
            ms=_milliseconds(now - journey.request.received_at),
            outcome=outcome,
        )


def _milliseconds(duration: timedelta) -> int:
    return round(duration / timedelta(milliseconds=1))


def _as_text(object_key: bytes | None) -> str | None:
    return None if object_key is None else object_key.decode('latin-1')
