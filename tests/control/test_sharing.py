"""Guards the number of entry VMs among which limits are split."""

import unittest
from datetime import timedelta

from plantainstand_control._sharing import (
    AGREEMENT_TIME,
    RETENTION,
    SETTLING_TIME,
    SharingRegistry,
)
from plantainstand_core import RegionId, VmId
from plantainstand_fleet import sharing_digest, vm_seed

_NOW = timedelta(hours=1)
_TICK = timedelta(milliseconds=500)
_REGION = RegionId('norte')
_STAYS = VmId('10.0.0.1')
_LOST = VmId('10.0.0.2')


class SharingRegistryTests(unittest.TestCase):
    """A VM that nobody sees may still send."""

    def setUp(self) -> None:
        """Start with two VMs that have reported for long."""
        self.now = _NOW
        self.registry = SharingRegistry(_NOW, is_first_start=False)
        self._pass(SETTLING_TIME, (_STAYS, _LOST))

    def test_lost_vm_is_counted_until_its_lease_has_ended(self) -> None:
        """It is dropped only then."""
        self._pass(RETENTION, (_STAYS,))
        self.assertEqual(self._count(), 2)
        self._pass(_TICK * 2, (_STAYS,))
        self.assertEqual(self._count(), 1)

    def test_nothing_is_dropped_without_the_leader(self) -> None:
        """Others may report to control VMs behind a cut."""
        self._pass(RETENTION * 5, (_STAYS,), may_shrink=False)
        self.assertEqual(self._count(), 2)
        self._pass(RETENTION - _TICK, (_STAYS,))
        self.assertEqual(self._count(), 2)

    def test_restarted_vm_stays_settled(self) -> None:
        """Guards against planned restarts that leave cold targets idle."""
        self._pass(timedelta(seconds=3), (_STAYS,))
        self._pass(_TICK, (_STAYS, _LOST))
        self.assertTrue(self.registry.is_settled(_LOST, self.now))

    def test_new_vm_settles_once_all_others_count_it(self) -> None:
        """So does one that comes back after it was dropped."""
        self._pass(RETENTION + _TICK * 2, (_STAYS,))
        self._pass(SETTLING_TIME - _TICK, (_STAYS, _LOST))
        self.assertFalse(self.registry.is_settled(_LOST, self.now))
        self._pass(_TICK * 2, (_STAYS, _LOST))
        self.assertTrue(self.registry.is_settled(_LOST, self.now))

    def test_new_vm_settles_when_all_say_that_they_count_it(self) -> None:
        """Guards against VMs that are idle for long after they were added."""
        new = VmId('10.0.0.3')
        all_vms = (_STAYS, _LOST, new)
        digest = sharing_digest(map(vm_seed, all_vms))
        self._pass(AGREEMENT_TIME, all_vms, digest=digest)
        self.assertFalse(self.registry.is_settled(new, self.now))
        self._pass(_TICK, all_vms, digest=digest)
        self.assertTrue(self.registry.is_settled(new, self.now))
        self._pass(_TICK, all_vms, digest=1)
        self.assertFalse(self.registry.is_settled(new, self.now))
        self._pass(AGREEMENT_TIME * 2, (_STAYS, new), digest=digest)
        self.assertFalse(self.registry.is_settled(new, self.now))

    def test_control_vm_that_has_just_started(self) -> None:
        """It does not know who holds a lease, unless all start for the first
        time.
        """
        digest = sharing_digest([vm_seed(_STAYS)])
        for is_first_start in (False, True):
            self.now = _NOW
            self.registry = SharingRegistry(_NOW, is_first_start=is_first_start)
            self._pass(AGREEMENT_TIME + _TICK, (_STAYS,), digest=digest)
            self.assertEqual(
                self.registry.is_settled(_STAYS, self.now), is_first_start
            )

    def _pass(
        self,
        duration: timedelta,
        present: tuple[VmId, ...],
        *,
        may_shrink: bool = True,
        digest: int = 0,
    ) -> None:
        end = self.now + duration
        while self.now < end:
            self.now += _TICK
            self.registry.update(
                dict.fromkeys(present, _REGION),
                dict.fromkeys(present, digest),
                self.now,
                may_shrink=may_shrink,
            )

    def _count(self) -> int:
        return sum(len(each.seeds) for each in self.registry.regions())
