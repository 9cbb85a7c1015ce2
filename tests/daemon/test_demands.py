"""Capacity and possible owners of limited resources."""

import unittest
from collections.abc import Mapping

import msgspec
import plantainstand_catalogue as catalogue
from plantainstand_catalogue import DrainSubjectKind
from plantainstand_core import ResourceId, VmId
from plantainstand_daemon._demands import build_demands
from plantainstand_shares import DepartVm, MarkLeaving, ShareDemand, ShareUnit

from tests.catalogue import examples
from tests.daemon.deployment import OWN, Deployment, with_slots

_VMS = ('bajio-a-1', 'bajio-a-2', 'bajio-b-1', 'norte-a-1')


def _region_with_limit(in_flight: int) -> catalogue.Region:
    limits = catalogue.InFlightLimits(in_flight)
    return msgspec.structs.replace(examples.region('bajio'), limits=limits)


def _zone_with_limit(name: str, in_flight: int) -> catalogue.AvailabilityZone:
    limits = catalogue.InFlightLimits(in_flight)
    zone = examples.zone(name, 'bajio')
    return msgspec.structs.replace(zone, limits=limits)


def _target_with_slots(zone: str, count: int, number: int) -> catalogue.Target:
    target = examples.target(f't-{number}', zone, 22000 + number)
    return with_slots(target, count)


# Limit of the region, slots in its zones a and b, limits of the zones, and
# the expected capacities of the two zones.
_REGION_CASES = (
    ('even', 100, (8, 8), (99, 99), (50, 50)),
    ('by slots', 100, (9, 3), (99, 99), (75, 25)),
    ('rounded down', 10, (1, 2), (99, 99), (3, 6)),
    ('limit below the slots', 3, (8, 4), (99, 99), (2, 1)),
    ('no room for the smaller zone', 1, (8, 4), (99, 99), (0, 0)),
    ('zone limits below the parts', 100, (9, 3), (40, 20), (40, 20)),
    ('one zone without slots', 90, (8, 0), (99, 99), (90, 0)),
    ('no slots at all', 100, (0, 0), (99, 99), (0, 0)),
    ('region closed', 0, (8, 8), (99, 99), (0, 0)),
)


def _demands(deployment: Deployment) -> Mapping[ResourceId, ShareDemand]:
    return {
        demand.resource: demand for demand in build_demands(deployment.view)
    }


def _find_demand(deployment: Deployment, resource: str) -> ShareDemand:
    return _demands(deployment)[ResourceId(resource)]


def _owners(demand: ShareDemand) -> tuple[VmId, ...]:
    return next((tier for tier in demand.tiers if tier), ())


class CapacityTest(unittest.TestCase):
    """Guards against parts of a limit that add up to more than the limit."""

    def test_region_parts(self) -> None:
        """A region's limit is divided among its zones by their slots."""
        for name, limit, counts, zone_limits, expected in _REGION_CASES:
            with self.subTest(name):
                entries = (
                    *examples.ENTRIES[:7],
                    _region_with_limit(limit),
                    _zone_with_limit('bajio-a', zone_limits[0]),
                    _zone_with_limit('bajio-b', zone_limits[1]),
                    _target_with_slots('bajio-a', counts[0], 1),
                    _target_with_slots('bajio-b', counts[1], 2),
                )
                deployment = Deployment(entries, _VMS)
                parts = tuple(
                    _find_demand(deployment, f'zone/{zone}').capacity
                    for zone in ('bajio-a', 'bajio-b')
                )
                self.assertEqual(parts, expected)
                self.assertLessEqual(sum(parts), limit)

    def test_link_halves(self) -> None:
        """Requests and responses of a link add up to less than its rate."""
        deployment = Deployment(examples.ENTRIES, _VMS)
        halves = [
            _find_demand(deployment, f'link/bajio/norte/{half}')
            for half in ('requests', 'responses')
        ]
        for demand in halves:
            self.assertIs(demand.unit, ShareUnit.RATE)
            self.assertAlmostEqual(demand.capacity, 450000)

    def test_shift_cap(self) -> None:
        """Each service has its own shift limit on each link."""
        entries = (*examples.ENTRIES, examples.service('order'))
        deployment = Deployment(entries, _VMS)
        for service in ('catalogue', 'order'):
            demand = _find_demand(deployment, f'shift/{service}/bajio/norte')
            self.assertEqual(demand.capacity, 10)
            self.assertIs(demand.unit, ShareUnit.RATE)

    def test_drains(self) -> None:
        """A target has no capacity while any drain covers it."""
        drains = (
            (DrainSubjectKind.TARGET, 'catalogue-1', 0),
            (DrainSubjectKind.AVAILABILITY_ZONE, 'bajio-a', 0),
            (DrainSubjectKind.REGION, 'bajio', 0),
            (DrainSubjectKind.TARGET, 'catalogue-2', 4),
            (DrainSubjectKind.REGION, 'norte', 4),
            (DrainSubjectKind.VM, 'bajio-a-1', 4),
        )
        deployment = Deployment(examples.ENTRIES, _VMS)
        for kind, name, expected in drains:
            with self.subTest(kind=kind, name=name):
                deployment.drain(kind, name)
                found = _find_demand(deployment, 'target/catalogue-1')
                self.assertEqual(found.capacity, expected)
                deployment.withdraw(kind, name)
                found = _find_demand(deployment, 'target/catalogue-1')
                self.assertEqual(found.capacity, 4)

    def test_shares_keep_to_the_limits(self) -> None:
        """The planned shares use each capacity and do not exceed it."""
        deployment = Deployment(examples.ENTRIES, _VMS)
        demands = _demands(deployment)
        resources = deployment.view.shares.resources
        for resource, demand in demands.items():
            with self.subTest(resource):
                shares = resources.get(resource)
                held = shares.held if shares else 0
                self.assertLessEqual(held, demand.capacity)
                # Rates are divided in steps, which leaves a small remainder.
                self.assertGreaterEqual(held, 0.99 * demand.capacity)


# Registered VMs and the expected owners of the resources of zone bajio-a.
_TIER_CASES = (
    ('own zone', _VMS, ('bajio-a-1', 'bajio-a-2')),
    ('one VM in the zone', ('bajio-a-2', 'bajio-b-1'), ('bajio-a-2',)),
    ('same region', ('bajio-b-1', 'norte-a-1'), ('bajio-b-1',)),
    ('anywhere', ('norte-a-1',), ('norte-a-1',)),
    ('nobody', (), ()),
)


class OwnerTest(unittest.TestCase):
    """Guards against targets without an owner or with a wrong one."""

    def test_tiers(self) -> None:
        """A zone without a VM is served by its region, then by any VM."""
        for name, vms, expected in _TIER_CASES:
            with self.subTest(name):
                deployment = Deployment(examples.ENTRIES, vms)
                for resource in ('target/catalogue-1', 'zone/bajio-a'):
                    owners = _owners(_find_demand(deployment, resource))
                    self.assertEqual(owners, expected)

    def test_link_owners(self) -> None:
        """Each half of a link belongs to the region that sends requests."""
        deployment = Deployment(examples.ENTRIES, _VMS)
        bajio = ('bajio-a-1', 'bajio-a-2', 'bajio-b-1')
        cases = (
            ('link/bajio/norte/requests', bajio),
            ('link/bajio/norte/responses', ('norte-a-1',)),
            ('shift/catalogue/bajio/norte', bajio),
        )
        for resource, expected in cases:
            demand = _find_demand(deployment, resource)
            self.assertEqual(demand.tiers, (expected,))

    def test_departure(self) -> None:
        """A leaving VM gets no shares; a departed VM owns none."""
        deployment = Deployment(examples.ENTRIES, _VMS)
        deployment.commit_share_command(MarkLeaving(*OWN))
        deployment.settle()
        shares = deployment.view.shares.resources
        holders = shares[ResourceId('target/catalogue-1')].holders
        in_use = {key.vm for key, held in holders.items() if held.share}
        self.assertEqual(in_use, {VmId('bajio-a-2')})
        deployment.commit_share_command(DepartVm(*OWN))
        owners = _owners(_find_demand(deployment, 'target/catalogue-1'))
        self.assertEqual(owners, ('bajio-a-2',))
