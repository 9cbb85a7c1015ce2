"""The processes of one run: targets, platform list and daemons."""

import asyncio
import shutil
import signal
import sys
import time
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

from plantainstand_core import AvailabilityZoneId, VmId
from result import Err, Ok, Result

from plantainstand_bench._deployment import Deployment
from plantainstand_bench._http_client import Address, HttpClient
from plantainstand_bench._probes import Probe, wait_until_ready
from plantainstand_bench._processes import Processes
from plantainstand_bench._records import LostTarget, PlannedStop
from plantainstand_bench._run_files import (
    RunFolder,
    write_daemon_settings,
    write_list_settings,
    write_target_settings,
)
from plantainstand_bench._system_map import SystemMap

_PAUSE_SECONDS = 0.1
_FORMAT_SECONDS = 20
_CONTROL_SECONDS = 60
_VM_LIST = 'vm-list'


@dataclass(frozen=True)
class Commands:
    """How the system's programs are started."""

    daemon: Sequence[str] = ('plantainstandd',)
    control: Sequence[str] = ('plantainstandctl',)


@dataclass(frozen=True)
class StartProblem:
    """Why a run cannot begin."""

    message: str


class System:
    """Starts, stops and disturbs the processes of a deployment."""

    def __init__(
        self,
        deployment: Deployment,
        system_map: SystemMap,
        folder: RunFolder,
        commands: Commands,
        seed: int,
    ):
        """Write the settings files; nothing is started."""
        self._deployment = deployment
        self._map = system_map
        self._folder = folder
        self._commands = commands
        self._processes = Processes(folder.logs)
        self._client = HttpClient()
        self._stops: list[PlannedStop] = []
        self._lost: list[LostTarget] = []
        self._stop_waits: list[asyncio.Task[None]] = []
        self._daemon_files = {
            vm.id: write_daemon_settings(deployment, vm, folder)
            for vm in deployment.vms
        }
        self._target_files = write_target_settings(
            deployment,
            system_map,
            folder,
            seed,
        )

    @property
    def planned_stops(self) -> Sequence[PlannedStop]:
        """Daemons that were asked to stop, and when they exited."""
        return tuple(self._stops)

    @property
    def lost_targets(self) -> Sequence[LostTarget]:
        """Targets that were killed."""
        return tuple(self._lost)

    async def start_targets(self) -> Result[None, StartProblem]:
        """Start all targets and wait until they answer."""
        for zone in self._target_files:
            self.start_zone_targets(zone)
        probes = [
            Probe(target.id, Address(target.host, target.port), '/health')
            for target in self._map.targets
        ]
        return await _wait(self._client, probes)

    async def start_daemons(self) -> Result[None, StartProblem]:
        """Start list and daemons and load the catalogue."""
        for program in (self._commands.daemon[0], self._commands.control[0]):
            if shutil.which(program) is None:
                return Err(StartProblem(f'no command `{program}`'))
        if self._deployment.platform_list_port:
            path = write_list_settings(self._deployment, self._folder)
            command = _own_command('vm_list_main', path)
            self._processes.start(_VM_LIST, command)
        voters = [vm.id for vm in self._deployment.vms if vm.is_voter]
        formatted = await asyncio.gather(*map(self._format, voters))
        if not all(formatted):
            return Err(StartProblem('--format failed, see the logs'))
        for started in self._deployment.vms:
            self.start_vm(started.id)
        probes = [
            Probe(vm.id, Address(vm.host, vm.http_port), '/healthz')
            for vm in self._deployment.vms
        ]
        ready = await _wait(self._client, probes)
        return ready if isinstance(ready, Err) else await self._load_catalogue()

    def start_zone_targets(self, zone: AvailabilityZoneId) -> None:
        """Start the process that hosts the targets of a zone."""
        path = self._target_files[zone]
        function = 'target_main'
        arguments = _own_command(function, path)
        self._processes.start(f'targets-{zone}', arguments)

    def is_running(self, vm: VmId) -> bool:
        """Whether the daemon of a VM has not exited."""
        return self._processes.is_running(vm)

    def start_vm(self, vm: VmId) -> None:
        """Start a daemon."""
        self._processes.start(vm, self._daemon_command(vm))

    def empty_data_folder(self, vm: VmId) -> None:
        """Delete the log of a voter that does not run."""
        data_folder = self._folder.data_of(vm)
        shutil.rmtree(data_folder, ignore_errors=True)
        data_folder.mkdir(parents=True)

    def signal_vm(self, vm: VmId, number: signal.Signals) -> None:
        """Send a signal to a daemon."""
        self._processes.send_signal(vm, number)

    def kill_zone_targets(self, zone: AvailabilityZoneId) -> None:
        """Kill the targets of a zone."""
        self._processes.send_signal(f'targets-{zone}', signal.SIGKILL)
        now = time.time()
        self._lost.extend(
            LostTarget(target=target.id, time=now)
            for target in self._map.targets
            if target.availability_zone == zone
        )

    def stop_vm(self, vm: VmId) -> None:
        """Ask a daemon to stop and note when it exits."""
        if self._processes.send_signal(vm, signal.SIGTERM):
            number = len(self._stops)
            self._stops.append(PlannedStop(vm=vm, started=time.time()))
            waiting = asyncio.create_task(self._note_exit(number))
            self._stop_waits.append(waiting)

    async def stop(self) -> Sequence[str]:
        """Stop everything; return the names that had to be killed."""
        for waiting in self._stop_waits:
            waiting.cancel()
        self._client.close()
        return await self._processes.stop_all()

    async def _note_exit(self, number: int) -> None:
        stop = self._stops[number]
        await self._processes.wait(stop.vm, float('inf'))
        self._stops[number] = PlannedStop(
            vm=stop.vm,
            started=stop.started,
            exited=time.time(),
        )

    def _daemon_command(self, vm: VmId, *options: str) -> Sequence[str]:
        path = str(self._daemon_files[vm])
        return (*self._commands.daemon, '--settings', path, *options)

    async def _format(self, vm: VmId) -> bool:
        command = self._daemon_command(vm, '--format')
        return await self._run_to_end(f'{vm}-format', command, _FORMAT_SECONDS)

    async def _load_catalogue(self) -> Result[None, StartProblem]:
        command = _apply_command(self._deployment, self._commands)
        end = time.monotonic() + _CONTROL_SECONDS
        # The first attempts can meet a log without a leader.
        while time.monotonic() < end:
            if await self._run_to_end('catalogue', command, _CONTROL_SECONDS):
                await asyncio.sleep(self._deployment.settle_s)
                return Ok(None)
            await asyncio.sleep(_PAUSE_SECONDS)
        return Err(StartProblem('the catalogue was not accepted, see log'))

    async def _run_to_end(
        self,
        name: str,
        command: Sequence[str],
        seconds: float,
    ) -> bool:
        self._processes.start(name, command)
        if not await self._processes.wait(name, seconds):
            self._processes.send_signal(name, signal.SIGKILL)
            return False
        return self._processes.exit_code(name) == 0


async def _wait(
    client: HttpClient,
    probes: Sequence[Probe],
) -> Result[None, StartProblem]:
    late = await wait_until_ready(client, probes)
    if late:
        names = ', '.join(late)
        return Err(StartProblem(f'not ready in time: {names}'))
    return Ok(None)


def _apply_command(
    deployment: Deployment,
    commands: Commands,
) -> Sequence[str]:
    vm = deployment.vms[0]
    options = ('--address', f'{vm.host}:{vm.http_port}')
    apply = ('catalogue', 'apply', deployment.catalogue)
    return (*commands.control, *options, *apply)


def _own_command(function: str, path: Path) -> Sequence[str]:
    # The installed scripts may belong to another work tree.
    code = f'from plantainstand_bench import {function} as main; main()'
    return (sys.executable, '-c', code, '--settings', str(path))
