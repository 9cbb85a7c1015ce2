"""Questions on accounts from entry VMs to the leader, in simulated time.

The product's questions, proofs, limits and answers run; the network and the
replica of the log are replaced. One control VM leads, the other one follows.
"""

import asyncio
import random
from collections.abc import Callable
from dataclasses import replace
from datetime import UTC, datetime, timedelta
from functools import partial
from types import SimpleNamespace
from typing import Any, cast

import msgspec
from plantainstand_allotments import AllotmentTerms
from plantainstand_control._account_allotments import AccountAllotments
from plantainstand_control._account_answers import AccountAnswers
from plantainstand_core import LogIndex, VmId
from plantainstand_desired import (
    AccountMatch,
    ClientAccount,
    DesiredView,
    Item,
    ItemKind,
    SetAllotmentVms,
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

WITHDRAWAL_LIMIT = timedelta(seconds=5)
LEADER = VmId('c1')
FOLLOWER = VmId('c2')
KEY = digest_key(b'key')
_CHECK_SECONDS = 0.5
_REMOVED = Item(ItemKind.ACCOUNT, 'acme', Version(2), None, index=2)


class SkewedClock:
    """Clock that runs at another rate than the loop's time."""

    def __init__(self, rate: float = 1):
        """Start with the time of the loop."""
        self._rate = rate

    def monotonic(self) -> timedelta:
        """See ``Clock.monotonic``."""
        return self.real() * self._rate

    def real(self) -> timedelta:
        """Return the time of the loop."""
        return timedelta(seconds=asyncio.get_running_loop().time())

    def wall(self) -> datetime:
        """See ``Clock.wall``."""
        return datetime.fromtimestamp(self.real().total_seconds(), UTC)


class SimulatedEntry:
    """The part of an entry VM that concerns accounts."""

    def __init__(self, world: 'SimulatedAccounts', vm: VmId, rate: float):
        """Start with one route and one account."""
        self.vm = vm
        self.clock = SkewedClock(rate)
        self.asked: list[VmId] = []
        self.view = DesiredView()
        items = (route_item('shop', 1), world.account)
        self.view.merge(items, (), LogIndex(1))
        self.contact = connect_accounts(
            replace(
                SETTINGS,
                vm=vm,
                key_withdrawal_limit=world.withdrawal_limit,
                account_terms=world.terms,
            ),
            self.view,
            self.clock,
        )

    def check(self) -> Result[AccountMatch | None, AccessDenial]:
        """Tell whether a request with the key may run now."""
        match = self.view.match('shop.example', '/orders/1')
        assert match is not None
        return self.contact.checks.access.check(match, KEY)


class SimulatedControl:
    """A control VM, which stands in for its replica and its links."""

    def __init__(self, world: 'SimulatedAccounts', own: VmId):
        """Start with the leader of the simulation."""
        self.own = own
        self.leader: VmId | None = LEADER
        self.term = 1
        self._world = world
        self.allotments = AccountAllotments(world.terms, SkewedClock())
        self.answers = AccountAnswers(
            cast(Any, lambda: self),
            cast(Any, self),
            cast(Any, lambda: world.state),
            self.allotments,
            SkewedClock(),
        )

    @property
    def replica(self) -> 'SimulatedControl':
        """See ``ReplicaRunner.replica``."""
        return self

    def status(self) -> SimpleNamespace:
        """See ``LogReplica.status``."""
        return SimpleNamespace(term=self.term)

    async def read_barrier(self, _timeout: timedelta) -> Result[int, str]:
        """See ``LogReplica.read_barrier``."""
        await asyncio.sleep(self._world.random.uniform(0, 0.05))
        return Ok(0)

    async def propose(
        self, payload: bytes, _timeout: timedelta
    ) -> Result[bytes, str]:
        """See ``LogReplica.propose``; records the VMs that have asked."""
        command = msgspec.msgpack.decode(payload, type=SetAllotmentVms)
        await asyncio.sleep(self._world.random.uniform(0, 0.05))
        self._world.state.allotment_vms = frozenset(command.vms)
        return Ok(b'')

    def send_message(self, destination: VmId, message: FleetMessage) -> None:
        """See ``Peers.send_message``."""
        receive = self._world.controls[destination].answers.receive
        self._world.later(
            partial(
                receive,
                cast(Any, None),
                self.own,
                cast(Any, message),
                VmRole.CONTROL,
            )
        )

    def ask(self, entry: SimulatedEntry, frame: bytes) -> None:
        """Take a question of an entry VM."""
        message = decode_fleet_message(frame).unwrap()
        assert isinstance(message, AccountQuestion)
        entry.asked.append(self.own)
        link = SimpleNamespace(send=partial(self.send, entry))
        self._world.later(
            partial(
                self.answers.receive,
                cast(Any, link),
                entry.vm,
                message,
                VmRole.ENTRY,
            ),
            (entry.vm, self.own),
        )

    def send(self, entry: SimulatedEntry, frame: bytes) -> None:
        """Send an answer to an entry VM."""
        message = decode_fleet_message(frame).unwrap()
        assert isinstance(message, AccountAnswer)
        receive = entry.contact.questions.receive
        self._world.later(partial(receive, message), (entry.vm, self.own))


class SimulatedAccounts:
    """Entry VMs, the leader, and a control VM that follows it."""

    def __init__(
        self,
        seed: int,
        *,
        rate: float = 1,
        withdrawal_limit: timedelta | None = WITHDRAWAL_LIMIT,
        terms: AllotmentTerms | None = None,
        entry_count: int = 1,
        limit: tuple[float, float] = (0, 0),
        longest_delay: float = 0.08,
    ):
        """Start all VMs; ``rate`` is that of the clocks of entry VMs.

        ``longest_delay`` is that of a message in seconds.
        """
        self._longest_delay = longest_delay
        self.random = random.Random(seed)
        self.withdrawal_limit = withdrawal_limit
        self.terms = terms
        self.account = Item(
            ItemKind.ACCOUNT,
            'acme',
            Version(1),
            ClientAccount((KEY,), None, *limit),
            index=1,
        )
        self.state = SimpleNamespace(
            accounts_index=LogIndex(1),
            current_items=(self.account,),
            allotment_vms=frozenset(),
        )
        self.cut: set[tuple[VmId, VmId]] = set()
        self.entries = [
            SimulatedEntry(self, VmId(f'e{number}'), rate)
            for number in range(entry_count)
        ]
        self.controls = {
            vm: SimulatedControl(self, vm) for vm in (LEADER, FOLLOWER)
        }
        self._tasks = [
            asyncio.create_task(control.answers.run())
            for control in self.controls.values()
        ]
        for entry in self.entries:
            asking = entry.contact.questions.run(
                partial(self._open_links, entry)
            )
            self._tasks.append(asyncio.create_task(asking))
        self._tasks.append(asyncio.create_task(self._check_answers()))

    @property
    def entry(self) -> SimulatedEntry:
        """The first entry VM."""
        return self.entries[0]

    def cut_off(self, entry: SimulatedEntry) -> None:
        """Lose all messages between an entry VM and the control VMs."""
        self.cut.update((entry.vm, control) for control in self.controls)

    def later(
        self,
        action: Callable[[], object],
        link: tuple[VmId, VmId] | None = None,
    ) -> None:
        """Call ``action`` after a delay, unless the link is cut then."""

        def arrive() -> None:
            if link not in self.cut:
                action()

        delay = self.random.uniform(0.001, self._longest_delay)
        asyncio.get_running_loop().call_later(delay, arrive)

    def remove_account(self) -> None:
        """Acknowledge the change that withdraws the key, and send it."""
        self.state.accounts_index = LogIndex(2)
        for entry in self.entries:
            apply = partial(entry.view.merge, (_REMOVED,), (), LogIndex(2))
            for control in self.controls:
                self.later(apply, (entry.vm, control))

    def stop(self) -> None:
        """End all tasks."""
        for task in self._tasks:
            task.cancel()

    async def _check_answers(self) -> None:
        while True:
            for control in self.controls.values():
                control.answers.check()
            await asyncio.sleep(_CHECK_SECONDS)

    def _open_links(self, entry: SimulatedEntry) -> Any:
        return {
            vm: SimpleNamespace(send=partial(control.ask, entry))
            for vm, control in self.controls.items()
        }


def run_with_accounts(
    test: Callable[[SimulatedAccounts], Any], seed: int, **options: Any
) -> None:
    """Run a test in a simulated loop."""

    async def run() -> None:
        world = SimulatedAccounts(seed, **options)
        await test(world)
        world.stop()

    run_simulated(run())
