"""Which control VMs an entry VM connects to."""

import unittest
from collections import Counter
from itertools import product

from plantainstand_core import AvailabilityZoneId, RegionId, VmId
from plantainstand_edge._control_choice import (
    MAX_CONTROL_LINKS,
    choose_controls,
)
from plantainstand_fleet import ControlVm

_REGIONS = ('bajio', 'norte', 'occidente')


def _controls(zones: str, count: int) -> list[ControlVm]:
    return [
        ControlVm(
            VmId(f'{region}-{zone}-{number}'),
            AvailabilityZoneId(f'{region}-{zone}'),
            RegionId(region),
        )
        for region, zone, number in product(_REGIONS, zones, range(count))
    ]


def _chosen(vm: str, known: list[ControlVm]) -> list[VmId]:
    zone = AvailabilityZoneId('norte-a')
    order = choose_controls(VmId(vm), zone, RegionId('norte'), known)
    return list(order[:MAX_CONTROL_LINKS])


class ChoiceTests(unittest.TestCase):
    """Own zone, all regions, and an even load."""

    def test_survives_the_loss_of_other_regions(self) -> None:
        """A zone that is cut off still hears its own control VM."""
        chosen = _chosen('vm', _controls('abc', 2))
        self.assertTrue(chosen[0].startswith('norte-a'))
        regions = Counter(vm.partition('-')[0] for vm in chosen)
        self.assertEqual(set(regions), set(_REGIONS))
        self.assertGreaterEqual(min(regions.values()), 2)

    def test_links_are_spread(self) -> None:
        """All VMs at the same control VMs would leave the others alone."""
        known = _controls('abc', 6)
        links = Counter(
            vm for number in range(400) for vm in _chosen(str(number), known)
        )
        self.assertEqual(len(_chosen('1', known)), MAX_CONTROL_LINKS)
        far = [links[place.vm] for place in known if place.region != 'norte']
        self.assertLess(max(far), 2 * sum(far) / len(far))

    def test_does_not_depend_on_the_order_of_rosters(self) -> None:
        """Links must not change with each roster."""
        known = _controls('ab', 2)
        self.assertEqual(
            _chosen('vm', known), _chosen('vm', list(reversed(known)))
        )

    def test_few(self) -> None:
        """With few control VMs all are used."""
        self.assertEqual(len(_chosen('vm', _controls('a', 1))), 3)
