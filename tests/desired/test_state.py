"""Versions decide which item holds; a refused call changes nothing."""

import unittest

from plantainstand_core import AvailabilityZoneId, LogIndex
from plantainstand_desired import (
    ChangeItems,
    DesiredState,
    Item,
    SetEvacuation,
    Verdict,
)

from tests.desired.builders import Log, removal, route_item, service_item

_ZONE = AvailabilityZoneId('norte-a')


def _log() -> Log:
    return Log(ChangeItems((service_item(), route_item('shop', 5))))


def _version(state: DesiredState, name: str) -> int | None:
    versions = {each.name: each.version for each in state.current_items}
    return versions.get(name)


class VersionTests(unittest.TestCase):
    """Old, repeated and conflicting versions arrive in any order."""

    def test_versions(self) -> None:
        """The highest version holds, whatever comes after it."""
        cases: tuple[tuple[str, Item, Verdict, int | None], ...] = (
            ('newer', route_item('shop', 9), Verdict.ACCEPTED, 9),
            ('resent', route_item('shop', 5), Verdict.ACCEPTED, 5),
            ('older', route_item('shop', 4, timeout=2), Verdict.ACCEPTED, 5),
            (
                'same version, other content',
                route_item('shop', 5, timeout=2),
                Verdict.CONFLICT,
                5,
            ),
            ('removed', removal('shop', 6), Verdict.ACCEPTED, None),
            ('removed too late', removal('shop', 4), Verdict.ACCEPTED, 5),
            (
                'removed under the same version',
                removal('shop', 5),
                Verdict.CONFLICT,
                5,
            ),
        )
        for name, item, verdict, version in cases:
            with self.subTest(name):
                log = _log()
                self.assertEqual(log.change(item).verdict, verdict)
                self.assertEqual(_version(log.state, 'shop'), version)

    def test_removed_item_stays_removed(self) -> None:
        """An older version that arrives late does not bring it back."""
        log = _log()
        log.change(removal('shop', 8))
        log.change(route_item('shop', 7))
        self.assertIsNone(_version(log.state, 'shop'))

    def test_accepted_change_is_accepted_again(self) -> None:
        """A lost acknowledgement makes the operator send it again."""
        log = _log()
        change = ChangeItems((route_item('shop', 6), removal('gone', 6)))
        self.assertEqual(log.apply(change).verdict, Verdict.ACCEPTED)
        self.assertEqual(log.apply(change).verdict, Verdict.ACCEPTED)


class ValidityTests(unittest.TestCase):
    """No part of an invalid call comes into force."""

    def test_invalid(self) -> None:
        """Each kind of invalid item refuses the whole call."""
        cases = {
            'unknown service': route_item('bad', 6, service='none'),
            'same place': route_item('bad', 6),
            'same place, other case': route_item(
                'bad',
                6,
                host='SHOP.example',
            ),
            'no host': route_item('bad', 6, host=''),
            'prefix without a slash': route_item('bad', 6, prefix='orders/'),
            'objective far above the timeout': route_item(
                'bad',
                6,
                prefix='/else/',
                objective=61,
            ),
            'no weight': route_item('bad', 6, prefix='/else/', weight=0),
            'no timeout': route_item('bad', 6, prefix='/else/', timeout=0),
            'removed service is still used': Item(
                service_item().kind,
                'orders',
                service_item(version=2).version,
                None,
            ),
        }
        for name, item in cases.items():
            with self.subTest(name):
                log = _log()
                outcome = log.change(route_item('shop', 6), item)
                self.assertEqual(outcome.verdict, Verdict.INVALID)
                self.assertEqual(_version(log.state, 'shop'), 5)

    def test_prefix_may_move(self) -> None:
        """A route may take the place that another leaves in the same call."""
        log = _log()
        outcome = log.change(removal('shop', 6), route_item('new', 6))
        self.assertEqual(outcome.verdict, Verdict.ACCEPTED)


class EvacuationTests(unittest.TestCase):
    """Evacuations have no version; the newest order holds."""

    def test_newest_order_holds(self) -> None:
        """A resent order changes nothing."""
        log = _log()
        orders = ((True, 1), (True, 0), (False, 1), (False, 0), (True, 1))
        for active, changed in orders:
            outcome = log.apply(SetEvacuation(_ZONE, active))
            self.assertEqual(outcome.changed, changed)
            self.assertEqual(log.state.evacuations[0].active, active)


class RestoreTests(unittest.TestCase):
    """A restored state answers as the original one."""

    def test_restore(self) -> None:
        """Markers, evacuations and documents survive a snapshot."""
        log = _log()
        log.change(removal('shop', 8))
        log.apply(SetEvacuation(_ZONE, active=True))
        restored = DesiredState()
        restored.restore(log.state.snapshot())
        self.assertEqual(
            restored.items_after(LogIndex(0)),
            log.state.items_after(LogIndex(0)),
        )
        self.assertEqual(restored.evacuations, log.state.evacuations)
