"""Warm-up and growth limits below a VM's share of a target's slots."""

from dataclasses import dataclass
from datetime import timedelta

from plantainstand_shares._commands import Amount

_SECOND = timedelta(seconds=1)
# Use that falls and rises again within this time does not count as growth.
_PEAK_PERIOD = timedelta(seconds=10)


@dataclass(frozen=True)
class SlotRamp:
    """Linear ramp of the usable part of a cold target's share."""

    duration: timedelta
    """Time from the first use to the full share; zero disables the ramp."""

    initial_fraction: float
    """Usable part at the first use; at least one slot is usable."""

    def usable(self, share: int, since_first_use: timedelta) -> int:
        """Return the number of usable slots of ``share``."""
        if since_first_use >= self.duration:
            return share
        progress = since_first_use / self.duration
        fraction = (
            self.initial_fraction + (1 - self.initial_fraction) * progress
        )
        return min(share, max(1, int(share * fraction)))


class GrowthLimit:
    """Bound on how fast the number of slots in use at a target may grow.

    The limit rises by half the rate per second, and is at most half a second's
    growth, or one slot if that is more, above the highest recent use. In one
    second, the use by one VM thus grows by at most its rate, or by half its
    rate and one slot if that is more.
    """

    def __init__(self, slots_per_second: float):
        """Create a limit of one slot; the rate is the sum over all VMs."""
        self._total_rate = slots_per_second
        self._rate: float = 0
        self._limit: float = 1
        self._peak = 0
        self._previous_peak = 0
        self._period_start = timedelta()
        self._updated_at: timedelta | None = None

    def set_share_fraction(self, fraction: float) -> None:
        """Set the fraction of the total rate that this VM may use."""
        self._rate = self._total_rate * fraction

    def usable(self, in_use: int, now: timedelta) -> int:
        """Return how many slots may be in use at ``now``."""
        if self._updated_at is None:
            self._updated_at = now
            self._period_start = now
        self._record_peak(in_use, now)
        elapsed = (now - self._updated_at) / _SECOND
        peak = max(self._peak, self._previous_peak)
        self._limit = min(
            self._limit + elapsed * self._rate / 2,
            peak + max(1, self._rate / 2),
        )
        self._updated_at = now
        return int(self._limit)

    def _record_peak(self, in_use: int, now: timedelta) -> None:
        if now - self._period_start >= _PEAK_PERIOD:
            self._previous_peak = self._peak
            self._peak = 0
            self._period_start = now
        self._peak = max(self._peak, in_use)


class TargetPacer:
    """Limits the slots of one target that one VM may use."""

    def __init__(self, ramp: SlotRamp, growth: GrowthLimit | None = None):
        """Create a pacer; the ramp begins at the first :meth:`usable`."""
        self._ramp = ramp
        self._growth = growth
        self._started_at: timedelta | None = None

    def update_share(self, share: Amount, capacity: Amount) -> None:
        """Set the VM's share of the target's slots."""
        if self._growth and capacity:
            self._growth.set_share_fraction(share / capacity)

    def usable(self, share: int, in_use: int, now: timedelta) -> int:
        """Return how many slots may be in use at ``now``."""
        if self._started_at is None:
            self._started_at = now
        usable = self._ramp.usable(share, now - self._started_at)
        if self._growth is None:
            return usable
        return min(usable, self._growth.usable(in_use, now))
