"""Guards the answers that let entry VMs use keys."""

import asyncio
import unittest
from collections.abc import Callable
from datetime import timedelta
from types import SimpleNamespace
from typing import Any, cast
from unittest.mock import patch

from plantainstand_allotments import AllotmentTerms
from plantainstand_control._account_allotments import AccountAllotments
from plantainstand_control._account_answers import AccountAnswers
from plantainstand_core import LogIndex, VmId
from plantainstand_fleet import (
    AccountAnswer,
    AccountQuestion,
    FleetMessage,
    VmRole,
    decode_fleet_message,
)
from result import Err, Ok

from tests.consensus.simulated_loop import SimulatedLoop, run_simulated

_OWN = VmId('c1')
_OTHER = VmId('c2')
_ENTRY = VmId('e1')
_TERMS = AllotmentTerms(timedelta(seconds=5), 0.1, 20)
_LOG = 'plantainstand_control._account_answers._log'


class _Link:
    """Link of an entry VM, or of another control VM."""

    def __init__(self) -> None:
        self.answers: list[AccountAnswer] = []

    def send(self, frame: bytes) -> None:
        """See ``Link.send``."""
        message = decode_fleet_message(frame).unwrap()
        assert isinstance(message, AccountAnswer)
        self.answers.append(message)


class _World:
    """A control VM; stands in for its replica, and for its links to others."""

    own = _OWN

    def __init__(self) -> None:
        self.leader: VmId | None = _OWN
        self.term = 3
        self.state = _state(7)
        self.replica: _World | None = self
        self.barriers: list[asyncio.Future[Any]] = []
        self.sent: list[tuple[VmId, FleetMessage]] = []
        self.link = _Link()
        clock = cast(SimulatedLoop, asyncio.get_running_loop())
        self.allotments = AccountAllotments(_TERMS, clock)
        self.answers = AccountAnswers(
            cast(Any, lambda: self),
            cast(Any, self),
            cast(Any, lambda: self.state),
            self.allotments,
            clock,
        )
        self.running = asyncio.create_task(self.answers.run())

    def status(self) -> SimpleNamespace:
        """See ``LogReplica.status``."""
        return SimpleNamespace(term=self.term)

    async def read_barrier(self, _timeout: timedelta) -> Any:
        """See ``LogReplica.read_barrier``."""
        self.barriers.append(asyncio.get_running_loop().create_future())
        return await self.barriers[-1]

    def send_message(self, destination: VmId, message: FleetMessage) -> None:
        """See ``Peers.send_message``."""
        self.sent.append((destination, message))

    def ask(self, number: int, vm: VmId = _ENTRY) -> None:
        """Deliver a question of an entry VM."""
        self.answers.receive(
            cast(Any, self.link), vm, AccountQuestion(number, 9), VmRole.ENTRY
        )

    def forward(self, message: AccountQuestion | AccountAnswer) -> None:
        """Deliver a message of another control VM."""
        self.answers.receive(
            cast(Any, _Link()), _OTHER, message, VmRole.CONTROL
        )

    async def confirm(self, outcome: Any) -> None:
        """End the barrier that is in progress."""
        self.barriers[-1].set_result(outcome)
        await asyncio.sleep(0.1)


class AccountAnswerTests(unittest.TestCase):
    """An answer from a state that may be old lets withdrawn keys be used."""

    def test_barrier_begins_after_the_question(self) -> None:
        """A question that arrives during a barrier waits for the next one."""

        async def test(world: _World) -> None:
            world.ask(1)
            await asyncio.sleep(0.1)
            world.ask(2, VmId('e2'))
            world.forward(AccountQuestion(4, 8, vm=VmId('e3')))
            world.state.accounts_index = LogIndex(8)
            await world.confirm(Ok(LogIndex(8)))
            self.assertEqual(_numbers(world), [1])
            self.assertEqual(len(world.barriers), 2)
            world.state.accounts_index = LogIndex(9)
            await world.confirm(Ok(LogIndex(9)))
            self.assertEqual(
                world.link.answers[-1], AccountAnswer(2, 3, 9, incarnation=9)
            )
            forwarded = AccountAnswer(4, 3, 9, vm=VmId('e3'), incarnation=8)
            self.assertEqual(world.sent, [(_OTHER, forwarded)])
            self.assertEqual(len(world.barriers), 2)

        _run(test)

    def test_newest_question_of_a_vm(self) -> None:
        """A VM gets one answer for each barrier, however often it asks."""

        async def test(world: _World) -> None:
            for number in (1, 3, 2):
                world.ask(number)
            await asyncio.sleep(0.1)
            await world.confirm(Ok(LogIndex(8)))
            self.assertEqual(_numbers(world), [3])

        _run(test)

    def test_deposed_leader(self) -> None:
        """Without the barrier, or after its term, nothing is answered."""

        async def test(world: _World) -> None:
            world.ask(1)
            await asyncio.sleep(0.1)
            with patch(_LOG) as log:
                await world.confirm(Err('not leader'))
                world.ask(2)
                await asyncio.sleep(0.1)
                world.term += 1
                await world.confirm(Ok(LogIndex(8)))
            self.assertEqual(world.link.answers, [])
            self.assertEqual(log.warning.call_count, 1)

        _run(test)

    def test_replaced_replica(self) -> None:
        """An empty state of a reopened disk does not answer for the old one."""

        async def test(world: _World) -> None:
            world.ask(1)
            await asyncio.sleep(0.1)
            world.state = _state(0)
            await world.confirm(Ok(LogIndex(8)))
            self.assertEqual(world.link.answers[0].accounts_index, 7)
            world.replica = None
            world.ask(2)
            await asyncio.sleep(0.1)
            self.assertEqual(_numbers(world), [1])

        _run(test)

    def test_follower(self) -> None:
        """It forwards the question and the answer, and never answers."""

        async def test(world: _World) -> None:
            world.leader = _OTHER
            world.ask(1)
            question = AccountQuestion(1, 9, vm=_ENTRY)
            self.assertEqual(world.sent, [(_OTHER, question)])
            world.forward(AccountAnswer(1, 3, 7, vm=_ENTRY, incarnation=9))
            world.forward(AccountAnswer(1, 3, 7, vm=VmId('e9')))
            answer = AccountAnswer(1, 3, 7, incarnation=9)
            self.assertEqual(world.link.answers, [answer])
            # Leaders that each VM believes the other to be would go on.
            world.forward(question)
            await asyncio.sleep(0.1)
            self.assertEqual((len(world.sent), world.barriers), (1, []))

        _run(test)

    def test_change_of_leader(self) -> None:
        """Without a leader a question is dropped; the next one is forwarded."""

        async def test(world: _World) -> None:
            world.leader = None
            world.ask(1)
            world.leader = _OTHER
            world.ask(2)
            numbers = [cast(Any, message).number for _, message in world.sent]
            self.assertEqual(numbers, [2])
            self.assertEqual(world.barriers, [])

        _run(test)

    def test_first_change_of_a_term(self) -> None:
        """Only a confirmed leader may take it that there were no accounts."""

        async def test(world: _World) -> None:
            await self._begin_term(world, Err('timed out'))
            self.assertTrue(world.allotments.lacks(3))
            await self._begin_term(world, Ok(0), next_term=4)
            self.assertTrue(world.allotments.lacks(3))
            await self._begin_term(world, Ok(0))
            self.assertFalse(world.allotments.lacks(4))
            # Another change of the term needs no barrier.
            await world.answers.begin_term()

        _run(test)

    def test_closed_link(self) -> None:
        """An answer to a VM that has gone is dropped, and the link is freed."""

        async def test(world: _World) -> None:
            world.ask(1)
            await asyncio.sleep(0.1)
            world.answers.forget(cast(Any, world.link))
            await world.confirm(Ok(LogIndex(8)))
            self.assertEqual(world.link.answers, [])
            self.assertEqual(world.answers._links, {})

        _run(test)

    async def _begin_term(
        self, world: _World, outcome: Any, next_term: int | None = None
    ) -> None:
        beginning = asyncio.create_task(world.answers.begin_term())
        await asyncio.sleep(0.1)
        world.term = next_term or world.term
        await world.confirm(outcome)
        await beginning


def _state(accounts_index: int) -> SimpleNamespace:
    return SimpleNamespace(
        accounts_index=LogIndex(accounts_index),
        current_items=(),
        allotment_vms=frozenset((_ENTRY,)),
    )


def _numbers(world: _World) -> list[int]:
    return [answer.number for answer in world.link.answers]


def _run(test: Callable[[_World], Any]) -> None:
    async def run() -> None:
        world = _World()
        await test(world)
        world.running.cancel()

    run_simulated(run())
