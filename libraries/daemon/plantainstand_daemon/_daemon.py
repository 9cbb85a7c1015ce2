"""Start, run and graceful stop of the daemon."""

import asyncio
import signal
from collections.abc import Mapping
from concurrent.futures import ThreadPoolExecutor
from contextlib import AsyncExitStack, ExitStack
from dataclasses import dataclass
from datetime import timedelta

import structlog
from grpclib.server import Server
from plantainstand_catalogue import Service
from plantainstand_core import ServiceId
from plantainstand_protocol import ChannelPool
from plantainstand_shares import SupportTiming
from plantainstand_storage import StorageProblem
from result import Err, Ok, Result

from plantainstand_daemon._caller_api import CallerPort
from plantainstand_daemon._caller_bridge import CallerBridge, entry_lister
from plantainstand_daemon._control_plane import (
    ControlPlane,
    build_control_plane,
)
from plantainstand_daemon._dispatch import TargetClient
from plantainstand_daemon._http import build_application
from plantainstand_daemon._instruments import Instruments, open_instruments
from plantainstand_daemon._operator_api import OperatorPort
from plantainstand_daemon._operator_bridge import OperatorBridge
from plantainstand_daemon._platform_poll import PlatformPoll
from plantainstand_daemon._routes import build_routes
from plantainstand_daemon._settings import DaemonSettings
from plantainstand_daemon._steering_parts import Resources, SteeringParts
from plantainstand_daemon._steering_service import SteeringService
from plantainstand_daemon._tasks import TaskOwner, repeat
from plantainstand_daemon._web_server import (
    close_web_server,
    start_web_server,
)

_log = structlog.get_logger()

_REFRESH_INTERVAL = timedelta(milliseconds=20)
_ENTRIES_INTERVAL = timedelta(milliseconds=250)
_BRIDGE_TIMEOUT = timedelta(seconds=8)
# Beyond the longest deadline; the stated bound of an entry VM's drain.
_LEAVE_MARGIN = timedelta(seconds=5)
_DISPATCH_THREADS = 256


@dataclass(frozen=True)
class ListenProblem:
    """An address of the settings that cannot be listened on."""

    message: str

    def __str__(self) -> str:
        """Return the text shown to an operator."""
        return self.message


StartProblem = StorageProblem | ListenProblem


async def run_daemon(settings: DaemonSettings) -> Result[None, StartProblem]:
    """Run until SIGTERM or SIGINT, then leave gracefully."""
    async with AsyncExitStack() as stack:
        instruments = open_instruments(stack, settings)
        resources = _open_resources(stack)
        built = build_control_plane(
            settings,
            resources.channels,
            instruments,
            SupportTiming(
                sole_member_grace=timedelta(
                    seconds=settings.sole_member_grace_s,
                ),
            ),
        )
        if isinstance(built, Err):
            return built
        daemon = _Daemon(settings, built.ok_value, resources, instruments)
        return await daemon.run(stack)


def _open_resources(stack: AsyncExitStack) -> Resources:
    channels = ChannelPool()
    stack.callback(channels.close)
    client = TargetClient()
    stack.callback(client.close)
    executor = ThreadPoolExecutor(_DISPATCH_THREADS, 'dispatch')
    stack.callback(executor.shutdown, wait=False, cancel_futures=True)
    return Resources(channels, client, executor)


class _Daemon:
    def __init__(
        self,
        settings: DaemonSettings,
        plane: ControlPlane,
        resources: Resources,
        instruments: Instruments,
    ) -> None:
        self._settings = settings
        self._plane = plane
        self._resources = resources
        self._instruments = instruments
        self._parts = SteeringParts(settings, plane, resources, instruments)
        self._stopping = asyncio.Event()
        self._tasks = TaskOwner(self._stopping.set)
        self._loop = asyncio.get_running_loop()
        self._apply_pending = False
        self._bridge = CallerBridge(
            self._parts.engine,
            self._parts.records,
            self._parts.activity,
            self._is_idempotent,
            self._loop,
            instruments,
        )

    async def run(self, stack: AsyncExitStack) -> Result[None, StartProblem]:
        """Start everything, wait for the stop signal, and leave."""
        try:
            await self._start(stack)
        except OSError as problem:
            return Err(ListenProblem(f'cannot listen: {problem.strerror}'))
        _log.info('started', vm=self._settings.vm)
        await self._stopping.wait()
        await self._leave()
        return Ok(None)

    async def _start(self, stack: AsyncExitStack) -> None:
        for number in (signal.SIGTERM, signal.SIGINT):
            self._loop.add_signal_handler(number, self._stopping.set)
        self._plane.state.add_listener(self._schedule_apply)
        await self._start_rpc_server(stack)
        stack.push_async_callback(self._tasks.stop)
        self._start_tasks()
        web_stack = ExitStack()
        stack.push_async_callback(close_web_server, web_stack)
        await asyncio.to_thread(self._start_web_server, web_stack)

    async def _start_rpc_server(self, stack: AsyncExitStack) -> None:
        steering = SteeringService(
            self._parts.engine,
            self._parts.exchange,
            self._parts.activity,
            self._instruments,
        )
        voter = self._plane.voter
        server = Server([steering, *(voter.services if voter else ())])
        await server.start(self._settings.rpc.host, self._settings.rpc.port)
        stack.push_async_callback(server.wait_closed)
        stack.callback(server.close)

    def _start_tasks(self) -> None:
        voter = self._plane.voter
        if voter is not None:
            self._tasks.start('replica', voter.replica.run())
            self._tasks.start('leader', voter.leader.run())
            if self._settings.platform_list_url is not None:
                platform = PlatformPoll(
                    self._settings.platform_list_url,
                    voter.leader,
                    self._resources.executor,
                )
                self._tasks.start('platform list', platform.run())
        if self._plane.follower is not None:
            self._tasks.start('follower', self._plane.follower.run())
        if self._settings.is_entry:
            self._start_entry_tasks()

    def _start_entry_tasks(self) -> None:
        parts = self._parts
        self._tasks.start('presence', parts.presence.run())
        self._tasks.start('exchange', parts.exchange.run())
        self._tasks.start('health', parts.health_poll.run())
        self._tasks.start('refresh', repeat(_REFRESH_INTERVAL, parts.refresh))
        self._tasks.start(
            'entries',
            repeat(_ENTRIES_INTERVAL, parts.update_entries),
        )

    def _start_web_server(self, stack: ExitStack) -> None:
        routes = build_routes(
            self._caller_port(),
            self._operator_port(),
            self._render_metrics,
            self._health,
        )
        application = build_application(routes, self._parts.is_leaving)
        start_web_server(stack, self._settings.http, application)

    def _caller_port(self) -> CallerPort:
        return CallerPort(
            find_service=self._find_service,
            serve=self._bridge.serve,
            lookup=self._bridge.look_up,
            cancel=self._bridge.cancel,
            list_entries=entry_lister(lambda: self._parts.entries),
            vm=self._settings.vm,
            clock=self._instruments.clock,
        )

    def _operator_port(self) -> OperatorPort:
        bridge = OperatorBridge(self._bridge, self._parts.control)
        return OperatorPort(
            view=lambda: self._parts.view,
            change=bridge.change,
            report=bridge.report,
        )

    def _find_service(self, service: ServiceId) -> Service | None:
        return self._parts.view.catalogue.services.get(service)

    def _is_idempotent(self, service: ServiceId) -> bool:
        found = self._find_service(service)
        return found is not None and found.idempotent

    def _render_metrics(self) -> bytes:
        async def render() -> bytes:
            self._instruments.metrics.gauge(
                'channels_replaced',
                self._resources.channels.replaced_count,
            )
            return self._instruments.metrics.render()

        return self._bridge.run(render(), _BRIDGE_TIMEOUT, b'')

    def _health(self) -> tuple[bool, Mapping[str, object]]:
        presence = self._parts.presence
        has_authority = presence.holding.support.has_authority()
        document = {
            'vm': self._settings.vm,
            'state': presence.status.value,
            'has_authority': has_authority,
            'control_index': self._parts.view.index,
        }
        return has_authority or not self._settings.is_entry, document

    def _schedule_apply(self) -> None:
        # Many entries can be applied in one go; the view is built once.
        if not self._apply_pending:
            self._apply_pending = True
            self._loop.call_soon(self._apply)

    def _apply(self) -> None:
        self._apply_pending = False
        try:
            self._parts.apply()
        except Exception:
            # Steering by an old view would break limits that have changed.
            _log.exception('control state cannot be put in force')
            self._stopping.set()

    async def _leave(self) -> None:
        if not self._settings.is_entry:
            return
        longest_ms = max(
            (
                service.limits.deadline_ms
                for service in self._parts.view.catalogue.services.values()
            ),
            default=0,
        )
        limit = timedelta(milliseconds=longest_ms) + _LEAVE_MARGIN
        departed = await self._parts.presence.leave(limit)
        _log.info('stopped', vm=self._settings.vm, departed=departed)
