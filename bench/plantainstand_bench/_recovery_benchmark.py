"""How long the control VMs take to recover, against the size of the state.

Five control VMs and one entry VM run in this process and on its event loop,
so the times are upper bounds for VMs that have a core each; there is no delay
between regions. One target and two routes stand for each VM's worth of state.
"""

import asyncio
import time
from collections.abc import Callable, Coroutine, Mapping, Sequence
from contextlib import AsyncExitStack
from datetime import timedelta
from pathlib import Path

from plantainstand_control import ControlNode, ControlSettings, TargetList
from plantainstand_control._poller import ListProblem
from plantainstand_core import (
    AvailabilityZoneId,
    LogIndex,
    RegionId,
    ServiceId,
    SystemClock,
    TargetId,
    VmId,
)
from plantainstand_desired import (
    ChangeItems,
    Item,
    ItemKind,
    Route,
    ServicePolicy,
    Version,
    WeightedService,
)
from plantainstand_edge import (
    EntryNode,
    EntrySettings,
    HeaderCodec,
    HealthMetadata,
    ResponseMetadata,
)
from plantainstand_fleet import TargetEntry
from plantainstand_placement import ColdTargetLimits, RetryBudgetLimits
from result import Ok, Result

_LINK_PORT = 17640
_METRICS_PORT = 17641
_ENTRY_METRICS_PORT = 17642
_CLIENT_PORT = 17643
_READY_PORT = 17644
_CONTROLS = tuple(VmId(f'127.0.8.{number}') for number in range(1, 6))
_ENTRY = VmId('127.0.8.9')
_SERVICE = ServiceId('orders')
_ROUTES_PER_VM = 2
_MISSED_CHANGES = 500
_SIZES = (10, 100, 1000)
_DEADLINE = timedelta(seconds=60)
_POLL = timedelta(milliseconds=2)


class _Fleet:
    """Control VMs and an entry VM, started and killed one by one."""

    def __init__(self, folder: Path, targets: Sequence[TargetEntry]):
        self.controls: dict[VmId, ControlNode] = {}
        self._folder = folder
        self._targets = targets
        self._tasks: dict[VmId, asyncio.Task[None]] = {}

    def start(
        self,
        vm: VmId,
        *,
        disk: str = 'first',
        founding: bool = False,
    ) -> ControlNode:
        data_folder = self._folder / disk / vm
        data_folder.mkdir(parents=True, exist_ok=True)
        node = ControlNode(
            ControlSettings(
                vm=vm,
                availability_zone=AvailabilityZoneId(f'region-{vm[-1]}-a'),
                region=RegionId(f'region-{vm[-1]}'),
                data_folder=data_folder,
                link_port=_LINK_PORT,
                metrics_port=_METRICS_PORT,
                seeds=_CONTROLS[:3],
                bootstrap=founding,
                tolerated_losses=2,
                list_calls_per_second=10,
            ),
            self._read_list,
            SystemClock(),
        )
        self.controls[vm] = node
        self._run(vm, node.run(asyncio.Event()))
        return node

    def start_entry(self) -> EntryNode:
        node = EntryNode(_entry_settings(), _DIALECT, SystemClock())
        self._run(_ENTRY, node.run(asyncio.Event()))
        return node

    async def kill(self, *vms: VmId) -> None:
        tasks = [self._tasks.pop(vm) for vm in vms]
        for task in tasks:
            task.cancel()
        await asyncio.wait(tasks)

    async def kill_all(self) -> None:
        await self.kill(*self._tasks)

    async def order(self, change: ChangeItems) -> None:
        async with asyncio.timeout(_DEADLINE.total_seconds()):
            while not await self._ordered(change):
                await asyncio.sleep(_POLL.total_seconds())

    async def _ordered(self, change: ChangeItems) -> bool:
        for vm in set(self.controls).intersection(self._tasks):
            if (
                await self.controls[vm].operator.execute_command(change)
            ).is_ok():
                return True
        return False

    def _run(self, vm: VmId, running: Coroutine[object, None, None]) -> None:
        loop = asyncio.get_running_loop()
        self._tasks[vm] = loop.create_task(running)

    async def _read_list(self) -> Result[TargetList, ListProblem]:
        return Ok(TargetList(self._targets, 1))


def measure_recovery(
    folder: Path,
    sizes: Sequence[int] = _SIZES,
) -> Mapping[str, float]:
    """Return times in ms for each size, in VMs' worth of state.

    ``folder`` has to be empty and on the disk to be measured.
    """
    figures: dict[str, float] = {}
    for size in sizes:
        measured = asyncio.run(_measure(folder / str(size), size))
        for name, milliseconds in measured.items():
            figures[f'{name}_ms_{size}_vms'] = milliseconds
    return figures


async def _measure(folder: Path, size: int) -> Mapping[str, float]:
    async with AsyncExitStack() as stack:
        fleet = _Fleet(folder, _targets(size))
        stack.push_async_callback(fleet.kill_all)
        for vm in _CONTROLS:
            fleet.start(vm, founding=True)
        await fleet.order(_first_change(size))
        await _until(lambda: all(map(_holds, fleet.controls.values())))
        return {
            'entry_start_to_ready': await _time_entry_start(fleet),
            'all_controls_killed': await _time_restart(fleet),
            'lost_disk_repaired': await _time_repair(fleet),
            f'missed_{_MISSED_CHANGES}_changes': await _time_missed(fleet),
        }


async def _time_entry_start(fleet: _Fleet) -> float:
    started = time.perf_counter()
    entry = fleet.start_entry()
    await _until(lambda: entry.is_ready)
    return _milliseconds_since(started)


async def _time_restart(fleet: _Fleet) -> float:
    """Kill all control VMs; return the time until an order is durable."""
    await fleet.kill(*_CONTROLS)
    started = time.perf_counter()
    for vm in _CONTROLS:
        fleet.start(vm)
    await fleet.order(ChangeItems((_route(0, 2),)))
    return _milliseconds_since(started)


async def _time_repair(fleet: _Fleet) -> float:
    """Return the time until an emptied VM holds the state and votes."""
    lost = _CONTROLS[-1]
    await fleet.kill(lost)
    started = time.perf_counter()
    node = fleet.start(lost, disk='emptied')
    await _until(lambda: _holds(node))
    return _milliseconds_since(started)


async def _time_missed(fleet: _Fleet) -> float:
    """Return the time until a VM that missed changes holds the last one."""
    missing = _CONTROLS[-2]
    await fleet.kill(missing)
    for number in range(_MISSED_CHANGES):
        await fleet.order(ChangeItems((_route(0, 3 + number),)))
    await fleet.order(ChangeItems((_route(-1, 1),)))
    started = time.perf_counter()
    node = fleet.start(missing)
    await _until(lambda: _names(node) >= {_route_name(-1)})
    return _milliseconds_since(started)


async def _until(reached: Callable[[], bool]) -> None:
    async with asyncio.timeout(_DEADLINE.total_seconds()):
        while not reached():
            await asyncio.sleep(_POLL.total_seconds())


def _milliseconds_since(started: float) -> float:
    return (time.perf_counter() - started) * 1000


def _holds(node: ControlNode) -> bool:
    return _route_name(0) in _names(node)


def _names(node: ControlNode) -> set[str]:
    return {item.name for item in node._state.items_after(LogIndex(0))}


def _first_change(size: int) -> ChangeItems:
    policy = ServicePolicy('/health', 100, 3, 15)
    service = Item(ItemKind.SERVICE, _SERVICE, Version(1), policy, b'service')
    routes = (_route(number, 1) for number in range(size * _ROUTES_PER_VM))
    return ChangeItems((service, *routes))


def _route_name(number: int) -> str:
    return f'route-{number}'


def _route(number: int, version: int) -> Item:
    body = Route(
        host=f'host-{number}.example',
        path_prefix='/orders/',
        idempotent=True,
        timeout_seconds=1,
        objective_seconds=0.5,
        rank=0,
        max_attempts=2,
        sticky=True,
        home_regions=(),
        parts=(WeightedService(_SERVICE, 1),),
    )
    document = f'{number} {version}'.encode().ljust(400)
    name = _route_name(number)
    return Item(ItemKind.ROUTE, name, Version(version), body, document)


def _targets(size: int) -> Sequence[TargetEntry]:
    return [
        TargetEntry(
            target=TargetId(f'target-{number}'),
            service=_SERVICE,
            address=f'192.0.2.1:{number}',
            availability_zone=AvailabilityZoneId('norte-a'),
            region=RegionId('norte'),
            slots=8,
            draining=False,
            started_ms=0,
            cold_seconds=0,
        )
        for number in range(1, size + 1)
    ]


def _entry_settings() -> EntrySettings:
    return EntrySettings(
        vm=_ENTRY,
        availability_zone=AvailabilityZoneId('norte-a'),
        region=RegionId('norte'),
        client_address=f'{_ENTRY}:{_CLIENT_PORT}',
        ready_address=f'{_ENTRY}:{_READY_PORT}',
        metrics_port=_ENTRY_METRICS_PORT,
        link_port=_LINK_PORT,
        seeds=_CONTROLS[:3],
        cold_target_limits=ColdTargetLimits(1, 1),
        retry_budget_limits=RetryBudgetLimits(0, 0, timedelta(seconds=1)),
        list_lag=timedelta(),
        stop_grace_period=timedelta(seconds=1),
    )


_DIALECT = HeaderCodec(
    read_request_metadata=lambda _request: None,
    target_headers=lambda _target, _left, _account: (),
    read_response_metadata=lambda _answer: ResponseMetadata(
        not_run=False,
        misdirected=False,
        load=None,
    ),
    read_health_metadata=lambda _answer: HealthMetadata(None, timedelta()),
    request_id_header=b'id',
    local_response_headers=lambda _request_id, _pause: (),
)
