"""A simulated fleet: entry VMs, leaders and the messages between them."""

import heapq
import itertools
import random
from collections import Counter, defaultdict
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from datetime import timedelta

from plantainstand_allotments import (
    AccountLimit,
    AllotmentAuthority,
    AllotmentHolder,
    AllotmentTerms,
    UseOutcome,
)
from plantainstand_core import VmId
from plantainstand_desired import AccountName
from plantainstand_fleet import AccountAnswer, AccountQuestion

TERMS = AllotmentTerms(timedelta(seconds=5), overage=0.1, slack=20)
COUNTED_TIME = 11.6
"""Seconds for which the registry of control VMs counts a silent VM."""


@dataclass(frozen=True)
class Faults:
    """Chances of faults, for each message, request or second."""

    loss: float = 0
    long_delay: float = 0
    stale_leader: float = 0
    freezes: float = 0
    restarts: float = 0
    elections: float = 0
    clock_drift: float = 0


@dataclass
class _Leader:
    """One term of a leader."""

    term: int
    authority: AllotmentAuthority
    deposed_at: float = float('inf')


@dataclass
class _Vm:
    """An entry VM and the requests that wait on it."""

    name: VmId
    rate: float
    holder: AllotmentHolder
    incarnation: int = 1
    frozen_until: float = 0
    asked_at: float = -1
    waiting: list[tuple[float, AccountName]] = field(default_factory=list)

    def clock(self, now: float) -> timedelta:
        """Return the reading of the VM's clock."""
        return timedelta(seconds=1000 + now * self.rate)


class World:
    """Runs the fleet and records each run of an account."""

    def __init__(
        self,
        vm_count: int,
        limits: Mapping[AccountName, AccountLimit],
        faults: Faults,
        seed: int,
    ) -> None:
        """Create a fleet whose first leader was elected long ago."""
        self.now: float = 0
        self.limits = dict(limits)
        self.runs: defaultdict[AccountName, list[float]] = defaultdict(list)
        self.outcomes: Counter[tuple[AccountName, UseOutcome]] = Counter()
        self.random = random.Random(seed)
        self._faults = faults
        self._order = itertools.count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._heard_at: dict[VmId, float] = {}
        authority = AllotmentAuthority(TERMS, timedelta(seconds=-60))
        self._leaders = [_Leader(1, authority)]
        self.vms = [self._new_vm(number) for number in range(vm_count)]
        for vm in self.vms:
            self.at(self.random.random() / 2, self._ask_regularly, vm)

    def at(
        self, moment: float, action: Callable[..., None], *args: object
    ) -> None:
        """Do something at a time."""
        event = (moment, next(self._order), lambda: action(*args))
        heapq.heappush(self._events, event)

    def run_until(self, end: float) -> None:
        """Let time pass."""
        while self._events[0][0] <= end:
            event = heapq.heappop(self._events)
            self.now = event[0]
            event[2]()
        self.now = end

    def add_faults(self, end: float) -> None:
        """Schedule freezes, restarts and elections until ``end``."""
        rates = (
            (self._faults.freezes, self.freeze),
            (self._faults.restarts, self.restart),
            (self._faults.elections, self.elect),
        )
        for rate, fault in rates:
            moment = self.random.expovariate(rate) if rate else end
            while moment < end:
                self.at(moment, fault)
                moment += self.random.expovariate(rate)

    def add_load(
        self,
        account: AccountName,
        vms: Sequence[int],
        rate: float,
        period: tuple[float, float],
    ) -> None:
        """Schedule requests that arrive at random at some VMs."""
        moment, end = period
        moment += self.random.expovariate(rate)
        while moment < end:
            vm = self.vms[self.random.choice(vms)]
            self.at(moment, self._request, vm, account, moment)
            moment += self.random.expovariate(rate)

    def freeze(self) -> None:
        """Stop a VM for a time; messages to it wait."""
        vm = self.random.choice(self.vms)
        vm.frozen_until = self.now + self.random.choice((0.5, 2, 4, 8, 14))

    def restart(self) -> None:
        """Replace the process of a VM, which forgets everything."""
        vm = self.random.choice(self.vms)
        vm.incarnation += 1
        vm.holder = AllotmentHolder(TERMS, vm.incarnation)
        vm.waiting.clear()
        vm.frozen_until = self.now + self.random.choice((0, 0.2, 3))

    def elect(self) -> None:
        """Elect a leader; the one before does not notice."""
        old = self._leaders[-1]
        old.deposed_at = self.now
        authority = AllotmentAuthority(TERMS, self._leader_clock())
        self._leaders.append(_Leader(old.term + 1, authority))

    def busiest_window(self, account: AccountName, after: float = 0) -> int:
        """Return the most runs in any window of the limit."""
        times = sorted(run for run in self.runs[account] if run >= after)
        first = 0
        most = 0
        for last, moment in enumerate(times):
            while times[first] <= moment - TERMS.window.total_seconds():
                first += 1
            most = max(most, last + 1 - first)
        return most

    def count(self, account: AccountName, start: float, end: float) -> int:
        """Return the runs in a period."""
        return sum(start <= run < end for run in self.runs[account])

    def _new_vm(self, number: int) -> _Vm:
        drift = self.random.choice((-1, 0, 1)) * self._faults.clock_drift
        holder = AllotmentHolder(TERMS, 1)
        return _Vm(VmId(f'vm-{number}'), 1 + drift, holder)

    def _leader_clock(self) -> timedelta:
        return timedelta(seconds=self.now)

    def _delay(self) -> float:
        if self.random.random() < self._faults.long_delay:
            return self.random.uniform(0.1, 2.5)
        return self.random.uniform(0.001, 0.03)

    def _request(self, vm: _Vm, account: AccountName, since: float) -> None:
        if vm.frozen_until > self.now:
            return
        clock = vm.clock(self.now)
        outcome = vm.holder.try_use(account, clock)
        if outcome is UseOutcome.GRANTED:
            self._run(vm, account, clock)
        elif outcome is not UseOutcome.EXHAUSTED and self.now < since + 0.2:
            vm.waiting.append((since, account))
            if self.now >= vm.asked_at + 0.05:
                self._ask(vm)
            return
        self.outcomes[account, outcome] += 1

    def _run(self, vm: _Vm, account: AccountName, clock: timedelta) -> None:
        runs = self.runs[account]
        fate = self.random.randrange(100) if self._faults.loss else 100
        if fate < 5:
            vm.holder.give_back(account, clock)
        elif fate < 15:
            delay = fate / 200
            runs.append(self.now + delay)
            sent_at = clock + timedelta(seconds=delay * vm.rate)
            args = (account, clock, sent_at)
            self.at(self.now + delay, vm.holder.postpone, *args)
        else:
            runs.append(self.now)

    def _ask_regularly(self, vm: _Vm) -> None:
        self.at(self.now + 0.5, self._ask_regularly, vm)
        if vm.frozen_until <= self.now:
            self._ask(vm)

    def _ask(self, vm: _Vm) -> None:
        vm.asked_at = self.now
        question = vm.holder.next_question(vm.clock(self.now))
        if self.random.random() < self._faults.loss:
            return
        leader = self._leaders[-1]
        if self.random.random() < self._faults.stale_leader:
            leader = self._leaders[max(0, len(self._leaders) - 2)]
        self.at(self.now + self._delay(), self._arrive, vm, leader, question)

    def _arrive(
        self, vm: _Vm, leader: _Leader, question: AccountQuestion
    ) -> None:
        """Begin the read barrier; the answer is computed before or after."""
        self._heard_at[vm.name] = self.now
        is_confirmed = self.now < leader.deposed_at
        moment = self.now + self.random.choice((0, 1)) * self._delay()
        args = (vm, leader, question, is_confirmed)
        self.at(moment, self._answer, *args)

    def _answer(
        self,
        vm: _Vm,
        leader: _Leader,
        question: AccountQuestion,
        is_confirmed: bool,
    ) -> None:
        counted = [
            name
            for name, heard_at in self._heard_at.items()
            if self.now - heard_at < COUNTED_TIME
        ]
        allotments = leader.authority.answer(
            vm.name, question, self.limits, counted, self._leader_clock()
        )
        answer = AccountAnswer(
            number=question.number,
            term=leader.term,
            accounts_index=0,
            allotments=allotments,
            incarnation=question.incarnation,
        )
        if is_confirmed and self.random.random() >= self._faults.loss:
            self.at(self.now + self._delay(), self._apply, vm, answer)

    def _apply(self, vm: _Vm, answer: AccountAnswer) -> None:
        if vm.frozen_until > self.now:
            self.at(vm.frozen_until, self._apply, vm, answer)
            return
        if vm.holder.apply(answer, vm.clock(self.now)):
            waiting = tuple(vm.waiting)
            vm.waiting.clear()
            for since, account in waiting:
                self._request(vm, account, since)
