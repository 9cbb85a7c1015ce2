"""Control VMs found their log, take orders, and admit later VMs."""

import asyncio
import unittest
from collections.abc import Callable
from contextlib import AsyncExitStack
from pathlib import Path
from tempfile import TemporaryDirectory

from plantainstand_control import ControlNode, ControlSettings, TargetList
from plantainstand_control._poller import ListProblem
from plantainstand_core import (
    AvailabilityZoneId,
    LogIndex,
    RegionId,
    SystemClock,
    VmId,
)
from plantainstand_desired import ChangeItems, Verdict
from result import Ok, Result

from tests.desired.builders import route_item, service_item

_LINK_PORT = 17540
_METRICS_PORT = 17541
_DEADLINE_SECONDS = 30
_SEEDS = tuple(VmId(f'127.0.7.{number}') for number in (1, 2, 3))
_ALL = (*_SEEDS, VmId('127.0.7.4'), VmId('127.0.7.5'))
_CHANGE = ChangeItems((service_item(), route_item('shop', 5)))


async def _empty_list() -> Result[TargetList, ListProblem]:
    return Ok(TargetList((), 1))


class ControlNodeTests(unittest.IsolatedAsyncioTestCase):
    """The log is founded once, and grows to the tolerated losses."""

    async def asyncSetUp(self) -> None:
        """Own folders and nodes."""
        self.stack = AsyncExitStack()
        self.addAsyncCleanup(self.stack.aclose)
        self.folder = Path(self.stack.enter_context(TemporaryDirectory()))

    async def test_order_reaches_all(self) -> None:
        """An order at the leader is applied by VMs that joined later."""
        nodes = [self._start(vm) for vm in _ALL]
        await self._until(lambda: self._voters(nodes[0]) == set(_ALL))
        outcome = await self._order(nodes)
        self.assertIs(outcome, Verdict.ACCEPTED)
        await self._until(lambda: all(map(_holds_route, nodes)))

    async def test_emptied_disk_is_repaired(self) -> None:
        """A VM whose disk was lost gets the order from the others."""
        nodes = [self._start(vm) for vm in _ALL[1:]]
        async with AsyncExitStack() as stack:
            first = self._start(_ALL[0], stack=stack)
            await self._until(lambda: self._voters(first) == set(_ALL))
            await self._order([first, *nodes])
        emptied = self._start(_ALL[0], folder='emptied', first_start=False)
        await self._until(lambda: _holds_route(emptied))

    def _start(
        self,
        vm: VmId,
        *,
        stack: AsyncExitStack | None = None,
        folder: str = 'first',
        first_start: bool = True,
    ) -> ControlNode:
        data_folder = self.folder / folder / vm
        data_folder.mkdir(parents=True)
        settings = ControlSettings(
            vm=vm,
            availability_zone=AvailabilityZoneId(f'region-{vm[-1]}-a'),
            region=RegionId(f'region-{vm[-1]}'),
            data_folder=data_folder,
            link_port=_LINK_PORT,
            metrics_port=_METRICS_PORT,
            seeds=_SEEDS,
            bootstrap=first_start,
            tolerated_losses=2,
            list_calls_per_second=10,
        )
        node = ControlNode(settings, _empty_list, SystemClock())
        running = asyncio.create_task(node.run(asyncio.Event()))
        (stack or self.stack).push_async_callback(_cancel, running)
        return node

    async def _order(self, nodes: list[ControlNode]) -> Verdict:
        async with asyncio.timeout(_DEADLINE_SECONDS):
            verdict = None
            while verdict is None:
                verdict = await _order_at_any(nodes)
                await asyncio.sleep(0.05)
        return verdict

    async def _until(self, reached: Callable[[], bool]) -> None:
        async with asyncio.timeout(_DEADLINE_SECONDS):
            while not reached():
                await asyncio.sleep(0.05)

    def _voters(self, node: ControlNode) -> set[VmId]:
        status = node._replicas.status
        return set() if status is None else {each.vm for each in status.voters}


async def _order_at_any(nodes: list[ControlNode]) -> Verdict | None:
    for node in nodes:
        outcome = await node.operator.execute_command(_CHANGE)
        if outcome.is_ok():
            return outcome.unwrap().verdict
    return None


def _holds_route(node: ControlNode) -> bool:
    items = node._state.items_after(LogIndex(0))
    return 'shop' in {item.name for item in items}


async def _cancel(task: 'asyncio.Task[None]') -> None:
    task.cancel()
    await asyncio.wait((task,))
