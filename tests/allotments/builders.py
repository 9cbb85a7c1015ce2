"""Holders and authorities that exchange single messages."""

from collections.abc import Collection
from datetime import timedelta
from types import MappingProxyType

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

TERMS = AllotmentTerms(timedelta(seconds=5), overage=0, slack=0)
ACCOUNT = AccountName('account')
TOTAL = 20
LIMITS = MappingProxyType({ACCOUNT: AccountLimit(4, burst=0)})
VMS = (VmId('a'), VmId('b'))


def at(seconds: float) -> timedelta:
    """Return a clock's reading."""
    return timedelta(seconds=100 + seconds)


def settled_authority() -> AllotmentAuthority:
    """Return the authority of a term without predecessor."""
    return AllotmentAuthority(TERMS, at(0), has_predecessor=False)


class Exchange:
    """One VM's holder, and one leader that answers it."""

    def __init__(self, vm: VmId, incarnation: int = 1) -> None:
        """Start a process."""
        self.vm = vm
        self.incarnation = incarnation
        self.holder = AllotmentHolder(TERMS, incarnation)

    def request(self, count: int, seconds: float) -> int:
        """Try to run requests; return how many may run."""
        outcomes = [
            self.holder.try_use(ACCOUNT, at(seconds)) for _ in range(count)
        ]
        return outcomes.count(UseOutcome.GRANTED)

    def ask(self, seconds: float) -> AccountQuestion:
        """Return the next question."""
        return self.holder.next_question(at(seconds))

    def answer(
        self,
        authority: AllotmentAuthority,
        question: AccountQuestion,
        seconds: float,
        term: int = 1,
        counted: Collection[VmId] = VMS,
    ) -> AccountAnswer:
        """Return a leader's answer to a question."""
        allotments = authority.answer(
            self.vm, question, LIMITS, counted, at(seconds)
        )
        return AccountAnswer(
            number=question.number,
            term=term,
            accounts_index=0,
            allotments=allotments,
            incarnation=self.incarnation,
        )

    def renew(
        self, authority: AllotmentAuthority, seconds: float, term: int = 1
    ) -> int:
        """Ask, get the answer at once and return the allotment."""
        answer = self.answer(authority, self.ask(seconds), seconds, term)
        self.holder.apply(answer, at(seconds))
        return allotted(answer)


def allotted(answer: AccountAnswer) -> int:
    """Return the amount in an answer."""
    return sum(allotment.amount for allotment in answer.allotments)
