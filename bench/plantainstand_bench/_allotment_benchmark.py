"""Measures the split of account limits among entry VMs."""

import time
from collections import Counter
from collections.abc import Mapping
from datetime import timedelta

from plantainstand_allotments import (
    AccountLimit,
    AllotmentAuthority,
    AllotmentHolder,
    AllotmentTerms,
)
from plantainstand_core import VmId
from plantainstand_desired import AccountName
from plantainstand_fleet import AccountAnswer

_TERMS = AllotmentTerms(timedelta(seconds=5), overage=0.1, slack=20)
_VM_COUNTS = (88, 300)
_ACCOUNT_COUNT = 87
_KEY_COUNT = 10000
_ROUNDS = 6
_INTERVAL = timedelta(milliseconds=500)
_NANOSECONDS = 1000  # In a microsecond.


def measure_allotments() -> Mapping[str, float]:
    """Return the cost of an answer, a question and a request."""
    figures: dict[str, float] = {}
    for vm_count in _VM_COUNTS:
        fleet = _Fleet(vm_count, _limits(_ACCOUNT_COUNT))
        fleet.run()
        size = f'{vm_count}_vms_{_ACCOUNT_COUNT}_accounts'
        figures[f'answer_us_{size}'] = fleet.mean('answer')
        figures[f'question_us_{size}'] = fleet.mean('question')
    fleet = _Fleet(1, _limits(_KEY_COUNT))
    fleet.run()
    use_cost = fleet.mean('uses') / _KEY_COUNT
    figures[f'try_use_us_{_KEY_COUNT}_accounts'] = use_cost
    return figures


def _limits(count: int) -> Mapping[AccountName, AccountLimit]:
    return {
        AccountName(f'account-{number}'): AccountLimit(200, burst=200)
        for number in range(count)
    }


class _Fleet:
    """VMs that use all accounts and ask in turn."""

    def __init__(
        self, vm_count: int, limits: Mapping[AccountName, AccountLimit]
    ) -> None:
        self._limits = limits
        self._spent: Counter[str] = Counter()
        self._authority = AllotmentAuthority(
            _TERMS, timedelta(), has_predecessor=False
        )
        self._holders = {
            VmId(f'vm-{number}'): AllotmentHolder(_TERMS, 1)
            for number in range(vm_count)
        }

    def run(self) -> None:
        """Let each VM use all accounts and ask, several times."""
        for step in range(_ROUNDS):
            for vm, holder in self._holders.items():
                self._exchange(vm, holder, _INTERVAL * step)

    def mean(self, step: str) -> float:
        """Return the mean time of a step in microseconds."""
        count = _ROUNDS * len(self._holders)
        return self._spent[step] / count / _NANOSECONDS

    def _exchange(
        self, vm: VmId, holder: AllotmentHolder, now: timedelta
    ) -> None:
        start = time.perf_counter_ns()
        for account in self._limits:
            holder.try_use(account, now)
        start = self._note('uses', start)
        question = holder.next_question(now)
        start = self._note('question', start)
        allotments = self._authority.answer(
            vm, question, self._limits, self._holders.keys(), now
        )
        self._note('answer', start)
        answer = AccountAnswer(question.number, 1, 0, allotments, vm, 1)
        holder.apply(answer, now)

    def _note(self, step: str, start: int) -> int:
        """Add the time since ``start``; return the time now."""
        now = time.perf_counter_ns()
        self._spent[step] += now - start
        return now
