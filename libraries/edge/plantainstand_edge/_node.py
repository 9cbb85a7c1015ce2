"""The entry role as a process."""

import asyncio
from collections.abc import Callable, Collection, Mapping
from contextlib import AsyncExitStack
from datetime import timedelta
from http import HTTPStatus
from types import MappingProxyType

import structlog
from plantainstand_core import AvailabilityZoneId, Clock, VmId
from plantainstand_desired import DesiredView
from plantainstand_http import (
    ClientLimits,
    HttpServer,
    Request,
    Response,
    TargetConnectionPool,
)
from plantainstand_placement import RetryBudgetShare, TargetTable
from plantainstand_telemetry import Metrics

from plantainstand_edge._control_links import (
    REPORT_INTERVAL,
    Beliefs,
    ControlLinks,
)
from plantainstand_edge._dialect import HeaderCodec
from plantainstand_edge._fleet_size import FleetSize
from plantainstand_edge._settings import EntrySettings
from plantainstand_edge._steering import RequestSteering, SteeringParts

_log = structlog.get_logger()

NOTICE_TIME = timedelta(milliseconds=3300)
"""Time after the order to stop in which clients learn of it, from the answers
on their connections and from the directory. It leaves more than a third of the
usual grace for requests under way; clients that keep an address longer meet a
closed port and connect to another VM."""

EXIT_MARGIN = timedelta(milliseconds=700)
"""Time before the forced end at which the process exits by itself."""

STOP_POLL = timedelta(milliseconds=50)
"""How often a stopping VM looks whether all requests are answered."""

RETURN_COLD = timedelta(seconds=5)
"""How long targets count as cold after their zone's evacuation ended, until
the platform's list, which lags, can be trusted to say so."""

IDLE_TIMEOUT_MARGIN = 1.25
"""Own idle timeout relative to the stated one, so that a client that keeps to
it never meets a close."""

METRIC_HELP: Mapping[str, str] = MappingProxyType(
    {
        'plantainstand_entry_requests_total': 'Requests by outcome.',
        'plantainstand_entry_request_seconds': 'Time to an answer, by service.',
        'plantainstand_entry_bodies_total': 'Streamed bodies, whole or not.',
        'plantainstand_entry_connections_opened': 'Connections to targets.',
        'plantainstand_entry_controls': 'Control VMs connected.',
        'plantainstand_entry_list_age_seconds': 'Age of the target list.',
        'plantainstand_entry_desired_index': 'Log index of the desired state.',
    },
)


class EntryNode:
    """Owns everything that an entry VM's process holds open."""

    def __init__(
        self,
        settings: EntrySettings,
        dialect: HeaderCodec,
        clock: Clock,
    ):
        """Build the parts; :meth:`run` starts them."""
        self._settings = settings
        self._clock = clock
        self._view = DesiredView()
        self._board = TargetTable()
        self._fleet = FleetSize()
        self._pool = TargetConnectionPool(clock)
        self._metrics = Metrics(METRIC_HELP)
        self._evacuating: frozenset[AvailabilityZoneId] = frozenset()
        parts = SteeringParts(
            self._view,
            self._board,
            self._pool,
            RetryBudgetShare(settings.retry_budget_limits),
            self._fleet,
            self._metrics,
        )
        steering = RequestSteering(settings, parts, dialect, clock)
        self._server = HttpServer(
            steering.handle,
            clock,
            steering.may_overlap,
        )
        self._status_server = HttpServer(self._answer_status, clock)
        self._links = ControlLinks(
            settings,
            Beliefs(self._view, self._board, self._fleet),
            clock,
            self._beliefs_changed,
        )
        self._stopping = False
        self._reported_ready = False

    @property
    def is_ready(self) -> bool:
        """Whether clients may be sent here."""
        known = self._view.has_routes and self._board.is_known
        return known and not self._stopping

    def replace_seeds(self, seeds: Collection[VmId]) -> None:
        """Use other control VMs to begin with."""
        _log.info('settings reloaded', seeds=list(seeds))
        self._links.replace_seeds(seeds)

    async def run(self, stop: asyncio.Event) -> None:
        """Serve until ``stop`` is set, then leave gracefully."""
        async with AsyncExitStack() as stack:
            stack.callback(self._pool.close)
            stack.callback(self._links.close)
            await self._listen(stack)
            self._links.replace_seeds(self._settings.seeds)
            loop = asyncio.get_running_loop()
            reporting = loop.create_task(self._report_forever())
            stack.callback(reporting.cancel)
            _log.info(
                'entry VM started',
                vm=self._settings.vm,
                client_address=self._settings.client_address,
            )
            await stop.wait()
            await self._leave()
        _log.info('entry VM stopped', vm=self._settings.vm)

    async def _listen(self, stack: AsyncExitStack) -> None:
        settings = self._settings
        await _start(self._server, settings.client_address, stack)
        await _start(self._status_server, settings.ready_address, stack)
        await self._status_server.start(
            settings.vm,
            settings.metrics_port,
            stack,
        )

    async def _report_forever(self) -> None:
        while True:
            self._report()
            self._pool.sweep()
            await asyncio.sleep(REPORT_INTERVAL.total_seconds())

    def _report(self) -> None:
        ready = self.is_ready
        if ready != self._reported_ready:
            self._reported_ready = ready
            _log.info('readiness changed', ready=ready)
        self._links.report(ready=ready)

    async def _leave(self) -> None:
        began = self._clock.monotonic()
        self._stopping = True
        _log.info('stopping', busy=self._server.busy_count)
        self._report()
        self._server.begin_close()
        await self._until(lambda: self._since(began) > NOTICE_TIME)
        self._server.refuse_new()
        limit = self._settings.stop_grace_period - EXIT_MARGIN
        await self._until(
            lambda: not self._server.busy_count or self._since(began) > limit,
        )

    def _since(self, moment: timedelta) -> timedelta:
        return self._clock.monotonic() - moment

    async def _until(self, reached: Callable[[], bool]) -> None:
        while not reached():
            await asyncio.sleep(STOP_POLL.total_seconds())

    def _beliefs_changed(self) -> None:
        if self.is_ready != self._reported_ready:
            # Clients are sent here only after control VMs know.
            self._report()
        self._apply_desired()

    def _apply_desired(self) -> None:
        limits = self._view.limits
        if limits is not None:
            self._server.limits = ClientLimits(
                limits.header_bytes,
                limits.body_bytes,
                timedelta(seconds=limits.head_timeout_seconds),
                timedelta(seconds=limits.idle_timeout_seconds)
                * IDLE_TIMEOUT_MARGIN,
            )
        evacuating = self._view.evacuated_availability_zones()
        returned = self._evacuating - evacuating
        self._evacuating = evacuating
        if returned:
            states = [
                state
                for state in self._board.states
                if state.entry.availability_zone in returned
            ]
            until = self._clock.monotonic() + RETURN_COLD
            self._board.mark_cold(states, until)

    async def _answer_status(self, request: Request) -> Response:
        if request.path.endswith(b'/metrics'):
            return Response(HTTPStatus.OK, (), self._render_metrics())
        if self.is_ready:
            return Response(HTTPStatus.OK)
        return Response(HTTPStatus.SERVICE_UNAVAILABLE)

    def _render_metrics(self) -> bytes:
        prefix = 'plantainstand_entry_'
        age = self._board.age(self._clock.monotonic())
        readings = {
            'connections_opened': self._pool.opened_count,
            'controls': self._links.open_count,
            'list_age_seconds': age.total_seconds(),
            'desired_index': self._view.index,
        }
        for name, reading in readings.items():
            self._metrics.gauge(prefix + name, float(reading))
        return self._metrics.render()


async def _start(
    server: HttpServer,
    address: str,
    stack: AsyncExitStack,
) -> None:
    host, _colon, port = address.rpartition(':')
    await server.start(host, int(port), stack)
