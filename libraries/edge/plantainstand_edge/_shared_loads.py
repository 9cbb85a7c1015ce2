"""Loads of targets that this VM reports and receives."""

from collections.abc import Mapping
from datetime import timedelta

from plantainstand_core import Clock
from plantainstand_fleet import LoadUpdate, TargetLoad
from plantainstand_placement import TargetTable


class SharedLoads:
    """Passes loads between the target table and the control VMs."""

    def __init__(self, target_table: TargetTable, clock: Clock):
        """Start without updates."""
        self._target_table = target_table
        self._clock = clock
        self._updated_at: timedelta | None = None
        self._received = 0
        self._taken = 0

    def take_unreported(self) -> tuple[TargetLoad, ...]:
        """Return the own loads that no report has contained yet."""
        now = self._clock.monotonic()
        return self._target_table.take_unreported_loads(now)

    def receive(self, update: LoadUpdate) -> None:
        """Take over the loads that are newer than what this VM knows."""
        now = self._clock.monotonic()
        self._updated_at = now
        self._received += len(update.loads)
        self._taken += self._target_table.record_shared_loads(update.loads, now)

    def readings(self) -> Mapping[str, float]:
        """Return metrics; the age is missing before the first update."""
        readings = {
            'loads_received': float(self._received),
            'loads_taken': float(self._taken),
        }
        if self._updated_at is not None:
            age = self._clock.monotonic() - self._updated_at
            readings['load_update_age_seconds'] = age.total_seconds()
        return readings
