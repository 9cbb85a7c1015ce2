"""Capacity limits and recovery of shares under simulated faults."""

import unittest
from collections.abc import Callable
from itertools import product
from types import MappingProxyType

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule
from plantainstand_core import ResourceId

from tests.shares.world import GRACE_MS, Process, SimulatedCluster

_ZONES = MappingProxyType({'1': 'abc', '2': 'de', '3': 'f'})
_VMS = st.sampled_from('abcdef')
_RATES = st.sampled_from((1, 1.01, 1.02))


class _Faults(RuleBasedStateMachine):
    """Random sequences of faults; the cluster checks the capacities."""

    def __init__(self) -> None:
        super().__init__()
        self._cluster = SimulatedCluster(_ZONES)

    @rule(duration=st.sampled_from((500, 1500, 4000, 12000)))
    def run_on(self, duration: int) -> None:
        """Advance time."""
        self._cluster.run(duration)

    @rule(vms=st.sets(_VMS), number=st.integers(0, 1))
    def partition(self, vms: set[str], number: int) -> None:
        """Move some VMs to a partition; the leader is in partition 0."""
        for vm in vms:
            self._cluster.partition_of[vm] = number

    @rule(zone=st.sampled_from(('abc', 'de', 'f')), number=st.integers(0, 3))
    def partition_zone(self, zone: str, number: int) -> None:
        """Move all VMs of a zone to a partition."""
        self.partition(set(zone), number)

    @rule(vm=_VMS)
    def pause_or_resume(self, vm: str) -> None:
        """Pause a VM, or resume it so that it reads old answers."""
        self._cluster.paused.symmetric_difference_update(vm)

    @rule(vm=_VMS)
    def lose_answers(self, vm: str) -> None:
        """Start or stop losing the answers to a VM."""
        self._cluster.losing_answers.symmetric_difference_update(vm)

    @rule(vm=_VMS)
    def lose_leader(self, vm: str) -> None:
        """Cut a VM off from the leader but not from peers, or reconnect it."""
        self._cluster.cut_off_from_leader.symmetric_difference_update(vm)

    @rule(vm=_VMS)
    def stop_following(self, vm: str) -> None:
        """Stop or resume log replication to a VM that sends heartbeats."""
        self._cluster.not_following.symmetric_difference_update(vm)

    @rule(delay=st.sampled_from((0, 400, 2800)))
    def slow_answers(self, delay: int) -> None:
        """Set the delay of answers in milliseconds."""
        self._cluster.delay = delay

    @rule(vm=_VMS)
    def kill(self, vm: str) -> None:
        """End the process of a VM."""
        self._cluster.kill(vm)

    @rule(vm=_VMS, rate=_RATES)
    def restart(self, vm: str, rate: float) -> None:
        """Start a process, in place of a running one if there is one."""
        self._cluster.restart(vm, rate)

    @rule(vm=_VMS)
    def terminate(self, vm: str) -> None:
        """Terminate a VM; the platform's list does not show it yet."""
        self._cluster.terminate(vm)

    @rule()
    def refresh_list(self) -> None:
        """Show all terminated VMs in the platform's list."""
        self._cluster.listed_as_terminated.update(self._cluster.terminated)

    @rule(vm=_VMS)
    def leave(self, vm: str) -> None:
        """Mark a VM as leaving."""
        self._cluster.leave(vm)

    @rule(rate=_RATES, lose_tail=st.booleans())
    def elect(self, rate: float, lose_tail: bool) -> None:
        """Elect another leader, with or without the uncommitted entries."""
        self._cluster.elect(rate, lose_tail)

    @rule()
    def stop_or_start_commits(self) -> None:
        """Let the leader lose or regain its majority."""
        self._cluster.has_quorum = not self._cluster.has_quorum

    @rule(capacity=st.integers(0, 8))
    def set_capacity(self, capacity: int) -> None:
        """Change the capacity of every target."""
        for resource in self._cluster.capacity:
            self._cluster.capacity[resource] = capacity


FaultsTest = _Faults.TestCase
FaultsTest.settings = settings(
    derandomize=True,
    max_examples=200,
    stateful_step_count=30,
    deadline=None,
)


def _kill_and_list(cluster: SimulatedCluster) -> None:
    cluster.terminate('a')
    cluster.listed_as_terminated.update(cluster.terminated)


def _kill_and_elect(cluster: SimulatedCluster) -> None:
    cluster.kill('a')
    cluster.run(8000)
    cluster.elect()


def _kill_and_restart(cluster: SimulatedCluster) -> None:
    cluster.kill('a')
    cluster.run(1000)
    cluster.restart('a')


def _partition_then_kill(cluster: SimulatedCluster) -> None:
    cluster.partition_of['a'] = 1
    cluster.run(8000)
    cluster.kill('a')


# Name, VMs of the zone, fault, milliseconds until the lost VM holds nothing.
_LOSSES: tuple[
    tuple[str, str, Callable[[SimulatedCluster], None], int], ...
] = (
    ('zone of two', 'ab', lambda cluster: cluster.kill('a'), 11000),
    ('zone of three', 'abc', lambda cluster: cluster.kill('a'), 11000),
    ('zone of five', 'abcde', lambda cluster: cluster.kill('a'), 11000),
    ('leader change in between', 'abc', _kill_and_elect, 12500),
    ('cut off before', 'abc', _partition_then_kill, 4000),
    ('sole, restarted', 'a', _kill_and_restart, 7500),
    ('sole, terminated', 'a', _kill_and_list, 7500),
    ('sole', 'a', lambda cluster: cluster.kill('a'), 24500),
)


# VMs of the zone, clock rates of the leader and the lost VM, and milliseconds
# by which the VM's work is shifted relative to the leader's decisions.
_LEADER_CUTS = tuple(
    (vms, *rates, phase)
    for vms, rates, phase in product(
        ('ab', 'abc'),
        ((1.02, 1), (1, 1.02)),
        range(0, 3000, 1000),
    )
)


class RecoveryTest(unittest.TestCase):
    """Tests that shares are reclaimed and assigned again after faults."""

    def test_lost_share_is_reassigned(self) -> None:
        """Fails if a lost VM's shares are not assigned to others in time."""
        for name, vms, cause_loss, bound in _LOSSES:
            with self.subTest(name):
                cluster = SimulatedCluster({'1': vms, '2': 'z'})
                lost = cluster.processes['a'].key
                cause_loss(cluster)
                cluster.run(bound)
                view = cluster.leader.state.view()
                self.assertNotIn(lost, view.by_vm)
                cluster.run(2000)
                view = cluster.leader.state.view()
                held = view.resources[ResourceId('target/1')].holders.values()
                self.assertEqual(sum(share.share for share in held), 6)

    def test_isolated_zones(self) -> None:
        """Fails if authority without the leader is wrong.

        A partition with a majority of its zone keeps authority, and the only
        VM of a zone keeps it for the grace period; others lose it.
        """
        cluster = SimulatedCluster(_ZONES)
        cluster.partition_of.update({vm: 1 for vm in 'abc'}, d=2, e=3, f=4)
        cluster.run(GRACE_MS - 1000)
        has_authority = {
            vm: process.holder.has_authority()
            for vm, process in cluster.processes.items()
        }
        expected = {vm: vm in 'abcf' for vm in 'abcdef'}
        self.assertEqual(has_authority, expected)
        cluster.run(2000)
        self.assertFalse(cluster.processes['f'].holder.has_authority())
        cluster.partition_of.update(dict.fromkeys(cluster.partition_of, 0))
        cluster.run(1000)
        self.assertTrue(all(map(_has_authority, cluster.processes.values())))

    def test_cut_off_from_the_leader_only(self) -> None:
        """Fails if a share is reclaimed while its holder still uses it.

        The holder reaches its peers but not the leader, at several clock
        rates and work phases.
        """
        for vms, leader_rate, rate, phase in _LEADER_CUTS:
            with self.subTest(vms, rate=rate, phase=phase):
                cluster = SimulatedCluster({'1': vms, '2': 'z'})
                cluster.elect(leader_rate)
                cluster.restart('a', rate)
                cluster.run(18000 + phase)
                lost = cluster.processes['a'].key
                cluster.cut_off_from_leader.add('a')
                cluster.run(14000)
                self.assertNotIn(lost, cluster.leader.state.view().by_vm)

    def test_old_answers_after_a_pause(self) -> None:
        """Fails if answers that a paused VM reads too late give authority."""
        cluster = SimulatedCluster(_ZONES)
        cluster.delay = 2800
        cluster.run(3000)
        cluster.paused.add('a')
        cluster.run(30000)
        cluster.paused.clear()
        cluster.partition_of['a'] = 1
        cluster.run(1000)
        self.assertFalse(cluster.processes['a'].holder.has_authority())

    def test_clean_stop_frees_at_once(self) -> None:
        """Fails if a leaving VM still holds shares after its work has ended."""
        cluster = SimulatedCluster(_ZONES)
        key = cluster.processes['a'].key
        cluster.leave('a')
        cluster.run(5000)
        self.assertNotIn(key, cluster.leader.state.view().by_vm)


def _has_authority(process: Process) -> bool:
    return process.holder.has_authority()
