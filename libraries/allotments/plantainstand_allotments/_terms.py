"""Limits, and the periods that holders and the authority rely on."""

from dataclasses import dataclass
from datetime import timedelta

WINDOW_EXTENSION = timedelta(milliseconds=250)
"""Holders count in windows that are longer by this. Runs that reach targets in
one window left the VMs within the window and the spread of network delays."""

LEASE = timedelta(seconds=5)
"""Time for which allotments are usable after the question was sent whose answer
renewed them."""

ANSWER_AGE_LIMIT = timedelta(seconds=2)
"""An answer to a question that was sent longer ago is ignored, so that answers
of a deposed leader are applied at most this long after the next election."""

CLOCK_MARGIN = 1.05
"""Factor on periods of other VMs that the authority waits for. Clocks differ in
rate by up to 2 %."""

NEAR_DEMAND_PART = 20
"""While an account is over its limit, a VM keeps the part of a window's demand
that it uses in half the time between two questions. Simulated fleets of 300 VMs
let 4 % less through with a tenth."""

SEASONED_NUMBER = 1 << 20
"""Questions have numbers from this one on once a process has run for a whole
window. A process with a lower number may have replaced another one whose runs
are still in the window."""


@dataclass(frozen=True)
class AccountLimit:
    """Limit of an account over all entry VMs."""

    requests_per_second: float
    burst: float


@dataclass(frozen=True)
class AllotmentTerms:
    """Settings that hold for all accounts."""

    window: timedelta
    """Length of the windows in which the runs of an account are limited."""

    overage: float
    """Fraction by which the limit of a window may be exceeded."""

    slack: float
    """Runs by which the limit of a window may be exceeded as well."""

    @property
    def holder_window(self) -> timedelta:
        """Length of the windows in which a holder counts its runs."""
        return self.window + WINDOW_EXTENSION


def window_total(limit: AccountLimit, terms: AllotmentTerms) -> int:
    """Return the sum of the allotments of all VMs.

    Half of the tolerance is reserved for runs that are delayed on their way to
    a target.
    """
    allowed = limit.requests_per_second * terms.window.total_seconds()
    allowed += limit.burst
    return int(allowed * (1 + terms.overage / 2) + terms.slack / 2)
