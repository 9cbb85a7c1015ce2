"""Which entry VMs a client is sent to."""

import unittest

from plantainstand_control import EntryVm, choose_entries
from plantainstand_core import AvailabilityZoneId, RegionId


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
                    RegionId('norte'),
                    frozenset((RegionId('centro'),)),
                )
                self.assertEqual(list(chosen), expected)
