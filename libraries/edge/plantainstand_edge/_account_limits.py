"""Limits on the runs of accounts, over all entry VMs together."""

from dataclasses import dataclass
from datetime import timedelta

import structlog
from plantainstand_allotments import (
    UNLIMITED_USE,
    AllotmentHolder,
    UseOutcome,
    UsePreview,
)
from plantainstand_core import Clock
from plantainstand_desired import AccountName, AccountView
from plantainstand_fleet import AccountAnswer, AccountQuestion
from result import Err, Ok, Result

from plantainstand_edge._access import PermitDenial
from plantainstand_edge._account_questions import (
    QUESTION_INTERVAL,
    AccountQuestions,
)

_log = structlog.get_logger()

ANSWER_WAIT = timedelta(milliseconds=200)
"""Longest wait of a request for an allotment."""

RECOVERY_TIME = timedelta(seconds=5)
"""Time without a rejected request after which an account counts as below its
limit again. An account at its limit alternates between runs and rejections."""


@dataclass(slots=True)
class _Exhaustion:
    """An account that has reached its limit at this VM."""

    last_rejected_at: timedelta
    rejected: int = 0


class AllotmentQuestions:
    """Asks for the allotments of a holder; see ``QuestionSource``."""

    def __init__(self, holder: AllotmentHolder):
        """Start without answers."""
        self.scarce: frozenset[AccountName] = frozenset()
        """Accounts whose limits are used up, or nearly so, over all VMs."""

        self._holder = holder

    def next_question(self, now: timedelta) -> AccountQuestion:
        """See ``QuestionSource.next_question``."""
        return self._holder.next_question(now)

    def apply(self, answer: AccountAnswer, now: timedelta) -> bool:
        """See ``QuestionSource.apply``."""
        is_applied = self._holder.apply(answer, now)
        if is_applied:
            self.scarce = frozenset(
                allotment.account
                for allotment in answer.allotments
                if allotment.is_scarce or allotment.is_exhausted
            )
        return is_applied


class AccountLimits:
    """Counts runs against allotments, and asks for more when needed."""

    def __init__(
        self,
        holder: AllotmentHolder,
        source: AllotmentQuestions,
        questions: AccountQuestions,
        accounts: AccountView,
        clock: Clock,
    ):
        """``questions`` asks for the allotments of ``holder``."""
        self._holder = holder
        self._source = source
        self._questions = questions
        self._accounts = accounts
        self._clock = clock
        self._exhausted: dict[AccountName, _Exhaustion] = {}
        self._was_leased = False

    @property
    def exhausted_count(self) -> int:
        """Number of accounts that have reached their limits at this VM."""
        return len(self._exhausted)

    async def acquire(
        self, account: AccountName
    ) -> Result[timedelta, PermitDenial]:
        """See ``RunPermits.acquire``."""
        now = self._clock.monotonic()
        if not self._accounts.has_limit(account):
            return Ok(now)
        outcome = self._holder.try_use(account, now)
        if outcome in {UseOutcome.WANTED, UseOutcome.NOT_LEASED}:
            outcome = await self._wait(account, outcome)
            now = self._clock.monotonic()
        if outcome is UseOutcome.GRANTED:
            return Ok(now)
        if self._is_over_limit(account, outcome):
            self._record_rejection(account, now)
            return Err(
                PermitDenial(True, self._holder.retry_after(account, now))
            )
        # Without an answer, or with one of a leader that does not know all
        # allotments yet, the account may be below its limit.
        return Err(PermitDenial(False, QUESTION_INTERVAL))

    def preview(self, account: AccountName) -> UsePreview:
        """See ``RunPermits.preview``."""
        if not self._accounts.has_limit(account):
            return UNLIMITED_USE
        return self._holder.preview(account, self._clock.monotonic())

    def postpone(
        self, account: AccountName, counted_at: timedelta, sent_at: timedelta
    ) -> None:
        """See ``RunPermits.postpone``."""
        if self._accounts.has_limit(account):
            self._holder.postpone(account, counted_at, sent_at)

    def give_back(self, account: AccountName, counted_at: timedelta) -> None:
        """See ``RunPermits.give_back``."""
        if self._accounts.has_limit(account):
            self._holder.give_back(account, counted_at)

    def check(self, now: timedelta) -> None:
        """Log accounts that are below their limits again, and the lease."""
        for account, exhaustion in tuple(self._exhausted.items()):
            if now - exhaustion.last_rejected_at >= RECOVERY_TIME:
                self._exhausted.pop(account)
                _log.info(
                    'account below its limit again',
                    account=account,
                    rejected=exhaustion.rejected,
                )
        is_leased = self._holder.is_leased(now)
        if is_leased != self._was_leased:
            self._was_leased = is_leased
            _log.info('lease of account limits changed', leased=is_leased)

    async def _wait(
        self, account: AccountName, outcome: UseOutcome
    ) -> UseOutcome:
        """Ask for an allotment and try again after each answer.

        Return ``NOT_LEASED`` if no answer came.
        """
        deadline = self._clock.monotonic() + ANSWER_WAIT
        is_answered = False
        while outcome in {UseOutcome.WANTED, UseOutcome.NOT_LEASED}:
            self._questions.ask_soon()
            time_left = deadline - self._clock.monotonic()
            if not await self._questions.wait_for_answer(time_left):
                break
            is_answered = True
            outcome = self._holder.try_use(account, self._clock.monotonic())
        return outcome if is_answered else UseOutcome.NOT_LEASED

    def _is_over_limit(self, account: AccountName, outcome: UseOutcome) -> bool:
        """Tell whether a request is rejected because of the limit.

        An account at its limit gets small allotments for requests that wait;
        those that are left over are beyond the limit too.
        """
        if outcome is UseOutcome.WANTED:
            return account in self._source.scarce
        return outcome is UseOutcome.EXHAUSTED

    def _record_rejection(self, account: AccountName, now: timedelta) -> None:
        exhaustion = self._exhausted.get(account)
        if exhaustion is None:
            _log.info('account limit reached', account=account)
            exhaustion = _Exhaustion(now)
            self._exhausted[account] = exhaustion
        exhaustion.last_rejected_at = now
        exhaustion.rejected += 1
