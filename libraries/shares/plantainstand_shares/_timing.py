"""Time bounds of authority.

The rates of any two clocks differ by at most :data:`CLOCK_DRIFT_FACTOR`. A
process that waits for a duration measured by another clock extends its wait by
that factor.
"""

from dataclasses import dataclass
from datetime import timedelta

CLOCK_DRIFT_FACTOR = 1.02
SUPPORT_LEASE = timedelta(seconds=3)
QUORUM_CONTACT_TIMEOUT = timedelta(seconds=1)
# Longer than partitions of an hour, which are expected.
SOLE_MEMBER_GRACE = timedelta(hours=1, minutes=5)
# A request may still be in transit to the target when its sender loses
# authority, and rates count the use of the last second.
DISPATCH_ALLOWANCE = timedelta(seconds=1)

# Earlier than any clock reading; timedelta.min overflows when added to others.
NEVER = timedelta.min / 2


@dataclass(frozen=True)
class SupportTiming:
    """Time limits, which must be equal at the leader and every VM."""

    lease: timedelta = SUPPORT_LEASE
    """Duration of support, counted from the send time of its request."""

    quorum_contact_timeout: timedelta = QUORUM_CONTACT_TIMEOUT
    """How long a leader grants support after contact with a majority.

    Counted from the send time of the messages that the majority answered.
    """

    sole_member_grace: timedelta = SOLE_MEMBER_GRACE
    """How long the only VM of a zone keeps authority without support."""

    dispatch_allowance: timedelta = DISPATCH_ALLOWANCE
    """Longest time between a dispatch decision and arrival at the target."""


DEFAULT_TIMING = SupportTiming()
