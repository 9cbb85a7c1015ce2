"""Processes of entry VMs that ask, and those that no longer do."""

from collections.abc import Collection, Iterator
from datetime import timedelta

from plantainstand_core import VmId

from plantainstand_allotments._record import Periods, ProcessRecord

_SILENCE_LIMIT = timedelta(seconds=2)
"""A VM that missed four questions no longer takes part in the split; what it
may have stays reserved."""

_ProcessId = tuple[VmId, int]


class ProcessTable:
    """Records of processes, in the order in which they become silent."""

    def __init__(self, periods: Periods) -> None:
        """Start without processes."""
        self._periods = periods
        self._count = 0
        self._newest: dict[VmId, ProcessRecord] = {}
        self._live: dict[_ProcessId, ProcessRecord] = {}
        self._silent: dict[_ProcessId, ProcessRecord] = {}
        self._superseded: dict[_ProcessId, ProcessRecord] = {}

    def find(self, vm: VmId, incarnation: int, now: timedelta) -> ProcessRecord:
        """Return the record of a process, a new one if there is none."""
        process_id = (vm, incarnation)
        for records in (self._live, self._silent, self._superseded):
            known = records.get(process_id)
            if known is not None:
                return known
        self._count += 1
        return ProcessRecord(vm, incarnation, self._count, now)

    def keep_live(self, record: ProcessRecord) -> None:
        """Note that a process has asked just now."""
        process_id = (record.vm, record.incarnation)
        for records in (self._live, self._silent, self._superseded):
            records.pop(process_id, None)
        self._live[process_id] = record

    def supersede(
        self, record: ProcessRecord, now: timedelta
    ) -> ProcessRecord | None:
        """Return the process that this one has replaced, once."""
        older = self._newest.get(record.vm)
        if older is None:
            self._newest[record.vm] = record
            return None
        if older.incarnation >= record.incarnation:
            return None
        self._newest[record.vm] = record
        older_id = (older.vm, older.incarnation)
        self._live.pop(older_id, None)
        self._silent.pop(older_id, None)
        self._superseded[older_id] = older
        older.released_at = now + self._periods.window
        return older

    def fall_silent(self, now: timedelta) -> Iterator[ProcessRecord]:
        """Yield the processes that became silent."""
        for process_id, record in tuple(self._live.items()):
            if now - record.heard_at <= _SILENCE_LIMIT:
                break
            self._silent[process_id] = self._live.pop(process_id)
            record.released_at = record.heard_at + self._periods.lease
            yield record

    def release(self, now: timedelta) -> Iterator[ProcessRecord]:
        """Remove and yield the processes for which nothing is reserved."""
        for records in (self._silent, self._superseded):
            for process_id, record in tuple(records.items()):
                if record.released_at > now:
                    break
                records.pop(process_id)
                if self._newest.get(record.vm) is record:
                    self._newest.pop(record.vm)
                yield record

    def are_confirmed(self, vms: Collection[VmId]) -> bool:
        """Tell whether the reports of these VMs, and of all others that ask,
        are complete."""
        newest = self._newest
        return all(vm in newest for vm in vms) and all(
            record.is_confirmed for record in newest.values()
        )
