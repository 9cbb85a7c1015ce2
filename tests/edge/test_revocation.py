"""Guards the withdrawal of keys from entry VM to leader and back.

The product's questions, proofs and answers run in simulated time; the network
and the replica of the log are replaced.
"""

import asyncio
import random
import unittest
from collections.abc import Callable
from dataclasses import replace
from datetime import datetime, timedelta
from functools import partial
from types import SimpleNamespace
from typing import Any, cast

from plantainstand_control._account_answers import AccountAnswers
from plantainstand_core import LogIndex, VmId
from plantainstand_desired import (
    AccountMatch,
    ClientAccount,
    DesiredView,
    Item,
    ItemKind,
    RouteMatch,
    Version,
    digest_key,
)
from plantainstand_edge._access import AccessDenial
from plantainstand_edge._account_contact import connect_accounts
from plantainstand_fleet import (
    AccountAnswer,
    AccountQuestion,
    FleetMessage,
    VmRole,
    decode_fleet_message,
)
from result import Ok, Result

from tests.consensus.simulated_loop import run_simulated
from tests.desired.builders import route_item
from tests.edge.builders import SETTINGS

_LIMIT = timedelta(seconds=5)
_KEY = digest_key(b'key')
_ADDED = Item(
    ItemKind.ACCOUNT, 'acme', Version(1), ClientAccount((_KEY,)), index=1
)
_REMOVED = Item(ItemKind.ACCOUNT, 'acme', Version(2), None, index=2)
_ENTRY = VmId('e1')
_LEADER = VmId('c1')
_FOLLOWER = VmId('c2')
_PROBE_SECONDS = 0.01


class _SkewedClock:
    """Clock of the entry VM, which runs at another rate than real time."""

    def __init__(self, rate: float):
        self.rate = rate

    def monotonic(self) -> timedelta:
        """See ``Clock.monotonic``."""
        return self.real() * self.rate

    def real(self) -> timedelta:
        """Return the time of the loop."""
        return timedelta(seconds=asyncio.get_running_loop().time())

    def wall(self) -> datetime:
        """See ``Clock.wall``."""
        raise NotImplementedError


class _Control:
    """A control VM, which stands in for its replica and its links."""

    def __init__(self, world: '_World', own: VmId):
        self.own = own
        self.world = world
        self.leader: VmId | None = _LEADER
        self.is_open = True
        self.answers = AccountAnswers(
            cast(Any, lambda: self),
            cast(Any, self),
            cast(Any, lambda: world.state),
            _SkewedClock(1),
        )

    @property
    def replica(self) -> '_Control':
        """See ``ReplicaRunner.replica``."""
        return self

    def status(self) -> SimpleNamespace:
        """See ``LogReplica.status``."""
        return SimpleNamespace(term=1)

    async def read_barrier(self, _timeout: timedelta) -> Result[int, str]:
        """See ``LogReplica.read_barrier``."""
        await asyncio.sleep(self.world.random.uniform(0, 0.05))
        return Ok(0)

    def send_message(self, destination: VmId, message: FleetMessage) -> None:
        """See ``Peers.send_message``."""
        answers = self.world.controls[destination].answers
        self.world.later(
            partial(
                answers.receive,
                cast(Any, None),
                self.own,
                cast(Any, message),
                VmRole.CONTROL,
            )
        )

    def ask(self, frame: bytes) -> None:
        """Take a frame of the entry VM; stands in for its link."""
        message = decode_fleet_message(frame).unwrap()
        assert isinstance(message, AccountQuestion)
        self.world.asked.append(self.own)
        self.world.later(
            partial(
                self.answers.receive,
                cast(Any, self),
                _ENTRY,
                message,
                VmRole.ENTRY,
            ),
            self.own,
        )

    def send(self, frame: bytes) -> None:
        """Send to the entry VM; stands in for the accepted end of its link."""
        message = decode_fleet_message(frame).unwrap()
        assert isinstance(message, AccountAnswer)
        receive = self.world.contact.questions.receive
        self.world.later(partial(receive, message), self.own)


class _World:
    """An entry VM, the leader, and a control VM that follows it."""

    def __init__(self, seed: int, rate: float = 1, *, strict: bool = True):
        self.random = random.Random(seed)
        self.clock = _SkewedClock(rate)
        self.state = SimpleNamespace(accounts_index=LogIndex(1))
        self.cut: set[VmId] = set()
        self.asked: list[VmId] = []
        self.view = DesiredView()
        self.view.merge((route_item('shop', 1), _ADDED), (), LogIndex(1))
        settings = replace(
            SETTINGS, key_withdrawal_limit=_LIMIT if strict else None
        )
        self.contact = connect_accounts(settings, self.view, self.clock)
        self.controls = {vm: _Control(self, vm) for vm in (_LEADER, _FOLLOWER)}
        self.tasks = [
            asyncio.create_task(control.answers.run())
            for control in self.controls.values()
        ]
        asking = self.contact.questions.run(self._open_links)
        self.tasks.append(asyncio.create_task(asking))

    def later(
        self, action: Callable[[], object], link: VmId | None = None
    ) -> None:
        """Call ``action`` after a delay, unless the link is cut then."""

        def arrive() -> None:
            if link not in self.cut:
                action()

        delay = self.random.uniform(0.001, 0.08)
        asyncio.get_running_loop().call_later(delay, arrive)

    def remove_account(self) -> None:
        """Acknowledge the change that withdraws the key, and send it."""
        self.state.accounts_index = LogIndex(2)
        for control in self.controls:
            apply = partial(self.view.merge, (_REMOVED,), (), LogIndex(2))
            self.later(apply, control)

    def check(self) -> Result[AccountMatch | None, AccessDenial]:
        """Tell whether a request with the key may run now."""
        match = self.view.match('shop.example', '/orders/1')
        assert isinstance(match, RouteMatch)
        return self.contact.checks.access.check(match, _KEY)

    def _open_links(self) -> Any:
        return {
            vm: SimpleNamespace(send=control.ask)
            for vm, control in self.controls.items()
        }


class RevocationTests(unittest.TestCase):
    """A key that works after its withdrawal runs requests of anybody."""

    def test_vm_is_cut_off(self) -> None:
        """The key ends within the limit, wherever messages are lost."""
        for seed in range(60):
            with self.subTest(seed=seed):
                _run(self._cut_off, seed, (0.95, 1, 1.05)[seed % 3])

    def test_vm_in_contact(self) -> None:
        """The key ends with the change, as a key that nobody has."""

        async def test(world: _World) -> None:
            await asyncio.sleep(1)
            self.assertTrue(world.check().is_ok())
            world.remove_account()
            await asyncio.sleep(0.1)
            self.assertIs(world.check().err(), AccessDenial.UNKNOWN_KEY)

        _run(test, 1)

    def test_control_vm_does_not_answer(self) -> None:
        """The next one is asked; no request is rejected meanwhile."""

        async def test(world: _World) -> None:
            await asyncio.sleep(1)
            world.cut.add(_LEADER)
            for _ in range(1000):
                await asyncio.sleep(_PROBE_SECONDS)
                self.assertTrue(world.check().is_ok())
            self.assertLess(world.asked.count(_LEADER), 5)

        _run(test, 1)

    def test_deposed_leader(self) -> None:
        """Without answers keys are not confirmed, rather than unknown."""

        async def test(world: _World) -> None:
            await asyncio.sleep(1)
            for control in world.controls.values():
                control.leader = None
            await asyncio.sleep(5)
            self.assertIs(world.check().err(), AccessDenial.UNCONFIRMED_KEYS)

        _run(test, 1)

    def test_nothing_to_ask(self) -> None:
        """Without accounts, or a limit on withdrawals, nothing is sent.

        Control VMs of the version before close the link on a question.
        """

        async def test() -> None:
            world = _World(1, strict=False)
            world.view.accounts.update((_ADDED,))
            empty = _World(1)
            empty.view.accounts._requires_keys = False
            await asyncio.sleep(2)
            self.assertEqual((world.asked, empty.asked), ([], []))
            self.assertTrue(world.check().is_ok())
            empty.view.accounts.update((_ADDED,))
            empty.contact.questions.check()
            await asyncio.sleep(0.3)
            self.assertTrue(empty.check().is_ok())
            for task in (*world.tasks, *empty.tasks):
                task.cancel()

        run_simulated(test())

    async def _cut_off(self, world: _World) -> None:
        draw = world.random.uniform
        loop = asyncio.get_running_loop()
        await asyncio.sleep(draw(1, 2))
        self.assertTrue(world.check().is_ok())
        loop.call_later(draw(0, 0.3), world.cut.update, world.controls)
        await asyncio.sleep(draw(0, 0.3))
        world.remove_account()
        withdrawn_at = world.clock.real()
        while world.clock.real() - withdrawn_at < 2 * _LIMIT:
            if world.check().is_ok():
                self.assertLess(world.clock.real() - withdrawn_at, _LIMIT)
            await asyncio.sleep(_PROBE_SECONDS)


def _run(test: Callable[[_World], Any], seed: int, rate: float = 1) -> None:
    async def run() -> None:
        world = _World(seed, rate)
        await test(world)
        for task in world.tasks:
            task.cancel()

    run_simulated(run())
