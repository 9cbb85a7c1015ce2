"""Tests of the state machine: versions, validity, evacuations, snapshots."""

import unittest

from plantainstand_core import AvailabilityZoneId, LogIndex
from plantainstand_desired import (
    ChangeItems,
    DesiredState,
    Item,
    SetEvacuation,
    Verdict,
)

from tests.desired.builders import (
    AppliedCommands,
    removal,
    route_item,
    service_item,
)

_ZONE = AvailabilityZoneId('norte-a')


def _state_with_route() -> AppliedCommands:
    return AppliedCommands(ChangeItems((service_item(), route_item('shop', 5))))


def _version(state: DesiredState, name: str) -> int | None:
    versions = {each.name: each.version for each in state.current_items}
    return versions.get(name)


class VersionTests(unittest.TestCase):
    """Guards against old versions that replace newer ones."""

    def test_highest_version_is_kept(self) -> None:
        """Older, repeated and conflicting versions change nothing."""
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
                applied = _state_with_route()
                self.assertEqual(applied.change(item).verdict, verdict)
                self.assertEqual(_version(applied.state, 'shop'), version)

    def test_removed_item_stays_removed(self) -> None:
        """An older version that arrives late does not restore an item."""
        applied = _state_with_route()
        applied.change(removal('shop', 8))
        applied.change(route_item('shop', 7))
        self.assertIsNone(_version(applied.state, 'shop'))

    def test_accepted_change_is_accepted_again(self) -> None:
        """The operator resends a change if its acknowledgement is lost."""
        applied = _state_with_route()
        change = ChangeItems((route_item('shop', 6), removal('gone', 6)))
        self.assertEqual(applied.apply(change).verdict, Verdict.ACCEPTED)
        self.assertEqual(applied.apply(change).verdict, Verdict.ACCEPTED)


class ValidityTests(unittest.TestCase):
    """Guards against invalid items and partly applied commands."""

    def test_invalid_item_rejects_the_command(self) -> None:
        """No item of a command changes if one of its items is invalid."""
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
                applied = _state_with_route()
                outcome = applied.change(route_item('shop', 6), item)
                self.assertEqual(outcome.verdict, Verdict.INVALID)
                self.assertEqual(_version(applied.state, 'shop'), 5)

    def test_prefix_of_a_removed_route(self) -> None:
        """A route may use a prefix that another loses in the same command."""
        applied = _state_with_route()
        outcome = applied.change(removal('shop', 6), route_item('new', 6))
        self.assertEqual(outcome.verdict, Verdict.ACCEPTED)


class EvacuationTests(unittest.TestCase):
    """Evacuations have no version; the newest command is in force."""

    def test_newest_command_is_in_force(self) -> None:
        """A repeated command changes nothing."""
        applied = _state_with_route()
        commands = ((True, 1), (True, 0), (False, 1), (False, 0), (True, 1))
        for active, changed in commands:
            outcome = applied.apply(SetEvacuation(_ZONE, active))
            self.assertEqual(outcome.changed, changed)
            self.assertEqual(applied.state.evacuations[0].active, active)


class RestoreTests(unittest.TestCase):
    """Guards against state that a snapshot loses."""

    def test_restore(self) -> None:
        """Tombstones, evacuations and documents survive a snapshot."""
        applied = _state_with_route()
        applied.change(removal('shop', 8))
        applied.apply(SetEvacuation(_ZONE, active=True))
        restored = DesiredState()
        restored.restore(applied.state.snapshot())
        self.assertEqual(
            restored.items_after(LogIndex(0)),
            applied.state.items_after(LogIndex(0)),
        )
        self.assertEqual(restored.evacuations, applied.state.evacuations)
