"""Allotments at an entry VM."""

from dataclasses import dataclass
from datetime import timedelta
from enum import Enum

from plantainstand_desired import AccountName
from plantainstand_fleet import AccountAnswer, AccountQuestion, AllotmentUse

from plantainstand_allotments._terms import (
    ANSWER_AGE_LIMIT,
    CLOCK_MARGIN,
    LEASE,
    SEASONED_NUMBER,
    AllotmentTerms,
)
from plantainstand_allotments._usage import AccountUsage


class UseOutcome(Enum):
    """Whether a request may run."""

    GRANTED = 'granted'
    """A run has been counted."""

    EXHAUSTED = 'exhausted'
    """The account's limit is used up over all VMs."""

    WANTED = 'wanted'
    """The VM has no allotment left, but the limit may have room."""

    NOT_LEASED = 'not_leased'
    """The VM has no usable allotment of any account."""


@dataclass(frozen=True, slots=True)
class UsePreview:
    """What ``AllotmentHolder.try_use`` would return, without counting it."""

    outcome: UseOutcome
    left: int | None
    """Runs that may begin before the allotment is used up; None for no limit.
    """

    retry_after: timedelta = timedelta()
    """When a run may be possible, if the outcome is ``EXHAUSTED``."""


UNLIMITED_USE = UsePreview(UseOutcome.GRANTED, None)
"""Preview for an account without a limit."""


class AllotmentHolder:
    """Counts the runs of an entry VM and asks for allotments.

    A request that got ``WANTED`` or ``NOT_LEASED`` and waits calls ``try_use``
    again after the next answer was applied.
    """

    def __init__(self, terms: AllotmentTerms, incarnation: int) -> None:
        """Start without allotments.

        ``incarnation`` identifies the process and is larger than that of each
        process of the VM before.
        """
        self._window = terms.holder_window
        self._incarnation = incarnation
        self._usages: dict[AccountName, AccountUsage] = {}
        self._leased_until: timedelta | None = None
        self._sequence = _QuestionSequence(self._window)
        self._fence = _TermFence()

    def try_use(self, account: AccountName, now: timedelta) -> UseOutcome:
        """Count a run if the account has allotment left.

        The request is counted as demand in any case.
        """
        usage = self._usages.get(account)
        if usage is None:
            usage = AccountUsage(self._window, now)
            self._usages[account] = usage
        leased_until = self._leased_until
        if leased_until is None or now >= leased_until:
            usage.requested_at = now
            usage.wait(now)
            return UseOutcome.NOT_LEASED
        if usage.try_run(now):
            return UseOutcome.GRANTED
        if usage.is_exhausted:
            usage.reject(now)
            return UseOutcome.EXHAUSTED
        usage.wait(now)
        return UseOutcome.WANTED

    def postpone(
        self, account: AccountName, counted_at: timedelta, sent_at: timedelta
    ) -> None:
        """Count a run at the time at which it leaves, not before."""
        usage = self._usages.get(account)
        if usage is None:
            # A run that leaves after its account was forgotten still counts.
            usage = AccountUsage(self._window, sent_at)
            self._usages[account] = usage
        usage.runs.remove(counted_at)
        usage.runs.insert(sent_at)

    def give_back(self, account: AccountName, counted_at: timedelta) -> None:
        """Forget a run that certainly did not happen."""
        usage = self._usages.get(account)
        if usage is not None:
            usage.runs.remove(counted_at)

    def retry_after(self, account: AccountName, now: timedelta) -> timedelta:
        """Return when the next run may be possible for a rejected request.

        Requests that were rejected before and return are taken into account.
        """
        usage = self._usages.get(account)
        if usage is None:
            usage = AccountUsage(self._window, now)
        return usage.promise(now)

    def preview(self, account: AccountName, now: timedelta) -> UsePreview:
        """Tell what a request would get now; counts neither run nor demand."""
        if not self.is_leased(now):
            return UsePreview(UseOutcome.NOT_LEASED, 0)
        usage = self._usages.get(account)
        if usage is None:
            return UsePreview(UseOutcome.WANTED, 0)
        left = usage.left(now)
        if left:
            return UsePreview(UseOutcome.GRANTED, left)
        if usage.is_exhausted:
            wait = usage.wait_for_room(now)
            return UsePreview(UseOutcome.EXHAUSTED, 0, wait)
        return UsePreview(UseOutcome.WANTED, 0)

    def next_question(self, now: timedelta) -> AccountQuestion:
        """Return a question to send now, and only once."""
        if not self.is_leased(now):
            self._drop_allotments(now)
        uses = tuple(self._report(now))
        number = self._sequence.start(now)
        return AccountQuestion(
            number=number,
            incarnation=self._incarnation,
            applied=self._sequence.applied,
            uses=uses,
        )

    def apply(self, answer: AccountAnswer, now: timedelta) -> bool:
        """Use the allotments of an answer; return False if it is ignored."""
        if answer.incarnation != self._incarnation:
            return False
        if not self._fence.admit(answer.term):
            return False
        sent_at = self._sequence.sent_at(answer.number)
        if sent_at is None or now - sent_at > ANSWER_AGE_LIMIT:
            return False
        self._sequence.finish(answer.number)
        self._leased_until = sent_at + LEASE
        self._set_allotments(answer, may_raise=self._fence.may_raise(sent_at))
        self._fence.changed_at = now
        for usage in self._usages.values():
            if usage.waiting_count:
                usage.end_wait(now)
        return True

    def is_leased(self, now: timedelta) -> bool:
        """Tell whether allotments are usable."""
        return self._leased_until is not None and now < self._leased_until

    def _set_allotments(
        self, answer: AccountAnswer, *, may_raise: bool
    ) -> None:
        amounts = {
            allotment.account: allotment for allotment in answer.allotments
        }
        for account, usage in self._usages.items():
            given = amounts.get(account)
            amount = 0 if given is None else given.amount
            if not may_raise:
                amount = min(amount, usage.allotment)
            usage.allotment = amount
            usage.is_exhausted = given is not None and given.is_exhausted
            usage.is_scarce = given is not None and given.is_scarce

    def _drop_allotments(self, now: timedelta) -> None:
        for usage in self._usages.values():
            if usage.allotment:
                usage.allotment = 0
                self._fence.changed_at = now

    def _report(self, now: timedelta) -> list[AllotmentUse]:
        """Return the accounts in use; forget those that are not."""
        uses: list[AllotmentUse] = []
        idle: list[AccountName] = []
        for account, usage in self._usages.items():
            demand = usage.demand(now)
            run_count = len(usage.runs.times)
            if usage.is_idle(now) and not run_count:
                idle.append(account)
                continue
            if usage.return_unused(demand):
                self._fence.changed_at = now
            uses.append(
                AllotmentUse(
                    account=account,
                    allotment=usage.allotment,
                    committed=max(usage.allotment, run_count),
                    demand=demand,
                    waiting=usage.waiting_count,
                )
            )
        for forgotten in idle:
            if self._usages.pop(forgotten).allotment:
                self._fence.changed_at = now
        return uses


class _QuestionSequence:
    """Numbers of questions and the times at which they were sent."""

    def __init__(self, window: timedelta) -> None:
        self.applied = 0
        self._seasoning = window * CLOCK_MARGIN
        self._started_at: timedelta | None = None
        self._number = 0
        self._sent: dict[int, timedelta] = {}

    def start(self, now: timedelta) -> int:
        """Return the number of a question that is sent at ``now``."""
        if self._started_at is None:
            self._started_at = now
        self._number += 1
        if now - self._started_at >= self._seasoning:
            self._number = max(self._number, SEASONED_NUMBER)
        sent = self._sent
        expired = now - ANSWER_AGE_LIMIT
        for number, sent_at in tuple(sent.items()):
            if sent_at >= expired:
                break
            sent.pop(number)
        sent[self._number] = now
        return self._number

    def sent_at(self, number: int) -> timedelta | None:
        """Return when a question was sent whose answer may be applied."""
        return self._sent.get(number)

    def finish(self, applied: int) -> None:
        """Take note that an answer was applied; older ones are ignored."""
        self.applied = applied
        for number in tuple(self._sent):
            if number > applied:
                break
            self._sent.pop(number)


class _TermFence:
    """Keeps answers of different leaders apart."""

    def __init__(self) -> None:
        self.changed_at: timedelta | None = None
        """When the allotments last changed."""

        self._term = 0
        self._fenced_until: timedelta | None = None

    def admit(self, term: int) -> bool:
        """Return False if the leader of a later term has answered."""
        if term < self._term:
            return False
        if term > self._term:
            self._term = term
            self._fenced_until = self.changed_at
        return True

    def may_raise(self, sent_at: timedelta) -> bool:
        """Tell whether the answer to a question may raise allotments.

        The leader of a new term renews what the question reported. If an
        allotment was lowered after that, the leader of the term before may have
        given the difference to another VM.
        """
        return self._fenced_until is None or sent_at > self._fenced_until
