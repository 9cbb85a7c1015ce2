"""What an entry VM learns from the leader on accounts."""

from collections.abc import Mapping
from dataclasses import dataclass
from datetime import timedelta

from plantainstand_allotments import AllotmentHolder, AllotmentTerms
from plantainstand_core import Clock
from plantainstand_desired import DesiredView

from plantainstand_edge._access import (
    AccessControl,
    AccountChecks,
    UnlimitedPermits,
)
from plantainstand_edge._account_limits import (
    AccountLimits,
    AllotmentQuestions,
)
from plantainstand_edge._account_questions import (
    AccountQuestions,
    KeyQuestions,
    QuestionSource,
)
from plantainstand_edge._key_proofs import KeyProofs
from plantainstand_edge._settings import EntrySettings

_MILLISECONDS = 1000


@dataclass(frozen=True, slots=True)
class AccountContact:
    """Checks of requests, and the questions on which they rest."""

    checks: AccountChecks
    questions: AccountQuestions
    proofs: KeyProofs
    limits: AccountLimits | None

    def check(self, now: timedelta) -> None:
        """Log changes; call it about twice a second."""
        if self.limits is not None:
            self.limits.check(now)

    def readings(self, now: timedelta) -> Mapping[str, float]:
        """Return the gauges of this VM on accounts."""
        age = timedelta()
        if self.proofs.is_required and self.checks.access.requires_keys:
            age = self.proofs.age(now)
        exhausted = 0 if self.limits is None else self.limits.exhausted_count
        return {
            'key_proof_age_seconds': age.total_seconds(),
            'exhausted_accounts': exhausted,
        }


def connect_accounts(
    settings: EntrySettings, view: DesiredView, clock: Clock
) -> AccountContact:
    """Build the checks that the settings of a VM require."""
    # Larger than that of each process before, which the leader relies on.
    incarnation = int(clock.wall().timestamp() * _MILLISECONDS)
    accounts = view.accounts
    proofs = KeyProofs(settings.key_withdrawal_limit, view, clock.monotonic())
    terms = settings.account_terms

    def is_needed() -> bool:
        if terms is not None and accounts.has_limits:
            return True
        return proofs.is_required and accounts.requires_keys

    def ask(source: QuestionSource) -> AccountQuestions:
        return AccountQuestions(source, incarnation, proofs, is_needed, clock)

    limits = None
    if terms is None:
        questions = ask(KeyQuestions(incarnation))
    else:
        holder = _start_holder(terms, incarnation, clock)
        source = AllotmentQuestions(holder)
        questions = ask(source)
        limits = AccountLimits(holder, source, questions, accounts, clock)
    checks = AccountChecks(
        AccessControl(accounts, lambda: proofs.is_current(clock.monotonic())),
        limits or UnlimitedPermits(clock),
    )
    return AccountContact(checks, questions, proofs, limits)


def _start_holder(
    terms: AllotmentTerms, incarnation: int, clock: Clock
) -> AllotmentHolder:
    holder = AllotmentHolder(terms, incarnation)
    # This question is not sent. The holder takes its time for the start of the
    # process, not that of the first question, which is sent when the first
    # account is set; the leader may trust an older process sooner.
    holder.next_question(clock.monotonic())
    return holder
