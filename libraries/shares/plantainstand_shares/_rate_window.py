"""Use of a rate in a sliding window."""

from collections import deque
from datetime import timedelta

from plantainstand_shares._commands import Amount

_STEPS_PER_SECOND = 40
_STEP = timedelta(seconds=1) / _STEPS_PER_SECOND
# The present step and 41 whole ones cover at least 1.025 s, so the window is
# a full second also on a clock that runs 2 % fast.
_WHOLE_STEPS = _STEPS_PER_SECOND + 1


class RateWindow:
    """Sum of what was used in at least the last second.

    A bucket that refills at the share's rate would let its burst through on
    top of one second's refill. Keeping this sum at or below the share bounds
    the use in every one-second window, and the sum over all owners with it.
    """

    __slots__ = ('_steps', '_total')

    def __init__(self) -> None:
        """Start without use."""
        self._steps: deque[tuple[int, Amount]] = deque()
        self._total: Amount = 0

    def used(self, now: timedelta) -> Amount:
        """Return the use in the window that ends at ``now``."""
        steps = self._steps
        if steps:
            oldest = now // _STEP - _WHOLE_STEPS
            while steps and steps[0][0] < oldest:
                self._total -= steps.popleft()[1]
            if not steps:
                # Drops the rounding error of sums of floats.
                self._total = 0
        return self._total

    def add(self, amount: Amount, now: timedelta) -> None:
        """Note use at ``now``."""
        step = now // _STEP
        if self._steps and self._steps[-1][0] == step:
            amount_before = self._steps.pop()[1]
            self._steps.append((step, amount_before + amount))
        else:
            self._steps.append((step, amount))
        self._total += amount
