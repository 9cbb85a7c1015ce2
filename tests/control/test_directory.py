"""Tests of the choice of entry VMs for a client."""

import unittest

from plantainstand_control import ClientLocation, EntryVm, choose_entry_vms
from plantainstand_control._directory import MAX_ADDRESSES
from plantainstand_core import AvailabilityZoneId, RegionId

_CLIENT = ClientLocation(RegionId('norte'), AvailabilityZoneId('norte-a'))


def _entry_vm(name: str, region: str, *, ready: bool = True) -> EntryVm:
    zone = AvailabilityZoneId(f'{region}-a')
    return EntryVm(name, zone, RegionId(region), ready)


class DirectoryTests(unittest.TestCase):
    """Guards against clients that are sent to far or stopping entry VMs."""

    def test_nearest_ready_vms_are_chosen(self) -> None:
        """The client's region comes first, then home regions, then others."""
        near = _entry_vm('near', 'norte')
        stopping = _entry_vm('stopping', 'norte', ready=False)
        far = _entry_vm('far', 'sul')
        home = _entry_vm('home', 'centro')
        cases: tuple[tuple[list[EntryVm], list[str]], ...] = (
            ([near, stopping, far], ['near']),
            ([stopping, far, home], ['home']),
            ([stopping, far], ['far']),
            ([stopping], []),
        )
        for entries, expected in cases:
            with self.subTest(expected):
                chosen = choose_entry_vms(
                    entries,
                    _CLIENT,
                    frozenset((RegionId('centro'),)),
                )
                self.assertEqual(list(chosen), expected)

    def test_region_with_more_vms_than_fit_into_an_answer(self) -> None:
        """Each VM gets clients, and the same ones for each order of the list.

        A choice that depends on the order would make clients reconnect.
        """
        region = RegionId('norte')
        zones = [AvailabilityZoneId(f'norte-{name}') for name in 'abc']
        entries = [
            EntryVm(f'{zone}-{number}', zone, region, ready=True)
            for zone in zones
            for number in range(30)
        ]
        chosen_by_any: set[str] = set()
        for zone in zones:
            client = ClientLocation(region, zone)
            chosen = choose_entry_vms(entries, client, frozenset())
            chosen_again = choose_entry_vms(
                list(reversed(entries)), client, frozenset()
            )
            self.assertEqual(chosen, chosen_again)
            self.assertEqual(len(chosen), MAX_ADDRESSES)
            chosen_by_any.update(chosen)
        self.assertEqual(len(chosen_by_any), len(entries))
