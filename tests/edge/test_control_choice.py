"""Guards which control VMs an entry VM connects to."""

import unittest
from collections import Counter
from itertools import product

from plantainstand_core import AvailabilityZoneId, RegionId, VmId
from plantainstand_edge._control_choice import (
    MAX_CONTROL_LINKS,
    order_control_vms,
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
    order = order_control_vms(VmId(vm), zone, RegionId('norte'), known)
    return list(order[:MAX_CONTROL_LINKS])


class ChoiceTests(unittest.TestCase):
    """Links cover the own zone and all regions, and load VMs evenly."""

    def test_survives_the_loss_of_other_regions(self) -> None:
        """An isolated availability zone keeps a link to its own control VM."""
        chosen = _chosen('vm', _controls('abc', 2))
        self.assertTrue(chosen[0].startswith('norte-a'))
        regions = Counter(vm.partition('-')[0] for vm in chosen)
        self.assertEqual(set(regions), set(_REGIONS))
        self.assertGreaterEqual(min(regions.values()), 2)

    def test_links_are_spread(self) -> None:
        """Entry VMs must not all connect to the same control VMs."""
        known = _controls('abc', 6)
        links = Counter(
            vm for number in range(400) for vm in _chosen(str(number), known)
        )
        self.assertEqual(len(_chosen('1', known)), MAX_CONTROL_LINKS)
        far = [links[place.vm] for place in known if place.region != 'norte']
        self.assertLess(max(far), 2 * sum(far) / len(far))

    def test_does_not_depend_on_the_order_of_rosters(self) -> None:
        """Rosters in another order must not change the links."""
        known = _controls('ab', 2)
        self.assertEqual(
            _chosen('vm', known), _chosen('vm', list(reversed(known)))
        )

    def test_few_control_vms(self) -> None:
        """An entry VM connects to all control VMs if there are few."""
        self.assertEqual(len(_chosen('vm', _controls('a', 1))), 3)
