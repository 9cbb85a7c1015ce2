"""A control VM answers for entry VMs that report to another one."""

import unittest
from typing import cast

from plantainstand_control._entries import EntryRegister
from plantainstand_core import AvailabilityZoneId, RegionId, VmId
from plantainstand_fleet import EntryChanges, EntryReport
from plantainstand_links import Link

_VM = VmId('10.0.0.9')


def _link() -> Link:
    return cast(Link, object())


def _report(*, ready: bool = True) -> EntryReport:
    zone = AvailabilityZoneId('norte-a')
    return EntryReport(f'{_VM}:80', zone, RegionId('norte'), ready)


class RegisterTests(unittest.TestCase):
    """Reports that arrive over several links, and links that end."""

    def setUp(self) -> None:
        """Two control VMs; the first tells the second."""
        self.between = _link()
        self.told: list[EntryChanges] = []
        self.first = EntryRegister(self._tell)
        self.second = EntryRegister(self.told.append)

    def test_told_and_forgotten(self) -> None:
        """Clients must not be sent to a VM that is gone."""
        link = _link()
        self._report(link)
        self.assertEqual(len(self.second.known()), 1)
        self.first.closed(link)
        self.assertEqual(len(self.second.known()), 0)

    def test_old_link_ends_after_the_new_one_opened(self) -> None:
        """A VM that has connected again is not gone."""
        old, new = _link(), _link()
        self._report(old)
        self._report(new)
        self.first.closed(old)
        self.assertEqual(len(self.second.known()), 1)

    def test_leaving_wins(self) -> None:
        """A VM that stops must get no clients from a late report."""
        self._report(_link(), ready=False)
        self.second.report(_link(), _VM, _report())
        self.assertEqual([each.ready for each in self.second.known()], [False])

    def test_unchanged_report_is_not_told(self) -> None:
        """Messages between control VMs must not grow with time."""
        link = _link()
        self._report(link)
        self._report(link)
        self.assertEqual(len(self.told), 1)

    def test_lost_control_vm_takes_its_reports_along(self) -> None:
        """A frozen control VM must not keep dead VMs in the directory."""
        self._report(_link())
        self.second.closed(self.between)
        self.assertEqual(len(self.second.known()), 0)

    def test_whole_report_replaces(self) -> None:
        """A control VM that connects again tells everything."""
        link = _link()
        self._report(link)
        self.first.closed(link)
        self.second.take(self.between, self.first.all_own())
        self.assertEqual(len(self.second.known()), 0)

    def _report(self, link: Link, *, ready: bool = True) -> None:
        self.first.report(link, _VM, _report(ready=ready))

    def _tell(self, changes: EntryChanges) -> None:
        self.told.append(changes)
        self.second.take(self.between, changes)
