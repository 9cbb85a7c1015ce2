"""What an entry VM learns from the leader on accounts."""

import secrets
from collections.abc import Mapping
from dataclasses import dataclass
from datetime import timedelta

from plantainstand_core import Clock
from plantainstand_desired import DesiredView

from plantainstand_edge._access import (
    AccessControl,
    AccountChecks,
    UnlimitedPermits,
)
from plantainstand_edge._account_questions import (
    AccountQuestions,
    KeyQuestions,
)
from plantainstand_edge._key_proofs import KeyProofs
from plantainstand_edge._settings import EntrySettings

_INCARNATION_BITS = 32


@dataclass(frozen=True, slots=True)
class AccountContact:
    """Checks of requests, and the questions on which they rest."""

    checks: AccountChecks
    questions: AccountQuestions
    proofs: KeyProofs

    def readings(self, now: timedelta) -> Mapping[str, float]:
        """Return the gauges of this VM on accounts."""
        age = timedelta()
        if self.proofs.is_required and self.checks.access.requires_keys:
            age = self.proofs.age(now)
        return {'key_proof_age_seconds': age.total_seconds()}


def connect_accounts(
    settings: EntrySettings, view: DesiredView, clock: Clock
) -> AccountContact:
    """Build the checks that the settings of a VM require."""
    incarnation = secrets.randbits(_INCARNATION_BITS)
    proofs = KeyProofs(settings.key_withdrawal_limit, view, clock.monotonic())
    questions = AccountQuestions(
        KeyQuestions(incarnation),
        incarnation,
        proofs,
        lambda: proofs.is_required and view.accounts.requires_keys,
        clock,
    )
    access = AccessControl(
        view.accounts, lambda: proofs.is_current(clock.monotonic())
    )
    checks = AccountChecks(access, UnlimitedPermits(clock))
    return AccountContact(checks, questions, proofs)
