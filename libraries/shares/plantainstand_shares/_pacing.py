"""Limits below the share of a target's slots: warm-up and growth."""

from dataclasses import dataclass
from datetime import timedelta

from plantainstand_shares._commands import Amount

_SECOND = timedelta(seconds=1)
# Use that falls and rises again within this time is not growth.
_PEAK_MEMORY = timedelta(seconds=10)


@dataclass(frozen=True)
class SlotRamp:
    """Usable part of a cold target's share, growing with time."""

    duration: timedelta
    """Time from the first use to the full share; zero for no ramp."""

    initial_fraction: float
    """Usable part at the first use; at least one slot is usable."""

    def usable(self, share: int, since_first_use: timedelta) -> int:
        """Return the usable slots of ``share``."""
        if since_first_use >= self.duration:
            return share
        progress = since_first_use / self.duration
        fraction = (
            self.initial_fraction + (1 - self.initial_fraction) * progress
        )
        return min(share, max(1, int(share * fraction)))


class GrowthLimit:
    """Bound on how fast the slots in use at one target may grow.

    The limit rises by half the rate while it is made use of, and is never
    more than half a second's growth, or one slot, above the highest recent
    use. In one second the use of one VM thus grows by at most its rate, or by
    half of it and one slot if that is more.
    """

    def __init__(self, slots_per_second: float):
        """Start with one usable slot; the rate is that of all VMs together."""
        self._total_rate = slots_per_second
        self._rate: float = 0
        self._limit: float = 1
        self._peak = 0
        self._earlier_peak = 0
        self._period_start = timedelta()
        self._updated_at: timedelta | None = None

    def split(self, fraction: float) -> None:
        """Take the part of the rate that belongs to this VM's share."""
        self._rate = self._total_rate * fraction

    def usable(self, in_use: int, now: timedelta) -> int:
        """Return how many slots may be in use at ``now``."""
        if self._updated_at is None:
            self._updated_at = now
            self._period_start = now
        self._note_peak(in_use, now)
        elapsed = (now - self._updated_at) / _SECOND
        peak = max(self._peak, self._earlier_peak)
        self._limit = min(
            self._limit + elapsed * self._rate / 2,
            peak + max(1, self._rate / 2),
        )
        self._updated_at = now
        return int(self._limit)

    def _note_peak(self, in_use: int, now: timedelta) -> None:
        if now - self._period_start >= _PEAK_MEMORY:
            self._earlier_peak = self._peak
            self._peak = 0
            self._period_start = now
        self._peak = max(self._peak, in_use)


class TargetPacer:
    """Usable slots of one target at one VM."""

    def __init__(self, ramp: SlotRamp, growth: GrowthLimit | None = None):
        """Start cold: the ramp begins with the first question."""
        self._ramp = ramp
        self._growth = growth
        self._started_at: timedelta | None = None

    def split(self, share: Amount, capacity: Amount) -> None:
        """Take the VM's present share of the target's slots."""
        if self._growth and capacity:
            self._growth.split(share / capacity)

    def usable(self, share: int, in_use: int, now: timedelta) -> int:
        """Return how many slots may be in use at ``now``."""
        if self._started_at is None:
            self._started_at = now
        usable = self._ramp.usable(share, now - self._started_at)
        if self._growth is None:
            return usable
        return min(usable, self._growth.usable(in_use, now))
