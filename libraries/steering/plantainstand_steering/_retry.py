"""Retry budget and the decision whether a request may be retried."""

from dataclasses import dataclass
from datetime import timedelta
from enum import Enum

# Balances are whole millionths of a token: repeated sums of floats such as 0.1
# accumulate rounding errors.
_MILLIONTHS_PER_TOKEN = 1_000_000
_DEFAULT_TOKENS_PER_SUCCESS = 0.1
# The loss of an availability zone fails all requests in flight there at once;
# with a capacity of 10, most of them would get no retry.
_DEFAULT_CAPACITY_TOKENS = 100
_DEFAULT_INITIAL_TOKENS = 10
# Reserved for retries: a retry saves a request, a hedge only saves time.
_HEDGE_RESERVE_TOKENS = 20


class RetryBudget:
    """Token budget that successes fill and retries and hedges spend.

    The number of retries and hedges never exceeds
    ``initial + ratio * successes``, and a burst of them never exceeds
    ``capacity``.
    """

    def __init__(
        self,
        ratio: float = _DEFAULT_TOKENS_PER_SUCCESS,
        capacity: int = _DEFAULT_CAPACITY_TOKENS,
        initial: int = _DEFAULT_INITIAL_TOKENS,
    ):
        """Create a budget of ``initial`` tokens, at most ``capacity``.

        ``ratio`` is the number of tokens that a success adds.
        """
        self._earned_per_success = round(ratio * _MILLIONTHS_PER_TOKEN)
        self._capacity = capacity * _MILLIONTHS_PER_TOKEN
        self._balance = min(initial * _MILLIONTHS_PER_TOKEN, self._capacity)

    @property
    def available(self) -> int:
        """Number of retries that the budget allows now."""
        return self._balance // _MILLIONTHS_PER_TOKEN

    @property
    def available_for_hedges(self) -> int:
        """Number of hedges that the budget allows now.

        A part of the tokens is reserved for retries.
        """
        reserve = min(
            _HEDGE_RESERVE_TOKENS * _MILLIONTHS_PER_TOKEN, self._capacity // 2
        )
        return max(self._balance - reserve, 0) // _MILLIONTHS_PER_TOKEN

    def record_success(self) -> None:
        """Add the tokens for a successful request."""
        self._balance = min(
            self._balance + self._earned_per_success, self._capacity
        )

    def try_spend(self) -> bool:
        """Spend a token on a retry; return whether one was available."""
        if self._balance < _MILLIONTHS_PER_TOKEN:
            return False
        self._balance -= _MILLIONTHS_PER_TOKEN
        return True

    def try_spend_on_hedge(self) -> bool:
        """Spend a token on a hedge; return whether one was available."""
        return self.available_for_hedges > 0 and self.try_spend()


class AttemptOutcome(Enum):
    """Whether an attempt without an answer has run at the target."""

    DID_NOT_RUN = 'did not run'
    UNKNOWN = 'unknown'
    FAILED_AFTER_RUNNING = 'failed after running'


class RetryRefusal(Enum):
    """Why a request is not retried."""

    UNSAFE = 'unsafe'
    """The request is not idempotent and may have run."""

    TOO_LATE = 'too late'
    """The time left is not longer than the expected duration."""

    NO_BUDGET = 'no budget'


@dataclass(frozen=True)
class RetryContext:
    """Inputs of the decision whether to retry a request."""

    outcome: AttemptOutcome
    idempotent: bool

    time_left: timedelta
    """Time until the caller's deadline."""

    expected_duration: timedelta
    """Expected cost of the next candidate."""

    budget_available: int
    """:attr:`RetryBudget.available` of the service."""


def retry_refusal(context: RetryContext) -> RetryRefusal | None:
    """Return why the request must not be retried, or ``None``."""
    if not (
        context.idempotent or context.outcome is AttemptOutcome.DID_NOT_RUN
    ):
        return RetryRefusal.UNSAFE
    if context.time_left <= context.expected_duration:
        return RetryRefusal.TOO_LATE
    if context.budget_available < 1:
        return RetryRefusal.NO_BUDGET
    return None


def may_retry(context: RetryContext) -> bool:
    """Return whether the request may be retried.

    The caller then spends a token with :meth:`RetryBudget.try_spend`.
    """
    return retry_refusal(context) is None
