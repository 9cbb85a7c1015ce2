"""Time bounds of authority.

Any two clocks may differ in rate by :data:`DRIFT`. Whoever waits for a time
that another clock measures waits longer by that factor.
"""

from dataclasses import dataclass
from datetime import timedelta

DRIFT = 1.02
SUPPORT_LEASE = timedelta(seconds=3)
LEADER_TENURE = timedelta(seconds=1)
# Longer than the expected partitions of an hour.
SOLE_MEMBER_GRACE = timedelta(hours=1, minutes=5)
# A request may still be on its way to the target when its sender has lost
# authority, and used-up rates count for one second.
DISPATCH_ALLOWANCE = timedelta(seconds=1)

# Before every reading of a clock; timedelta.min would overflow in sums.
NEVER = timedelta.min / 2


@dataclass(frozen=True)
class SupportTiming:
    """Settings that the leader and every VM must share."""

    lease: timedelta = SUPPORT_LEASE
    """How long support lasts from the send time of its request."""

    tenure: timedelta = LEADER_TENURE
    """How long a leader acts on a majority's answers, from their requests."""

    sole_member_grace: timedelta = SOLE_MEMBER_GRACE
    """How long a zone's only VM goes on without support."""

    dispatch_allowance: timedelta = DISPATCH_ALLOWANCE
    """Longest time between a decision and its arrival at the target."""


DEFAULT_TIMING = SupportTiming()
