"""Retry budget and the decision whether an attempt may be repeated."""

from dataclasses import dataclass
from datetime import timedelta
from enum import Enum

# Whole millionths, because a sum of binary fractions such as 0.1 drifts.
_TOKEN = 1_000_000
_DEFAULT_RATIO = 0.1
# A lost zone fails every request in flight there at once; a capacity of 10
# left most of them without their one retry.
_DEFAULT_CAPACITY = 100
_DEFAULT_INITIAL = 10
# Kept for retries, because a retry saves a request and a hedge only time.
_HEDGE_RESERVE = 20


class RetryBudget:
    """Tokens earned by successes and spent by retries and hedges.

    Attempts beyond the first never exceed ``initial + ratio * successes``,
    and at most ``capacity`` of them are saved up for a burst.
    """

    def __init__(
        self,
        ratio: float = _DEFAULT_RATIO,
        capacity: int = _DEFAULT_CAPACITY,
        initial: int = _DEFAULT_INITIAL,
    ):
        """Start with ``initial`` tokens, at most ``capacity``."""
        self._earned = round(ratio * _TOKEN)
        self._capacity = capacity * _TOKEN
        self._balance = min(initial * _TOKEN, self._capacity)

    @property
    def available(self) -> int:
        """Whole attempts that can be paid now."""
        return self._balance // _TOKEN

    @property
    def available_for_hedges(self) -> int:
        """Whole hedges that can be paid now; some tokens are kept."""
        kept = min(_HEDGE_RESERVE * _TOKEN, self._capacity // 2)
        return max(self._balance - kept, 0) // _TOKEN

    def record_success(self) -> None:
        """Add the share of one successful request."""
        self._balance = min(self._balance + self._earned, self._capacity)

    def try_spend(self) -> bool:
        """Pay one retry; return whether there was a token."""
        if self._balance < _TOKEN:
            return False
        self._balance -= _TOKEN
        return True

    def try_spend_on_hedge(self) -> bool:
        """Pay one hedge; return whether there was a token for it."""
        return self.available_for_hedges > 0 and self.try_spend()


class AttemptOutcome(Enum):
    """What is known about an attempt that brought no answer."""

    DID_NOT_RUN = 'did not run'
    UNKNOWN = 'unknown'
    FAILED_AFTER_RUNNING = 'failed after running'


class RetryRefusal(Enum):
    """Why an attempt is not repeated."""

    UNSAFE = 'unsafe'
    """The request is not idempotent and may have run."""

    TOO_LATE = 'too late'
    """The time left is shorter than the expected duration."""

    NO_BUDGET = 'no budget'


@dataclass(frozen=True)
class RetryContext:
    """Facts that decide about a retry."""

    outcome: AttemptOutcome
    idempotent: bool

    time_left: timedelta
    """Time until the caller's deadline."""

    expected_duration: timedelta
    """Cost of the candidate that would be tried next."""

    budget_available: int
    """:attr:`RetryBudget.available` of the service."""


def retry_refusal(facts: RetryContext) -> RetryRefusal | None:
    """Return why the attempt must not be repeated, or ``None``."""
    if not (facts.idempotent or facts.outcome is AttemptOutcome.DID_NOT_RUN):
        return RetryRefusal.UNSAFE
    if facts.time_left <= facts.expected_duration:
        return RetryRefusal.TOO_LATE
    if facts.budget_available < 1:
        return RetryRefusal.NO_BUDGET
    return None


def may_retry(facts: RetryContext) -> bool:
    """Return whether the attempt may be repeated.

    The caller then pays with :meth:`RetryBudget.try_spend`.
    """
    return retry_refusal(facts) is None
