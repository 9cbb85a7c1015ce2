"""No capacity is exceeded and lost shares come back, whatever fails."""

import unittest
from collections.abc import Callable
from types import MappingProxyType

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule
from plantainstand_core import ResourceId

from tests.shares.world import GRACE, Process, World

_ZONES = MappingProxyType({'1': 'abc', '2': 'de', '3': 'f'})
_VMS = st.sampled_from('abcdef')
_RATES = st.sampled_from((1, 1.01, 1.02))


class _Faults(RuleBasedStateMachine):
    """Any order of faults; the world checks the capacities itself."""

    def __init__(self) -> None:
        super().__init__()
        self._world = World(_ZONES)

    @rule(duration=st.sampled_from((500, 1500, 4000, 12000)))
    def run_on(self, duration: int) -> None:
        """Time passes."""
        self._world.run(duration)

    @rule(vms=st.sets(_VMS), group=st.integers(0, 1))
    def cut(self, vms: set[str], group: int) -> None:
        """Some VMs are cut off, together or connected again."""
        for vm in vms:
            self._world.group[vm] = group

    @rule(zone=st.sampled_from(('abc', 'de', 'f')), group=st.integers(0, 3))
    def cut_zone(self, zone: str, group: int) -> None:
        """A whole zone is cut off."""
        self.cut(set(zone), group)

    @rule(vm=_VMS)
    def freeze_or_thaw(self, vm: str) -> None:
        """A VM stands still, or goes on and reads old answers."""
        self._world.frozen.symmetric_difference_update(vm)

    @rule(vm=_VMS)
    def lose_answers(self, vm: str) -> None:
        """Answers to a VM get lost, or arrive again."""
        self._world.deaf.symmetric_difference_update(vm)

    @rule(vm=_VMS)
    def lose_leader(self, vm: str) -> None:
        """A VM reaches its peers but not the leader, or both again."""
        self._world.leaderless.symmetric_difference_update(vm)

    @rule(vm=_VMS)
    def stop_following(self, vm: str) -> None:
        """A VM misses changes although it is supported, or catches up."""
        self._world.stale.symmetric_difference_update(vm)

    @rule(delay=st.sampled_from((0, 400, 2800)))
    def slow_answers(self, delay: int) -> None:
        """Answers take longer."""
        self._world.delay = delay

    @rule(vm=_VMS)
    def kill(self, vm: str) -> None:
        """A process dies."""
        self._world.kill(vm)

    @rule(vm=_VMS, rate=_RATES)
    def restart(self, vm: str, rate: float) -> None:
        """A process starts, perhaps in place of another one."""
        self._world.restart(vm, rate)

    @rule(vm=_VMS)
    def terminate(self, vm: str) -> None:
        """A VM is gone for good; the platform's list does not know yet."""
        self._world.terminate(vm)

    @rule()
    def refresh_list(self) -> None:
        """The platform's list catches up."""
        self._world.listed.update(self._world.gone)

    @rule(vm=_VMS)
    def leave(self, vm: str) -> None:
        """A VM leaves."""
        self._world.leave(vm)

    @rule(rate=_RATES, lose_tail=st.booleans())
    def elect(self, rate: float, lose_tail: bool) -> None:
        """Another voter leads."""
        self._world.elect(rate, lose_tail)

    @rule()
    def stop_or_start_commits(self) -> None:
        """The leader loses or finds its majority."""
        self._world.commits = not self._world.commits

    @rule(capacity=st.integers(0, 8))
    def set_capacity(self, capacity: int) -> None:
        """An operator changes limits."""
        for resource in self._world.capacity:
            self._world.capacity[resource] = capacity


FaultsTest = _Faults.TestCase
FaultsTest.settings = settings(
    derandomize=True,
    max_examples=200,
    stateful_step_count=30,
    deadline=None,
)


def _kill_and_list(world: World) -> None:
    world.terminate('a')
    world.listed.update(world.gone)


def _kill_and_elect(world: World) -> None:
    world.kill('a')
    world.run(8000)
    world.elect()


def _kill_and_restart(world: World) -> None:
    world.kill('a')
    world.run(1000)
    world.restart('a')


def _cut_then_kill(world: World) -> None:
    world.group['a'] = 1
    world.run(8000)
    world.kill('a')


# Name, VMs of the zone, fault, milliseconds until nothing is held any more.
_LOSSES: tuple[tuple[str, str, Callable[[World], None], int], ...] = (
    ('zone of two', 'ab', lambda world: world.kill('a'), 11000),
    ('zone of three', 'abc', lambda world: world.kill('a'), 11000),
    ('zone of five', 'abcde', lambda world: world.kill('a'), 11000),
    ('leader change in between', 'abc', _kill_and_elect, 12500),
    ('cut off before', 'abc', _cut_then_kill, 4000),
    ('sole, restarted', 'a', _kill_and_restart, 7500),
    ('sole, terminated', 'a', _kill_and_list, 7500),
    ('sole', 'a', lambda world: world.kill('a'), 24500),
)


class RecoveryTest(unittest.TestCase):
    """Guards against shares that are lost, or idle, after a fault."""

    def test_lost_share_comes_back(self) -> None:
        """Within a bounded time the whole capacity is usable again."""
        for name, vms, lose, bound in _LOSSES:
            with self.subTest(name):
                world = World({'1': vms, '2': 'z'})
                lost = world.processes['a'].key
                lose(world)
                world.run(bound)
                view = world.leader.state.view()
                self.assertNotIn(lost, view.by_vm)
                world.run(2000)
                view = world.leader.state.view()
                held = view.resources[ResourceId('target/1')].holders.values()
                self.assertEqual(sum(share.share for share in held), 6)

    def test_isolated_zones(self) -> None:
        """Zones and sole VMs without leader go on, a cut-off VM does not."""
        world = World(_ZONES)
        world.group.update({vm: 1 for vm in 'abc'}, d=2, e=3, f=4)
        world.run(GRACE - 1000)
        usable = {
            vm: process.holder.has_authority()
            for vm, process in world.processes.items()
        }
        expected = {vm: vm in 'abcf' for vm in 'abcdef'}
        self.assertEqual(usable, expected)
        world.run(2000)
        self.assertFalse(world.processes['f'].holder.has_authority())
        world.group.update(dict.fromkeys(world.group, 0))
        world.run(1000)
        self.assertTrue(all(map(_has_authority, world.processes.values())))

    def test_cut_off_from_the_leader_only(self) -> None:
        """Nobody gets a share while its holder, or its work, still uses it."""
        for vms, rates in (
            ('ab', (1.02, 1)),
            ('abc', (1.02, 1)),
            ('abc', (1, 1.02)),
        ):
            with self.subTest(vms, rates=rates):
                world = World({'1': vms, '2': 'z'})
                world.elect(rates[0])
                world.restart('a', rates[1])
                world.run(20000)
                lost = world.processes['a'].key
                world.frozen.add('b')
                world.run(300)
                world.frozen.clear()
                world.leaderless.add('a')
                world.run(16000)
                self.assertNotIn(lost, world.leader.state.view().by_vm)

    def test_old_answers_after_a_freeze(self) -> None:
        """Answers that a frozen VM reads too late give it no authority."""
        world = World(_ZONES)
        world.delay = 2800
        world.run(3000)
        world.frozen.add('a')
        world.run(30000)
        world.frozen.clear()
        world.group['a'] = 1
        world.run(1000)
        self.assertFalse(world.processes['a'].holder.has_authority())

    def test_clean_stop_frees_at_once(self) -> None:
        """A VM that leaves keeps nothing once its work has ended."""
        world = World(_ZONES)
        key = world.processes['a'].key
        world.leave('a')
        world.run(5000)
        self.assertNotIn(key, world.leader.state.view().by_vm)


def _has_authority(process: Process) -> bool:
    return process.holder.has_authority()
