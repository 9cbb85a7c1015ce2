"""One run of the load tool: processes, arrivals, faults and records."""

import asyncio
import signal
import sys
import time
from collections.abc import Callable, Mapping, Sequence
from contextlib import AsyncExitStack
from dataclasses import dataclass
from typing import Protocol

from plantainstand_core import ServiceId
from result import Err, Ok, Result

from plantainstand_bench._arrivals import Arrival, draw_arrivals
from plantainstand_bench._caller import Caller, CallerRules
from plantainstand_bench._deployment import Deployment
from plantainstand_bench._direct import (
    DirectCaller,
    LoadBoard,
    make_chooser,
)
from plantainstand_bench._entry_directory import (
    CallerIdentity,
    EntryDirectory,
)
from plantainstand_bench._fault_runner import FaultRunner
from plantainstand_bench._faults import AnyFault
from plantainstand_bench._http_client import HttpClient
from plantainstand_bench._operator import Operator
from plantainstand_bench._records import CallerRecord, RunLog
from plantainstand_bench._run_files import RunFolder
from plantainstand_bench._system import Commands, StartProblem, System
from plantainstand_bench._system_map import MappedService, SystemMap


@dataclass(frozen=True)
class RunPlan:
    """Everything that decides what a run does."""

    deployment: Deployment
    system_map: SystemMap
    rates: Mapping[ServiceId, float]
    faults: Sequence[AnyFault]
    seed: int
    policy: str | None
    """Baseline policy; absent for a run with the system."""

    commands: Commands


class _AnyCaller(Protocol):
    async def request(
        self,
        arrival: Arrival,
        service: MappedService,
        scheduled: float,
    ) -> CallerRecord:
        """Make one request."""


async def run(
    plan: RunPlan,
    folder: RunFolder,
) -> Result[RunLog, StartProblem]:
    """Start everything, run the load, stop everything."""
    system = System(
        plan.deployment,
        plan.system_map,
        folder,
        plan.commands,
        plan.seed,
    )
    _cancel_on_sigterm()
    async with AsyncExitStack() as resources:
        resources.push_async_callback(_stop, system)
        started = await _start(system, plan)
        if isinstance(started, Err):
            return started
        client = HttpClient()
        resources.callback(client.close)
        return Ok(await _run_load(plan, system, client, resources))


def _cancel_on_sigterm() -> None:
    # Without a handler SIGTERM would leave the child processes running.
    running = asyncio.current_task()
    if running is not None:
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, running.cancel)


async def _start(
    system: System,
    plan: RunPlan,
) -> Result[None, StartProblem]:
    started = await system.start_targets()
    if isinstance(started, Err) or plan.policy is not None:
        return started
    return await system.start_daemons()


async def _stop(system: System) -> None:
    killed = await system.stop()
    if killed:
        names = ', '.join(killed)
        sys.stderr.write(f'killed after SIGTERM had no effect: {names}\n')


async def _run_load(
    plan: RunPlan,
    system: System,
    client: HttpClient,
    resources: AsyncExitStack,
) -> RunLog:
    callers = _make_callers(plan, client, resources)
    arrivals = draw_arrivals(
        plan.deployment,
        plan.rates,
        len(callers),
        plan.seed,
    )
    operator = Operator(client, plan.deployment.vms, plan.system_map)
    faults = FaultRunner(
        plan.deployment,
        plan.system_map,
        system,
        operator,
        client,
    )
    async with asyncio.TaskGroup() as tasks:
        tasks.create_task(faults.run(plan.faults))
        sending = tasks.create_task(_send_all(plan, callers, arrivals))
    first = min((record.scheduled for record in sending.result()), default=0)
    return RunLog(
        measured_from=first + plan.deployment.warm_up_s,
        records=sending.result(),
        planned_stops=system.planned_stops,
        drains=operator.drains,
        lost_targets=system.lost_targets,
    )


async def _send_all(
    plan: RunPlan,
    callers: Sequence[_AnyCaller],
    arrivals: Sequence[Arrival],
) -> Sequence[CallerRecord]:
    start = time.time()
    requests: list[asyncio.Task[CallerRecord]] = []
    async with asyncio.TaskGroup() as tasks:
        for arrival in arrivals:
            scheduled = start + arrival.at_s
            # Behind schedule this still lets the other tasks run.
            await asyncio.sleep(max(scheduled - time.time(), 0))
            service = plan.system_map.services[arrival.traffic.service]
            caller = callers[arrival.caller]
            request = caller.request(arrival, service, scheduled)
            requests.append(tasks.create_task(request))
    return [request.result() for request in requests]


def _make_callers(
    plan: RunPlan,
    client: HttpClient,
    resources: AsyncExitStack,
) -> Sequence[_AnyCaller]:
    if plan.policy is None:
        make = _system_callers(plan, client)
    else:
        board = LoadBoard(plan.system_map, client)
        polling = asyncio.create_task(board.poll())
        resources.callback(polling.cancel)
        make = _direct_callers(plan, client, board, plan.policy)
    return [
        make(CallerIdentity(f'{zone}-{number}', zone))
        for zone in plan.system_map.regions
        for number in range(plan.deployment.callers_per_zone)
    ]


def _system_callers(
    plan: RunPlan,
    client: HttpClient,
) -> Callable[[CallerIdentity], _AnyCaller]:
    rules = CallerRules(
        plan.seed,
        plan.deployment.sendings,
        plan.deployment.twin_fraction,
    )
    entry_vms = [vm for vm in plan.deployment.vms if vm.is_entry]

    def make(identity: CallerIdentity) -> Caller:
        directory = EntryDirectory(identity, client, entry_vms, plan.seed)
        return Caller(identity, directory, client, rules)

    return make


def _direct_callers(
    plan: RunPlan,
    client: HttpClient,
    board: LoadBoard,
    policy: str,
) -> Callable[[CallerIdentity], _AnyCaller]:
    choose = make_chooser(policy, board, plan.seed)

    def make(identity: CallerIdentity) -> DirectCaller:
        return DirectCaller(
            identity.name,
            plan.system_map,
            client,
            board,
            choose,
        )

    return make
