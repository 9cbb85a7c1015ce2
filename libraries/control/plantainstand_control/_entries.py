"""Entry VMs that report to this control VM or to another one."""

from collections.abc import Callable, Collection

import structlog
from plantainstand_core import VmId
from plantainstand_fleet import EntryChanges, EntryReport
from plantainstand_links import Link

from plantainstand_control._directory import EntryVm

_log = structlog.get_logger()


class EntryRegister:
    """Reports by the link that brought them.

    An entry VM reports to a few control VMs; these tell the others, so that
    each can answer for all. What a link brought is forgotten with it.
    """

    def __init__(self, tell_others: Callable[[EntryChanges], None]):
        """Call ``tell_others`` with what changes in this VM's own reports."""
        self._tell_others = tell_others
        self._own: dict[Link, tuple[VmId, EntryReport]] = {}
        self._told: dict[Link, dict[VmId, EntryReport]] = {}
        self._known: Collection[EntryVm] | None = None

    def known(self) -> Collection[EntryVm]:
        """Return all entry VMs, each once.

        One that tells any control VM that it is leaving is not ready: others
        may still hold an earlier report.
        """
        if self._known is None:
            self._known = self._merge()
        return self._known

    def all_own(self) -> EntryChanges:
        """Return all that report to this VM, for a newly connected one."""
        return EntryChanges(
            full=True,
            updated=tuple(self._own.values()),
            removed=(),
        )

    def report(self, link: Link, vm: VmId, report: EntryReport) -> None:
        """Take a VM's report."""
        if self._own.get(link) == (vm, report):
            return
        _log.info('entry VM reports', entry=vm, ready=report.ready)
        self._own[link] = (vm, report)
        self._known = None
        changes = EntryChanges(full=False, updated=((vm, report),), removed=())
        self._tell_others(changes)

    def take(self, link: Link, changes: EntryChanges) -> None:
        """Take what another control VM tells."""
        self._known = None
        told = self._told.setdefault(link, {})
        if changes.full:
            told.clear()
        told.update(changes.updated)
        for vm in changes.removed:
            told.pop(vm, None)

    def closed(self, link: Link) -> None:
        """Forget what a link brought."""
        self._known = None
        self._told.pop(link, None)
        lost = self._own.pop(link, None)
        connected = dict(self._own.values())
        if lost is None or lost[0] in connected:
            # The VM has connected again already, or the link was no VM's.
            return
        _log.info('entry VM lost', entry=lost[0])
        self._tell_others(
            EntryChanges(full=False, updated=(), removed=lost[:1])
        )

    def _merge(self) -> Collection[EntryVm]:
        merged: dict[VmId, EntryReport] = {}
        for told in (dict(self._own.values()), *self._told.values()):
            for vm, latest in told.items():
                if vm not in merged or not latest.ready:
                    merged[vm] = latest
        return tuple(
            EntryVm(
                report.client_address,
                report.availability_zone,
                report.region,
                report.ready,
            )
            for report in merged.values()
        )
