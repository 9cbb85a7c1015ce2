"""Which entry VMs a client is sent to."""

import unittest

from plantainstand_control import ClientLocation, EntryVm, choose_entries
from plantainstand_control._directory import MAX_ADDRESSES
from plantainstand_core import AvailabilityZoneId, RegionId

_CLIENT = ClientLocation(RegionId('norte'), AvailabilityZoneId('norte-a'))


def _entry(name: str, region: str, *, ready: bool = True) -> EntryVm:
    zone = AvailabilityZoneId(f'{region}-a')
    return EntryVm(name, zone, RegionId(region), ready)


class DirectoryTests(unittest.TestCase):
    """Nearest ready VMs first, never one that is stopping."""

    def test_choices(self) -> None:
        """Table of regions."""
        near = _entry('near', 'norte')
        stopping = _entry('stopping', 'norte', ready=False)
        far = _entry('far', 'sul')
        home = _entry('home', 'centro')
        cases: tuple[tuple[list[EntryVm], list[str]], ...] = (
            ([near, stopping, far], ['near']),
            ([stopping, far, home], ['home']),
            ([stopping, far], ['far']),
            ([stopping], []),
        )
        for entries, expected in cases:
            with self.subTest(expected):
                chosen = choose_entries(
                    entries,
                    _CLIENT,
                    frozenset((RegionId('centro'),)),
                )
                self.assertEqual(list(chosen), expected)

    def test_more_vms_than_an_answer_holds(self) -> None:
        """Each VM of a large region must get clients, and keep them."""
        region = RegionId('norte')
        zones = [AvailabilityZoneId(f'norte-{name}') for name in 'abc']
        entries = [
            EntryVm(f'{zone}-{number}', zone, region, ready=True)
            for zone in zones
            for number in range(30)
        ]
        named: set[str] = set()
        for zone in zones:
            client = ClientLocation(region, zone)
            chosen = choose_entries(entries, client, frozenset())
            again = choose_entries(list(reversed(entries)), client, frozenset())
            self.assertEqual(chosen, again)
            self.assertEqual(len(chosen), MAX_ADDRESSES)
            named.update(chosen)
        self.assertEqual(len(named), len(entries))
