"""Tests that random faults never lose or change acknowledged commands."""

import unittest
from contextlib import ExitStack
from unittest.mock import patch

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    precondition,
    rule,
)
from plantainstand_consensus import Command, LogLimits
from plantainstand_consensus._entries import ENTRY_OVERHEAD_BYTES
from plantainstand_core import VmId

from tests.consensus.simulated_cluster import ROUND, SimulatedCluster

_VMS = tuple(VmId(name) for name in 'abcd')
_MEMBERS = _VMS[:3]
_SETTLE_ROUNDS = 120

_vms = st.sampled_from(_VMS)
_groups = st.sets(_vms, min_size=2)
_counts = st.integers(min_value=0, max_value=4)


def _has_messages(machine: RuleBasedStateMachine) -> bool:
    return isinstance(machine, ClusterMachine) and machine.has_messages


class ClusterMachine(RuleBasedStateMachine):
    """Guards against lost or replaced entries and two leaders in a term.

    The simulated cluster does the checks: it compares each committed entry with
    the first one committed at the index, each leader with the first one of the
    term, and the commands that each replica applied with the committed ones.
    """

    def __init__(self) -> None:
        """Start with three voters and one spare VM."""
        super().__init__()
        self._cluster = SimulatedCluster(_VMS)
        self._proposals = 0

    @property
    def has_messages(self) -> bool:
        """Whether there is a message to deliver."""
        return bool(self._cluster.network)

    @initialize()
    def start_all(self) -> None:
        """Form the cluster and elect a leader."""
        self._cluster.form(_MEMBERS)
        for vm in _VMS:
            self._cluster.start(vm)
        self._cluster.run_rounds(40, _VMS)

    @rule(connected=_groups, count=st.integers(min_value=1, max_value=30))
    def run_partitioned(self, connected: set[VmId], count: int) -> None:
        """Advance the time while only some VMs reach each other."""
        self._cluster.run_rounds(count, connected)

    @rule(count=st.integers(min_value=1, max_value=30))
    def run_connected(self, count: int) -> None:
        """Advance the time while all VMs reach each other."""
        self._cluster.run_rounds(count, _VMS)

    @rule(vm=_vms, count=st.integers(min_value=1, max_value=3))
    def propose(self, vm: VmId, count: int) -> None:
        """Propose at a replica, which refuses unless it believes to lead."""
        core = self._cluster.replicas[vm].core
        first = self._proposals + 1
        self._proposals += count
        if core is not None:
            for number in range(first, first + count):
                core.propose(Command(b'%d' % number))
        self._cluster.collect(vm)

    @precondition(_has_messages)
    @rule(positions=st.lists(st.integers(min_value=0), max_size=6))
    def deliver_any(self, positions: list[int]) -> None:
        """Deliver messages in any order."""
        for position in positions:
            if self._cluster.network:
                self._cluster.deliver(position % len(self._cluster.network))

    @precondition(_has_messages)
    @rule(position=st.integers(min_value=0))
    def duplicate(self, position: int) -> None:
        """Deliver a message that may be delivered again later."""
        network = self._cluster.network
        self._cluster.deliver(position % len(network), keep=True)

    @rule(vm=_vms)
    def drop_from(self, vm: VmId) -> None:
        """Drop all messages in transit from a VM."""
        self._cluster.network = [
            sent for sent in self._cluster.network if sent[0] != vm
        ]

    @rule(vm=_vms)
    def tick_late(self, vm: VmId) -> None:
        """Advance the time by an election timeout; only one VM gets a tick."""
        self._cluster.now += 21 * ROUND
        self._cluster.tick(vm)

    @rule(vm=_vms)
    def sync(self, vm: VmId) -> None:
        """Complete the oldest sync of a VM."""
        self._cluster.sync(vm)

    @rule(vm=_vms, kept_writes=_counts)
    def crash(self, vm: VmId, kept_writes: int) -> None:
        """Stop a process; only some of its unsynced writes survive."""
        if self._cluster.replicas[vm].core is not None:
            self._cluster.crash(vm, kept_writes)

    @rule(vm=_vms)
    def restart(self, vm: VmId) -> None:
        """Start a process that was stopped."""
        if self._cluster.replicas[vm].core is None:
            self._cluster.start(vm)

    @rule(vm=_vms)
    def lose_disk(self, vm: VmId) -> None:
        """Empty the disk of a VM if every voter set keeps a majority."""
        if self._cluster.may_lose_disk(vm):
            self._cluster.lose_disk(vm)
            self._cluster.start(vm)

    @rule(vm=_vms, retained=_counts)
    def compact(self, vm: VmId, retained: int) -> None:
        """Take a snapshot, which replicas that lag behind then need."""
        self._cluster.compact(vm, retained)

    @rule(members=st.sets(_vms, min_size=3))
    def change_members(self, members: set[VmId]) -> None:
        """Request other members at the leader."""
        leader = self._cluster.leader()
        if leader is not None:
            core = self._cluster.replicas[leader].core
            if core is not None:
                core.change_members(sorted(members))
                self._cluster.collect(leader)

    def teardown(self) -> None:
        """Check that after all faults a new command reaches all voters."""
        cluster = self._cluster
        if not cluster.replicas:
            return
        for vm in _VMS:
            if cluster.replicas[vm].core is None:
                cluster.start(vm)
        cluster.run_rounds(_SETTLE_ROUNDS, _VMS)
        leader = cluster.leader()
        assert leader is not None, 'no leader after the faults'
        self.propose(leader, 1)
        cluster.run_rounds(_SETTLE_ROUNDS, _VMS)
        last = b'%d' % self._proposals
        core = cluster.replicas[leader].core
        assert core is not None
        for voter in core.state.log.configuration.voters:
            applied = cluster.replicas[voter.vm].applied
            assert applied[-1:] == [last], f'{voter} has not applied {last!r}'


class SmallWindowsMachine(ClusterMachine):
    """Guards against lost bytes between messages, with windows of a few.

    Snapshots take several messages, and a replica that lags behind gets what
    it lacks in several windows.
    """

    def __init__(self) -> None:
        """Make all windows smaller than a snapshot and a few entries."""
        super().__init__()
        self._cluster.limits = LogLimits(
            retained_bytes=3 * ENTRY_OVERHEAD_BYTES,
            unacknowledged_bytes=2 * ENTRY_OVERHEAD_BYTES,
        )
        self._stack = ExitStack()
        self._stack.enter_context(
            patch.multiple(
                'plantainstand_consensus._replication',
                SNAPSHOT_CHUNK_BYTES=3,
                MAX_UNACKNOWLEDGED_CHUNKS=2,
            )
        )

    def teardown(self) -> None:
        """See :meth:`ClusterMachine.teardown`."""
        with self._stack:
            super().teardown()


_SETTINGS = settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=150,
    stateful_step_count=40,
    suppress_health_check=list(HealthCheck),
)
ClusterTest = ClusterMachine.TestCase
ClusterTest.settings = _SETTINGS
SmallWindowsTest = SmallWindowsMachine.TestCase
SmallWindowsTest.settings = _SETTINGS

if __name__ == '__main__':
    unittest.main()
