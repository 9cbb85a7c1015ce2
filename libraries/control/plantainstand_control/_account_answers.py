"""Answers to the questions of entry VMs on accounts.

Only the leader of the log answers, after a read barrier that began when it had
the question. Other control VMs forward the question to it and the answer back;
they never answer from their own state.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

import msgspec
import structlog
from plantainstand_consensus import LogReplica
from plantainstand_core import Clock, VmId
from plantainstand_desired import (
    DesiredState,
    SetAllotmentVms,
    encode_command,
)
from plantainstand_fleet import (
    AccountAnswer,
    AccountQuestion,
    FleetMessage,
    VmRole,
    encode_fleet_message,
)
from plantainstand_links import Link
from result import Err

from plantainstand_control._account_allotments import AccountAllotments
from plantainstand_control._peers import Peers
from plantainstand_control._replica import ReplicaRunner

_log = structlog.get_logger()

BARRIER_TIMEOUT = timedelta(seconds=1)
"""Longest wait for a majority. Entry VMs have asked again by then."""

TERM_TIMEOUT = timedelta(milliseconds=200)
"""Longest delay of the operator's first change in a term. Without the answer of
a majority, the change would hardly be committed either."""

MIN_BATCH_INTERVAL = timedelta(milliseconds=20)
"""Shortest time between two barriers. With a majority one millisecond away,
questions that arrive one by one would otherwise cost hundreds of barriers a
second."""

MAX_WAITING = 1024
"""Entry VMs whose questions wait for the next barrier; above the number of
entry VMs of any deployment."""


@dataclass(frozen=True, slots=True)
class _Waiting:
    """A question that waits for the next barrier."""

    question: AccountQuestion
    """With the entry VM that asks."""

    forwarder: VmId | None
    """Control VM that forwarded the question; None for the own link."""


class AccountAnswers:
    """Answers questions on the leader, forwards them on other control VMs."""

    def __init__(
        self,
        replicas: Callable[[], ReplicaRunner],
        peers: Peers,
        state: Callable[[], DesiredState],
        allotments: AccountAllotments,
        clock: Clock,
    ):
        """``state`` returns the state that the running replica applies to."""
        self._replicas = replicas
        self._peers = peers
        self._state = state
        self._allotments = allotments
        self._clock = clock
        self._waiting: dict[VmId, _Waiting] = {}
        self._arrived = asyncio.Event()
        self._links: dict[VmId, Link] = {}
        self._problem = ''

    async def run(self) -> None:
        """Answer batches of questions until cancelled."""
        while True:
            await self._arrived.wait()
            self._arrived.clear()
            began_at = self._clock.monotonic()
            batch = tuple(self._waiting.values())
            self._waiting.clear()
            await self._answer_batch(batch)
            rest = MIN_BATCH_INTERVAL - (self._clock.monotonic() - began_at)
            await asyncio.sleep(max(rest, timedelta()).total_seconds())

    def receive(
        self,
        link: Link,
        vm: VmId,
        message: AccountQuestion | AccountAnswer,
        role: VmRole,
    ) -> None:
        """Take a message from the link that a VM of this role has opened."""
        if role is VmRole.CONTROL:
            self._receive_forwarded(vm, message)
        elif isinstance(message, AccountQuestion):
            self._links[vm] = link
            self._receive_question(vm, message)

    async def begin_term(self) -> None:
        """Begin a term of this VM before an account may be set in it.

        A leader that knows that there were no accounts before its term need
        not wait for leases of earlier leaders.
        """
        replica = self._replicas().replica
        state = self._state()
        if replica is None:
            return
        term = replica.status().term
        if not self._allotments.lacks(term):
            return
        barrier = await replica.read_barrier(TERM_TIMEOUT)
        if not isinstance(barrier, Err) and replica.status().term == term:
            self._allotments.lead(term, state)

    def check(self) -> None:
        """Follow changes of the leader; call it about twice a second."""
        replica = self._replicas().replica
        leader = self._replicas().leader
        if replica is not None and leader == self._peers.own:
            if self._allotments.lacks(replica.status().term):
                self._arrived.set()
        elif leader is not None:
            self._record_problem('')

    def forget(self, link: Link) -> None:
        """Forget a link that was closed."""
        self._links = {
            vm: known for vm, known in self._links.items() if known is not link
        }

    def _receive_question(self, vm: VmId, question: AccountQuestion) -> None:
        question = msgspec.structs.replace(question, vm=vm)
        leader = self._replicas().leader
        if leader is None:
            self._record_problem('no leader is known')
        elif leader == self._peers.own:
            self._enqueue(_Waiting(question, None))
        else:
            self._record_problem('')
            self._peers.send_message(leader, question)

    def _receive_forwarded(
        self, peer: VmId, message: AccountQuestion | AccountAnswer
    ) -> None:
        if isinstance(message, AccountAnswer):
            self._send_answer(message)
        elif message.vm and self._replicas().leader == self._peers.own:
            # A question is forwarded once: the leader that the sender knows
            # may have been deposed, and the entry VM asks again.
            self._enqueue(_Waiting(message, peer))

    def _enqueue(self, waiting: _Waiting) -> None:
        vm = waiting.question.vm
        known = self._waiting.get(vm)
        if known is None and len(self._waiting) >= MAX_WAITING:
            return
        if known is None or not _is_older(waiting.question, known.question):
            self._waiting[vm] = waiting
            self._arrived.set()

    async def _answer_batch(self, batch: tuple[_Waiting, ...]) -> None:
        replica = self._replicas().replica
        # Both are replaced when the disk is opened again. The barrier holds
        # for the state that belongs to this replica.
        state = self._state()
        if replica is None:
            return
        term = replica.status().term
        barrier = await replica.read_barrier(BARRIER_TIMEOUT)
        if isinstance(barrier, Err):
            if batch:
                self._record_problem(str(barrier.err_value))
            return
        if replica.status().term == term:
            self._allotments.lead(term, state)
        for waiting in batch:
            if replica.status().term != term:
                self._record_problem('the term has ended')
                return
            self._answer(waiting, state, term)
            # Allotments of many accounts take time that other work needs.
            await asyncio.sleep(0)
        self._record_problem('')
        await self._record_vms(replica, state)

    async def _record_vms(
        self, replica: LogReplica, state: DesiredState
    ) -> None:
        """Record VMs that ask for the first time; they ask again."""
        vms = self._allotments.vms_to_record(state)
        if vms is None:
            return
        command = SetAllotmentVms(tuple(sorted(vms)))
        recorded = await replica.propose(
            encode_command(command), BARRIER_TIMEOUT
        )
        _log.info(
            'entry VMs recorded for allotments',
            vms=len(vms),
            outcome='recorded' if recorded.is_ok() else str(recorded.err()),
        )

    def _answer(
        self, waiting: _Waiting, state: DesiredState, term: int
    ) -> None:
        question = waiting.question
        answer = AccountAnswer(
            question.number,
            term,
            state.accounts_index,
            self._allotments.answer(question, state, term),
            vm=question.vm,
            incarnation=question.incarnation,
        )
        if waiting.forwarder is None:
            self._send_answer(answer)
        else:
            self._peers.send_message(waiting.forwarder, answer)

    def _send_answer(self, answer: AccountAnswer) -> None:
        """Send an answer on the link of the entry VM that asked."""
        link = self._links.get(answer.vm)
        if link is not None:
            message: FleetMessage = msgspec.structs.replace(answer, vm=VmId(''))
            link.send(encode_fleet_message(message))

    def _record_problem(self, problem: str) -> None:
        """Log when questions begin or cease to be answered or forwarded."""
        had_problem = bool(self._problem)
        self._problem = problem
        if problem and not had_problem:
            _log.warning(
                'account questions cannot be answered', problem=problem
            )
        elif had_problem and not problem:
            _log.info('account questions are answered again')


def _is_older(question: AccountQuestion, known: AccountQuestion) -> bool:
    known_place = (known.incarnation, known.number)
    return (question.incarnation, question.number) < known_place
