"""Guards the numbers by which limits are split among entry VMs."""

import unittest

from plantainstand_core import VmId
from plantainstand_edge._fleet_size import ASSUMED_ENTRY_COUNT, FleetSize

_FIRST = VmId('10.0.0.1')
_SECOND = VmId('10.0.0.2')


class FleetSizeTests(unittest.TestCase):
    """Too small a number, or a position in another order, breaks limits."""

    def test_position_belongs_to_the_number(self) -> None:
        """Both come from the control VM that knows the most entry VMs."""
        size = FleetSize()
        self.assertEqual(size.entry_count, ASSUMED_ENTRY_COUNT)
        self.assertIsNone(size.position)
        size.record(_FIRST, 9, 8)
        size.record(_SECOND, 4, 1)
        self.assertEqual((size.entry_count, size.position), (9, 8))
        size.remove_source(_FIRST)
        self.assertEqual((size.entry_count, size.position), (4, 1))
        size.remove_source(_SECOND)
        self.assertEqual((size.entry_count, size.position), (4, 1))

    def test_vm_without_a_position(self) -> None:
        """A control VM that has no report of this VM yet names none."""
        size = FleetSize()
        size.record(_FIRST, 9)
        self.assertIsNone(size.position)
