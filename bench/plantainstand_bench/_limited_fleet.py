"""A fleet of entry VMs on loopback whose targets may state request limits."""

import asyncio
import itertools
from collections.abc import Iterable
from contextlib import AsyncExitStack
from dataclasses import dataclass
from datetime import timedelta
from pathlib import Path

from plantainstand_control import (
    ControlNode,
    ControlSettings,
    ListProblem,
    TargetList,
)
from plantainstand_core import (
    AvailabilityZoneId,
    RegionId,
    ServiceId,
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
from plantainstand_edge import EntryNode, EntrySettings, HeaderCodec
from plantainstand_fleet import TargetEntry
from plantainstand_placement import ColdTargetLimits, RetryBudgetLimits
from result import Ok, Result

from plantainstand_bench._limited_target import (
    CLOCK,
    HeaderNames,
    LimitedTarget,
    header_content,
)

REGIONS = tuple(RegionId(name) for name in ('norte', 'centro', 'sul'))

_HOST = 'shop.example'
_LINK_PORT = 17580
_CLIENT_PORT = 17581
_START_DEADLINE_SECONDS = 20
_SERVICE = ServiceId('orders')


@dataclass(frozen=True)
class FleetShape:
    """Size and addresses of a fleet."""

    vm_count: int
    targets_per_region: int
    network: int = 9
    """All VMs have addresses in 127.0.``network``."""


class LimitedFleet:
    """One control VM, entry VMs and targets in three regions."""

    def __init__(
        self,
        shape: FleetShape,
        header_codec: HeaderCodec,
        header_names: HeaderNames,
    ):
        """Prepare the targets; :meth:`start` starts everything."""
        self.targets = [
            LimitedTarget(region, header_names)
            for region in REGIONS
            for _number in range(shape.targets_per_region)
        ]
        self.statuses: list[int] = []
        self.unanswered = 0
        self._shape = shape
        self._header_codec = header_codec
        self._header_names = header_names
        self._running: dict[int, asyncio.Task[None]] = {}
        self._next_id = itertools.count()

    @property
    def vm_count(self) -> int:
        """Number of entry VMs."""
        return self._shape.vm_count

    async def start(self, stack: AsyncExitStack, folder: Path) -> None:
        """Start all processes as tasks; return when all VMs are ready."""
        for target in self.targets:
            await target.start(stack)
        settings = _control_settings(
            VmId(f'127.0.{self._shape.network}.1'), folder
        )
        control = ControlNode(settings, self._list, CLOCK)
        running = asyncio.create_task(control.run(asyncio.Event()))
        stack.push_async_callback(_cancel, running)
        stack.push_async_callback(self._stop_entry_vms)
        nodes = [
            self._start_vm(number) for number in range(self._shape.vm_count)
        ]
        change = ChangeItems(_items())
        async with asyncio.timeout(_START_DEADLINE_SECONDS):
            while (await control.operator.execute_command(change)).is_err():
                await asyncio.sleep(0.05)
            while not all(node.is_ready for node in nodes):
                await asyncio.sleep(0.05)
            # Entry VMs know their number from the next roster on.
            await asyncio.sleep(1)

    async def restart(self, number: int) -> None:
        """End an entry VM at once and start it again."""
        await _cancel(self._running[number])
        for target in self.targets:
            target.excuse(number)
        self._start_vm(number)

    async def send_requests(
        self, requests_per_second: float, duration: timedelta
    ) -> None:
        """Send requests to all VMs, ``requests_per_second`` to each."""
        await asyncio.gather(
            *(
                self._send_to(number, requests_per_second, duration)
                for number in range(self._shape.vm_count)
            )
        )

    async def _send_to(
        self, number: int, requests_per_second: float, duration: timedelta
    ) -> None:
        end = CLOCK.monotonic() + duration
        while CLOCK.monotonic() < end:
            try:
                await self._use_connection(number, requests_per_second, end)
            except (asyncio.IncompleteReadError, OSError):
                # The VM restarts; the client connects again.
                self.unanswered += 1
                await asyncio.sleep(1 / requests_per_second)

    async def _use_connection(
        self, number: int, requests_per_second: float, end: timedelta
    ) -> None:
        reader, writer = await asyncio.open_connection(
            self._vm_id(number), _CLIENT_PORT
        )
        while CLOCK.monotonic() < end:
            writer.write(self._request(number))
            head = await reader.readuntil(b'\r\n\r\n')
            await reader.readexactly(
                int(header_content(head, b'content-length'))
            )
            self.statuses.append(int(head.split(b' ', 2)[1]))
            await asyncio.sleep(1 / requests_per_second)
        writer.close()

    def _request(self, number: int) -> bytes:
        names = self._header_names
        return b'\r\n'.join(
            (
                b'GET /orders/%d HTTP/1.1' % number,
                b'Host: %s' % _HOST.encode(),
                b'%s: %016x' % (names.request_id, next(self._next_id)),
                b'%s: 1000' % names.client_timeout,
                b'\r\n',
            )
        )

    def _start_vm(self, number: int) -> EntryNode:
        control = VmId(f'127.0.{self._shape.network}.1')
        node = EntryNode(
            _entry_settings(self._vm_id(number), number, control),
            self._header_codec,
            CLOCK,
        )
        self._running[number] = asyncio.create_task(node.run(asyncio.Event()))
        return node

    def _vm_id(self, number: int) -> VmId:
        return VmId(f'127.0.{self._shape.network}.{number + 10}')

    async def _stop_entry_vms(self) -> None:
        for running in self._running.values():
            await _cancel(running)

    async def _list(self) -> Result[TargetList, ListProblem]:
        return Ok(TargetList(tuple(_entries(self.targets)), 1))


def _entries(targets: Iterable[LimitedTarget]) -> Iterable[TargetEntry]:
    for number, target in enumerate(targets):
        yield TargetEntry(
            target=TargetId(f'i-{number}'),
            service=_SERVICE,
            address=target.address,
            availability_zone=AvailabilityZoneId(f'{target.region}-a'),
            region=target.region,
            slots=8,
            draining=False,
            started_ms=1,
            cold_seconds=0,
        )


def _control_settings(vm: VmId, folder: Path) -> ControlSettings:
    return ControlSettings(
        vm=vm,
        availability_zone=AvailabilityZoneId('norte-a'),
        region=REGIONS[0],
        data_folder=folder,
        link_port=_LINK_PORT,
        metrics_port=_LINK_PORT + 2,
        seeds=(vm,),
        bootstrap=True,
        tolerated_losses=0,
        list_calls_per_second=10,
    )


def _entry_settings(vm: VmId, number: int, control: VmId) -> EntrySettings:
    region = REGIONS[number % len(REGIONS)]
    return EntrySettings(
        vm=vm,
        availability_zone=AvailabilityZoneId(f'{region}-a'),
        region=region,
        client_address=f'{vm}:{_CLIENT_PORT}',
        ready_address=f'{vm}:{_CLIENT_PORT + 2}',
        metrics_port=_CLIENT_PORT + 3,
        link_port=_LINK_PORT,
        seeds=(control,),
        cold_target_limits=ColdTargetLimits(1.5, 5),
        retry_budget_limits=RetryBudgetLimits(0.2, 58, timedelta(seconds=10)),
        list_lag=timedelta(),
        stop_grace_period=timedelta(seconds=6),
    )


def _items() -> tuple[Item, ...]:
    """Return a service and an idempotent route to it."""
    route = Route(
        host=_HOST,
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
    service = ServicePolicy('/health', 100, 3, 15)
    return (
        Item(ItemKind.SERVICE, _SERVICE, Version(1), service, b'service'),
        Item(ItemKind.ROUTE, 'shop', Version(1), route, b'route'),
    )


async def _cancel(task: 'asyncio.Task[None]') -> None:
    task.cancel()
    await asyncio.wait((task,))
