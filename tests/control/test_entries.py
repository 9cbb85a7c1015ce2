"""Tests of the registry of entry VMs that control VMs share."""

import unittest
from typing import cast

from plantainstand_control._entries import EntryRegistry
from plantainstand_core import AvailabilityZoneId, RegionId, VmId
from plantainstand_fleet import EntryChanges, EntryReport
from plantainstand_links import Link

_VM = VmId('10.0.0.9')


def _link() -> Link:
    return cast(Link, object())


def _report(*, ready: bool = True) -> EntryReport:
    zone = AvailabilityZoneId('norte-a')
    return EntryReport(f'{_VM}:80', zone, RegionId('norte'), ready)


class EntryRegistryTests(unittest.TestCase):
    """Guards against missing and stale entry VMs in the directory."""

    def setUp(self) -> None:
        """Create two registries; the first sends its changes to the second."""
        self.link_from_first = _link()
        self.sent_changes: list[EntryChanges] = []
        self.first = EntryRegistry(self._send_to_second)
        self.second = EntryRegistry(self.sent_changes.append)

    def test_changes_reach_the_other_control_vm(self) -> None:
        """The second registry adds an entry VM, and removes it when lost."""
        link = _link()
        self._report_to_first(link)
        self.assertEqual(len(self.second.entry_vms()), 1)
        self.first.remove_link(link)
        self.assertEqual(len(self.second.entry_vms()), 0)

    def test_old_link_closes_after_reconnect(self) -> None:
        """An entry VM that has already reconnected is not removed."""
        old, new = _link(), _link()
        self._report_to_first(old)
        self._report_to_first(new)
        self.first.remove_link(old)
        self.assertEqual(len(self.second.entry_vms()), 1)

    def test_positions_agree(self) -> None:
        """Control VMs that know the same entry VMs number them alike.

        Otherwise two entry VMs could take the same part of a limit.
        """
        self._report_to_first(_link())
        self.second.record_report(_link(), VmId('10.0.0.2'), _report())
        self.first.apply_changes(_link(), self.second.full_update())
        expected = {VmId('10.0.0.2'): 0, _VM: 1}
        self.assertEqual(self.first.positions(), expected)
        self.assertEqual(self.second.positions(), expected)
        regional = {VmId('10.0.0.2'): (0, 2), _VM: (1, 2)}
        self.assertEqual(self.first.regional_positions(), regional)
        self.assertEqual(self.second.regional_positions(), regional)

    def test_not_ready_takes_precedence(self) -> None:
        """An older report at another control VM does not make a stopping entry
        VM ready again.
        """
        self._report_to_first(_link(), ready=False)
        self.second.record_report(_link(), _VM, _report())
        self.assertEqual(
            [entry.ready for entry in self.second.entry_vms()], [False]
        )

    def test_unchanged_report_is_not_broadcast(self) -> None:
        """Repeated reports cause no messages between control VMs."""
        link = _link()
        self._report_to_first(link)
        self._report_to_first(link)
        self.assertEqual(len(self.sent_changes), 1)

    def test_reports_of_a_lost_control_vm_are_dropped(self) -> None:
        """A frozen control VM does not keep dead entry VMs in the directory."""
        self._report_to_first(_link())
        self.second.remove_link(self.link_from_first)
        self.assertEqual(len(self.second.entry_vms()), 0)

    def test_full_update_replaces_earlier_reports(self) -> None:
        """A full update removes entry VMs that it does not contain."""
        link = _link()
        self._report_to_first(link)
        self.first.remove_link(link)
        self.second.apply_changes(
            self.link_from_first,
            self.first.full_update(),
        )
        self.assertEqual(len(self.second.entry_vms()), 0)

    def _report_to_first(self, link: Link, *, ready: bool = True) -> None:
        self.first.record_report(link, _VM, _report(ready=ready))

    def _send_to_second(self, changes: EntryChanges) -> None:
        self.sent_changes.append(changes)
        self.second.apply_changes(self.link_from_first, changes)
