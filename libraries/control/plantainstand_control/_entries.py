"""Entry VMs known from reports to this or another control VM."""

from collections.abc import Callable, Collection, Mapping, Sequence

import structlog
from plantainstand_core import RegionId, VmId
from plantainstand_fleet import EntryChanges, EntryReport
from plantainstand_links import Link

from plantainstand_control._directory import EntryVm

_log = structlog.get_logger()


class EntryRegistry:
    """Reports of entry VMs, grouped by the link on which they arrived.

    An entry VM reports to a few control VMs. These forward the reports to the
    other control VMs, so that each of them knows all entry VMs. When a link
    closes, the reports that arrived on it are dropped.
    """

    def __init__(self, broadcast: Callable[[EntryChanges], None]):
        """Call ``broadcast`` with changes to the local reports.

        Local reports come from entry VMs that are connected to this control
        VM; remote reports are forwarded by other control VMs.
        """
        self._broadcast = broadcast
        self._local_reports: dict[Link, tuple[VmId, EntryReport]] = {}
        self._remote_reports: dict[Link, dict[VmId, EntryReport]] = {}
        self._merged_entry_vms: Mapping[VmId, EntryVm] | None = None

    def entry_vms(self) -> Collection[EntryVm]:
        """Return all entry VMs, each once.

        An entry VM counts as ready only if every report of it says so: after
        it has told one control VM that it is leaving, the reports at others
        may still be older.
        """
        return self._merged().values()

    def regions(self) -> Mapping[VmId, RegionId]:
        """Return the region of each entry VM."""
        return {vm: entry.region for vm, entry in self._merged().items()}

    def counted_digests(self) -> Mapping[VmId, int]:
        """Return the digest of the VMs that each entry VM counts."""
        return {
            vm: report.counted_digest
            for reports in self._all_reports()
            for vm, report in reports.items()
        }

    def positions(self) -> Mapping[VmId, int]:
        """Return the position of each entry VM in the order of their ids."""
        return {vm: number for number, vm in enumerate(sorted(self._merged()))}

    def regional_positions(self) -> Mapping[VmId, tuple[int, int]]:
        """Return each entry VM's position and number of VMs in its region."""
        by_region: dict[RegionId, list[VmId]] = {}
        merged = self._merged()
        for entry in sorted(merged):
            by_region.setdefault(merged[entry].region, []).append(entry)
        return {
            vm: (position, len(vms))
            for vms in by_region.values()
            for position, vm in enumerate(vms)
        }

    def full_update(self) -> EntryChanges:
        """Return all local reports, for a newly connected control VM."""
        return EntryChanges(
            full=True,
            updated=tuple(self._local_reports.values()),
            removed=(),
        )

    def record_report(self, link: Link, vm: VmId, report: EntryReport) -> None:
        """Record the report of an entry VM, and broadcast it if changed."""
        if self._local_reports.get(link) == (vm, report):
            return
        if not self._is_known(link, vm, ready=report.ready):
            _log.info('entry VM report changed', entry=vm, ready=report.ready)
        self._local_reports[link] = (vm, report)
        self._merged_entry_vms = None
        changes = EntryChanges(full=False, updated=((vm, report),), removed=())
        self._broadcast(changes)

    def apply_changes(self, link: Link, changes: EntryChanges) -> None:
        """Apply changes that another control VM sent about its reports."""
        self._merged_entry_vms = None
        reports = self._remote_reports.setdefault(link, {})
        if changes.full:
            reports.clear()
        reports.update(changes.updated)
        for vm in changes.removed:
            reports.pop(vm, None)

    def remove_link(self, link: Link) -> None:
        """Drop the reports that arrived on a closed link."""
        self._merged_entry_vms = None
        self._remote_reports.pop(link, None)
        lost = self._local_reports.pop(link, None)
        connected = dict(self._local_reports.values())
        if lost is None or lost[0] in connected:
            # The VM has already reconnected, or the link was not from an
            # entry VM.
            return
        _log.info('entry VM lost', entry=lost[0])
        self._broadcast(EntryChanges(full=False, updated=(), removed=lost[:1]))

    def _merged(self) -> Mapping[VmId, EntryVm]:
        if self._merged_entry_vms is None:
            self._merged_entry_vms = self._merge()
        return self._merged_entry_vms

    def _is_known(self, link: Link, vm: VmId, *, ready: bool) -> bool:
        known = self._local_reports.get(link)
        return known is not None and (known[0], known[1].ready) == (vm, ready)

    def _all_reports(self) -> Sequence[Mapping[VmId, EntryReport]]:
        """Return the remote reports and then the local ones, as the newest."""
        return (
            *self._remote_reports.values(),
            dict(self._local_reports.values()),
        )

    def _merge(self) -> Mapping[VmId, EntryVm]:
        merged: dict[VmId, EntryReport] = {}
        for reports in self._all_reports():
            for vm, report in reports.items():
                if vm not in merged or not report.ready:
                    merged[vm] = report
        return {entry: _entry_vm(chosen) for entry, chosen in merged.items()}


def _entry_vm(report: EntryReport) -> EntryVm:
    return EntryVm(
        report.client_address,
        report.availability_zone,
        report.region,
        report.ready,
    )
