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
    SHORT_CALLS,
    ClientLimits,
    HttpServer,
    Request,
    Response,
    TargetConnectionPool,
    budget_help,
    process_budget,
)
from plantainstand_placement import RetryBudgetShare, TargetTable
from plantainstand_telemetry import Metrics

from plantainstand_edge._account_contact import connect_accounts
from plantainstand_edge._control_links import (
    REPORT_INTERVAL,
    ControlLinks,
    ControlPlaneState,
)
from plantainstand_edge._decisions import SteeringInputs
from plantainstand_edge._explain_call import EXPLAIN_PATH, answer_explain
from plantainstand_edge._fleet_view import FleetView
from plantainstand_edge._header_codec import HeaderCodec
from plantainstand_edge._probes import TargetProbes
from plantainstand_edge._settings import EntrySettings
from plantainstand_edge._shared_loads import SharedLoads
from plantainstand_edge._steering import RequestSteering
from plantainstand_edge._target_limits import TargetLimits

_log = structlog.get_logger()

STOP_NOTICE = timedelta(milliseconds=3300)
"""Time between the order to stop and the closing of the port. Clients learn of
the stop meanwhile, from the responses on their connections and from the
directory. More than a third of the usual grace period remains for in-flight
requests. A client that uses a resolved address for longer finds the port closed
and connects to another VM."""

EXIT_MARGIN = timedelta(milliseconds=700)
"""Time before the end of the grace period at which the process exits."""

LAST_RESPONSES_TIME = timedelta(milliseconds=100)
"""Time before the exit at which requests that have not ended get a response, so
that it can be sent."""

CERTAIN_END_AFTER = timedelta(milliseconds=2800)
"""Time after the order to stop from which only requests that are certain to end
before the exit are accepted: a target that has turned slow could take longer
than the time left, and by then few clients have not learned of the stop."""

STOP_POLL_INTERVAL = timedelta(milliseconds=50)
"""Interval at which a stopping VM checks for unanswered requests."""

EVACUATION_END_COLD_TIME = timedelta(seconds=5)
"""Time for which targets count as cold after the evacuation of their
availability zone has ended. The platform's list lags and may report the cold
targets only later."""

IDLE_TIMEOUT_FACTOR = 1.25
"""Ratio of the idle timeout in use to the one stated to clients, so that a
client which keeps to the stated one never sends on a closing connection."""

CLIENT_MEMORY_FRACTION = 0.75
"""Part of the memory above the process's own start that clients may take: one
body of 64 MiB on a machine of 152 MB. The rest is for the desired state, the
target list, links, and what has been freed but not returned."""

METRIC_HELP: Mapping[str, str] = MappingProxyType(
    {
        'plantainstand_entry_requests_total': 'Requests by outcome.',
        'plantainstand_entry_request_seconds': 'Time to an answer, by service.',
        'plantainstand_entry_bodies_total': 'Streamed bodies, whole or not.',
        'plantainstand_entry_limit_answers_total': (
            'Answers in which a target stated a request limit.'
        ),
        'plantainstand_entry_connections_opened': 'Connections to targets.',
        'plantainstand_entry_controls': 'Control VMs connected.',
        'plantainstand_entry_list_age_seconds': 'Age of the target list.',
        'plantainstand_entry_limited_targets': (
            'Targets known to have a request limit.'
        ),
        'plantainstand_entry_leaving_targets': (
            'Targets that said in an answer that they leave.'
        ),
        'plantainstand_entry_paused_targets': (
            'Targets that want nothing from this VM for a while.'
        ),
        'plantainstand_entry_desired_index': 'Log index of the desired state.',
        'plantainstand_entry_key_proof_age_seconds': (
            'Time since the newest question that proves the keys was sent.'
        ),
        'plantainstand_entry_exhausted_accounts': (
            'Accounts that have reached their limits at this VM.'
        ),
        'plantainstand_entry_load_update_age_seconds': (
            'Time since the newest update with loads of targets.'
        ),
        'plantainstand_entry_loads_received': (
            'Loads of targets in updates of the leader.'
        ),
        'plantainstand_entry_loads_taken': (
            'Those that were newer than what this VM knew.'
        ),
        'plantainstand_entry_body_bytes': 'Request bodies held, in bytes.',
        'plantainstand_entry_client_pauses': (
            'Pauses in reading clients that send small pieces.'
        ),
        **budget_help('plantainstand_entry_'),
        'plantainstand_entry_target_pauses': (
            'Pauses in reading targets that send small pieces.'
        ),
    },
)


class EntryNode:
    """Owns the servers, links and connections of an entry VM's process."""

    def __init__(
        self,
        settings: EntrySettings,
        header_codec: HeaderCodec,
        clock: Clock,
    ):
        """Create the components; :meth:`run` starts them."""
        self._settings = settings
        self._clock = clock
        self._desired_view = DesiredView()
        self._target_table = TargetTable()
        self._fleet_view = FleetView(
            settings.vm,
            clock,
            lambda control: self._links.heard_at(control),
            self._reopen_links,
        )
        self._clients = process_budget(
            settings.memory_bytes,
            settings.max_descriptors,
            CLIENT_MEMORY_FRACTION,
        )
        self._pool = TargetConnectionPool(
            clock, self._clients.max_idle_target_connections
        )
        self._metrics = Metrics(METRIC_HELP)
        self._target_limits = TargetLimits(self._metrics, clock, self._report)
        self._probes = TargetProbes(
            self._pool,
            header_codec,
            self._desired_view,
            self._target_limits,
            clock,
        )
        self._evacuated_zones: frozenset[AvailabilityZoneId] = frozenset()
        self._accounts = connect_accounts(settings, self._desired_view, clock)
        inputs = SteeringInputs(
            self._desired_view,
            self._target_table,
            self._pool,
            RetryBudgetShare(settings.retry_budget_limits),
            self._fleet_view,
            self._target_limits,
            self._probes,
            self._accounts.checks,
            self._metrics,
        )
        self._steering = RequestSteering(settings, inputs, header_codec, clock)
        self._server = HttpServer(
            self._steering.handle,
            clock,
            self._steering.may_overlap,
            log_id=self._steering.log_id,
            clients=self._clients,
        )
        self._status_server = HttpServer(
            self._answer_status,
            clock,
            limits=SHORT_CALLS,
            clients=self._clients,
        )
        self._shared_loads = SharedLoads(self._target_table, clock)
        self._links = ControlLinks(
            settings,
            ControlPlaneState(
                self._desired_view,
                self._target_table,
                self._fleet_view,
                self._target_limits,
                self._accounts.questions,
                self._shared_loads,
            ),
            clock,
            self._handle_change,
        )
        self._stopping = False
        self._reported_ready = False

    @property
    def is_ready(self) -> bool:
        """Whether the directory may send clients to this VM."""
        has_state = (
            self._desired_view.has_routes and self._target_table.has_targets
        )
        return has_state and not self._stopping

    def replace_seeds(self, seeds: Collection[VmId]) -> None:
        """Replace the configured control VMs to which this VM connects."""
        _log.info('settings reloaded', seeds=list(seeds))
        self._links.replace_seeds(seeds)

    async def run(self, stop: asyncio.Event) -> None:
        """Serve until ``stop`` is set, then stop gracefully."""
        async with AsyncExitStack() as stack:
            stack.callback(self._pool.close)
            stack.callback(self._probes.close)
            stack.callback(self._links.close)
            await self._listen(stack)
            self._links.replace_seeds(self._settings.seeds)
            loop = asyncio.get_running_loop()
            asking = self._accounts.questions.run(
                lambda: self._links.open_links
            )
            for work in (self._report_forever(), asking):
                stack.callback(loop.create_task(work).cancel)
            _log.info(
                'entry VM started',
                vm=self._settings.vm,
                client_address=self._settings.client_address,
            )
            await stop.wait()
            await self._stop_gracefully()
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
            self._fleet_view.check()
            self._accounts.check(self._clock.monotonic())
            self._report()
            self._pool.close_expired()
            await asyncio.sleep(REPORT_INTERVAL.total_seconds())

    def _reopen_links(self) -> None:
        _log.warning('process stood still; links are opened again')
        self._links.reconnect()

    def _report(self) -> None:
        ready = self.is_ready
        if ready != self._reported_ready:
            self._reported_ready = ready
            _log.info('readiness changed', ready=ready)
        self._links.report(ready=ready)

    async def _stop_gracefully(self) -> None:
        stop_began_at = self._clock.monotonic()
        self._stopping = True
        _log.info('entry VM stopping', busy=self._server.busy_count)
        self._report()
        self._server.announce_close()
        limit = self._settings.stop_grace_period - EXIT_MARGIN
        self._steering.begin_stop(
            stop_began_at + CERTAIN_END_AFTER,
            stop_began_at + limit - LAST_RESPONSES_TIME,
        )
        await self._wait_until(
            lambda: self._elapsed_since(stop_began_at) > STOP_NOTICE
        )
        self._server.stop_accepting()
        await self._wait_until(
            lambda: (
                not self._server.busy_count
                or self._elapsed_since(stop_began_at) > limit
            ),
        )

    def _elapsed_since(self, moment: timedelta) -> timedelta:
        return self._clock.monotonic() - moment

    async def _wait_until(self, reached: Callable[[], bool]) -> None:
        while not reached():
            await asyncio.sleep(STOP_POLL_INTERVAL.total_seconds())

    def _handle_change(self) -> None:
        if self.is_ready != self._reported_ready:
            # The directory sends clients here only after this report.
            self._report()
        self._accounts.questions.check()
        self._apply_desired()

    def _apply_desired(self) -> None:
        limits = self._desired_view.limits
        if limits is not None:
            self._server.limits = ClientLimits(
                limits.header_bytes,
                limits.body_bytes,
                timedelta(seconds=limits.head_timeout_seconds),
                timedelta(seconds=limits.idle_timeout_seconds)
                * IDLE_TIMEOUT_FACTOR,
            )
        evacuated_zones = self._desired_view.evacuated_availability_zones()
        reopened_zones = self._evacuated_zones - evacuated_zones
        self._evacuated_zones = evacuated_zones
        if reopened_zones:
            states = [
                state
                for state in self._target_table.states
                if state.entry.availability_zone in reopened_zones
            ]
            until = self._clock.monotonic() + EVACUATION_END_COLD_TIME
            self._target_table.mark_cold(states, until)

    async def _answer_status(self, request: Request) -> Response:
        if request.path.endswith(b'/metrics'):
            return Response(HTTPStatus.OK, (), self._render_metrics())
        if request.path == EXPLAIN_PATH:
            return answer_explain(request.query, self._steering.explain)
        if self.is_ready:
            return Response(HTTPStatus.OK)
        return Response(HTTPStatus.SERVICE_UNAVAILABLE)

    def _render_metrics(self) -> bytes:
        prefix = 'plantainstand_entry_'
        now = self._clock.monotonic()
        age = self._target_table.age(now)
        readings = {
            'connections_opened': self._pool.opened_count,
            'controls': len(self._links.open_links),
            'list_age_seconds': age.total_seconds(),
            'leaving_targets': self._target_limits.stated.leaving_count,
            'paused_targets': self._target_table.paused_count(now),
            'limited_targets': self._target_limits.stated.limited_count(now),
            'desired_index': self._desired_view.index,
            'body_bytes': self._server.buffered_body_bytes,
            'client_pauses': self._server.pause_count,
            **self._clients.readings(),
            'target_pauses': self._pool.pause_count,
            **self._accounts.readings(now),
            **self._shared_loads.readings(),
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
