"""Guards the lease by which a VM uses its part of common limits."""

import unittest
from collections.abc import Callable
from datetime import timedelta

import msgspec
from plantainstand_core import ManualClock, VmId
from plantainstand_edge._fleet_view import (
    ASSUMED_ENTRY_COUNT,
    LEASE,
    MEMORY,
    FleetView,
)

from tests.edge.builders import roster

_OWN = VmId('10.0.0.9')
_FIRST = VmId('10.0.0.1')
_SECOND = VmId('10.0.0.2')
_TICK = timedelta(milliseconds=500)


class FleetViewTests(unittest.TestCase):
    """A part that another VM may hold as well breaks a limit."""

    def setUp(self) -> None:
        """Start a VM that hears two control VMs."""
        self.clock = ManualClock()
        self.unheard: dict[VmId, timedelta] = {}
        self.pauses = 0
        self.view = FleetView(_OWN, self.clock, self._heard_at, self._pause)

    def test_without_a_control_vm(self) -> None:
        """It has no part, and assumes many VMs."""
        self._tick(10)
        self.assertFalse(self.view.is_leased)
        self.assertEqual(self.view.entry_count, ASSUMED_ENTRY_COUNT)

    def test_new_vm(self) -> None:
        """It waits until it is settled, and a second after its start."""
        self.view.record(_FIRST, roster(_OWN, 5))
        self.assertFalse(self.view.is_leased)
        self._tick(2)
        self.assertTrue(self.view.is_leased)
        self.assertEqual(self.view.entry_count, 5)

    def test_lease_is_not_granted(self) -> None:
        """Neither by a control VM without the leader, nor to a VM that others
        may not count.
        """
        granted = roster(_OWN, 5)
        for changes in (
            {'is_authoritative': False},
            {'receiver_is_settled': False},
            {'sharing': ()},
        ):
            with self.subTest(changes=changes):
                self.setUp()
                self.view.record(
                    _FIRST, msgspec.structs.replace(granted, **changes)
                )
                self._tick(20)
                self.assertFalse(self.view.is_leased)

    def test_lease_ends(self) -> None:
        """Guards against a VM that is cut off and keeps its part."""
        cut: tuple[Callable[[], None], ...] = (
            lambda: self.unheard.update({_FIRST: self.clock.monotonic()}),
            lambda: self.view.remove_source(_FIRST),
            lambda: self.view.record(
                _FIRST,
                msgspec.structs.replace(
                    roster(_OWN, 5), is_authoritative=False
                ),
            ),
        )
        for number, cut_off in enumerate(cut):
            with self.subTest(number=number):
                self.setUp()
                self.view.record(_FIRST, roster(_OWN, 5))
                self._tick(4)
                cut_off()
                self._tick(LEASE // _TICK - 1)
                self.assertTrue(self.view.is_leased)
                self._tick(2)
                self.assertFalse(self.view.is_leased)

    def test_control_vms_that_have_just_started(self) -> None:
        """A VM that holds a lease keeps it; they cannot know it is settled."""
        self.view.record(_FIRST, roster(_OWN, 5))
        self._tick(4)
        self.view.remove_source(_FIRST)
        self._tick(4)
        new = msgspec.structs.replace(
            roster(_OWN, 5), receiver_is_settled=False
        )
        self.view.record(_SECOND, new)
        self._tick(60)
        self.assertTrue(self.view.is_leased)

    def test_count_falls_slowly(self) -> None:
        """Guards against VMs that are not counted because nobody sees them."""
        self.view.record(_FIRST, roster(_OWN, 11))
        self._tick(4)
        self.view.record(_FIRST, roster(_OWN, 2))
        self.view.record(_SECOND, roster(_OWN, 3))
        self._tick(MEMORY // _TICK - 1)
        self.assertEqual(self.view.entry_count, 11)
        self._tick(3)
        self.assertEqual(self.view.entry_count, 3)

    def test_unchanged_vms_are_not_sent_again(self) -> None:
        """A roster without VMs means those of the roster before."""
        self.view.record(_FIRST, roster(_OWN, 5))
        same = msgspec.structs.replace(roster(_OWN, 5), sharing=None)
        self.view.record(_FIRST, same)
        self._tick(60)
        self.assertTrue(self.view.is_leased)
        self.assertEqual(self.view.entry_count, 5)

    def test_frozen_vm(self) -> None:
        """It must not use its part when it wakes, before it hears anyone."""
        self.view.record(_FIRST, roster(_OWN, 5))
        self._tick(4)
        self.clock.advance(timedelta(seconds=3))
        self.assertFalse(self.view.is_leased)
        self._tick(10)
        self.assertFalse(self.view.is_leased)
        self.assertEqual(self.pauses, 1)
        self.view.record(_FIRST, roster(_OWN, 5))
        self.assertTrue(self.view.is_leased)

    def _tick(self, number: int) -> None:
        while number:
            self.clock.advance(_TICK)
            self.view.check()
            number -= 1

    def _heard_at(self, control: VmId) -> timedelta:
        return self.unheard.get(control, self.clock.monotonic())

    def _pause(self) -> None:
        self.pauses += 1
