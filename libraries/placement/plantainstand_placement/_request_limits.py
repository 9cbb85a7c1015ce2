"""Keeps the requests of all entry VMs within the limits that targets state.

Load pattern: a target in need states how many requests per second it takes from
all entry VMs together, often a fraction of what its objects bring, while each
VM sees only its own requests and may never have had the statement itself. The
statement reaches all VMs through the control VMs, and each VM sends its share.
An object's requests come mostly from the VMs of the target's region, so these
share most of the limit; the others keep enough not to depend on other targets.
Requests beyond the share go to later targets of their object's order.
"""

from collections.abc import Sequence
from dataclasses import dataclass, field
from datetime import timedelta

from plantainstand_core import RegionId
from plantainstand_fleet import KnownLimit, StatedLimits, TargetEntry

from plantainstand_placement._fleet_share import FleetShare
from plantainstand_placement._recent_sends import LONGEST_SPAN
from plantainstand_placement._target import TargetState

LIMIT_WINDOW = LONGEST_SPAN
"""Sliding window in which requests are counted: long enough that the shares of
tens of VMs in a region are whole requests."""

BURST_SPAN = timedelta(seconds=1)
"""Time in which at most ``BURST_FRACTION`` of the share is sent, at least one
request, so that the target gets its requests evenly."""

BURST_FRACTION = 0.5

HOME_FRACTION = 0.8
"""Part of a limit that is split among the VMs of the target's region; the rest
is split among all."""


@dataclass(frozen=True, slots=True)
class RequestLimits:
    """What targets state of themselves, and this VM's share of each limit."""

    region: RegionId
    """Region of this VM."""

    fleet: FleetShare
    stated: StatedLimits = field(default_factory=StatedLimits)

    def known(self, entry: TargetEntry, now: timedelta) -> KnownLimit | None:
        """Return the limit that a target states; None if it states none."""
        return self.stated.limit((entry.target, entry.started_ms), now)

    def is_leaving(self, entry: TargetEntry) -> bool:
        """Tell whether a target said that it leaves."""
        return self.stated.is_leaving((entry.target, entry.started_ms))

    def share(self, state: TargetState, rate: float) -> int:
        """Return this VM's requests to a target in ``LIMIT_WINDOW``.

        The shares of all VMs add up to ``rate`` requests per second, but one
        request is allowed in each window: its answer tells whether the limit
        still holds.
        """
        total = max(1, int(rate * LIMIT_WINDOW.total_seconds()))
        seed = state.order_seed
        home = max(1, int(total * HOME_FRACTION))
        share = self.fleet.part(total - home, seed)
        if state.entry.region == self.region:
            share += self.fleet.regional_part(self.region, home, seed)
        return share

    def wait(self, state: TargetState, now: timedelta) -> timedelta | None:
        """Return the time until the next request is allowed, 0 for now.

        None if this VM has no share of the target's limit.
        """
        known = self.known(state.entry, now)
        if known is None or known.rate is None:
            return timedelta()
        share = self.share(state, known.rate)
        if not share:
            return None
        burst = max(1, int(share * BURST_FRACTION))
        return max(
            _window_wait(state, share, LIMIT_WINDOW, known, now),
            _window_wait(state, burst, BURST_SPAN, known, now),
        )

    def wait_of_next(
        self, states: Sequence[TargetState], now: timedelta, ahead: int
    ) -> timedelta | None:
        """Return the time until a caller behind ``ahead`` others is allowed.

        Counts the targets that have limits; None if this VM has no share of
        any of these.
        """
        waits = [self.wait(state, now) for state in states]
        soonest = min(
            (each for each in waits if each is not None), default=None
        )
        if soonest is None:
            return None
        shares = sum(self._known_share(state, now) for state in states)
        return soonest + LIMIT_WINDOW * (ahead / max(1, shares))

    def _known_share(self, state: TargetState, now: timedelta) -> int:
        known = self.known(state.entry, now)
        if known is None or known.rate is None:
            return 0
        return self.share(state, known.rate)


def _window_wait(
    state: TargetState,
    limit: int,
    window: timedelta,
    known: KnownLimit,
    now: timedelta,
) -> timedelta:
    # What was sent before this VM knew of the limit is not held against it.
    since = max(now - window, known.limited_since - timedelta.resolution)
    if state.sends.count(since) < limit:
        return timedelta()
    return state.sends.time_of_last(limit) + window - now
