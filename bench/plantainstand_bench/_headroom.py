"""Use of the critical class's slots up to its first shed."""

from collections import deque
from collections.abc import Iterable, Sequence

import msgspec
from plantainstand_core import ServiceId, TrafficClass

from plantainstand_bench._journal import JournalEvent
from plantainstand_bench._records import (
    CallerRecord,
    LostTarget,
    Outcome,
    RunLog,
)


class Headroom(msgspec.Struct, frozen=True, kw_only=True):
    """Use of slots up to the first shed of the critical class."""

    highest_share: float
    """Highest share of the slots of the critical class in use, 0 to 1."""

    first_shed: float | None
    """Seconds since the epoch; absent when nothing was shed."""


def measure_headroom(
    log: RunLog,
    events: Iterable[JournalEvent],
) -> Headroom:
    """Return the highest share of the critical slots in use at one time.

    Only targets that have run are counted; a killed one is left out until it
    starts again.
    """
    records = measured_records(log)
    critical = _critical_services(records)
    first_shed = _first_critical_shed(records)
    end = float('inf') if first_shed is None else first_shed
    use = _SlotUse(log.lost_targets)
    highest = float(0)
    for event in events:
        if event.service not in critical or event.time > end:
            continue
        use.observe(event)
        if event.time >= log.measured_from:
            highest = max(highest, use.share())
    return Headroom(highest_share=highest, first_shed=first_shed)


def measured_records(log: RunLog) -> Sequence[CallerRecord]:
    """Return the records whose arrival is after the warm-up."""
    return [
        record
        for record in log.records
        if record.scheduled >= log.measured_from
    ]


class _SlotUse:
    """Slots in use at the targets that run."""

    def __init__(self, lost: Sequence[LostTarget]):
        self._lost = deque(lost)
        self._in_use: dict[str, int] = {}
        self._slots: dict[str, int] = {}

    def observe(self, event: JournalEvent) -> None:
        """Take one event, in order of time."""
        while self._lost and self._lost[0].time <= event.time:
            target = self._lost.popleft().target
            self._in_use.pop(target, None)
            self._slots.pop(target, None)
        self._in_use[event.target] = min(event.in_use, event.slots)
        self._slots[event.target] = event.slots

    def share(self) -> float:
        """Return the share in use, 0 to 1."""
        return sum(self._in_use.values()) / sum(self._slots.values())


def _critical_services(
    records: Iterable[CallerRecord],
) -> frozenset[ServiceId]:
    return frozenset(
        record.service
        for record in records
        if record.traffic_class is TrafficClass.CRITICAL
    )


def _first_critical_shed(records: Iterable[CallerRecord]) -> float | None:
    sheds = (
        record.ended
        for record in records
        if record.outcome is Outcome.NOT_RUN
        and record.traffic_class is TrafficClass.CRITICAL
    )
    return min(sheds, default=None)
