"""Simulated cluster whose ticks, messages and syncs take time."""

import heapq
import random
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from datetime import UTC, datetime, timedelta
from functools import partial
from itertools import count

from plantainstand_consensus import Command, Effects, Message, ReplicaCore
from plantainstand_consensus._status import describe_status
from plantainstand_control._members import (
    AbsenceRecord,
    MembershipView,
    choose_members,
)
from plantainstand_control._node import (
    MEMBER_CHANGE_TIMEOUT,
    SUPERVISION_INTERVAL,
)
from plantainstand_control._peers import LIVENESS_TIMEOUT
from plantainstand_core import RegionId, VmId

from tests.consensus.simulated_cluster import (
    SimulatedCluster,
    SimulatedReplica,
)
from tests.consensus.simulated_links import SimulatedLinks

TOLERATED_LOSSES = 2

SYNC_TIME = timedelta(milliseconds=2)
_TICK_INTERVAL = timedelta(milliseconds=20)
_LOCAL_DELAY = timedelta(milliseconds=1.4)
_REMOTE_DELAY = timedelta(milliseconds=35)
_NO_TIME = timedelta(0)

Action = Callable[[], None]


@dataclass
class SimulatedVm:
    """State of a VM besides that of its replica."""

    region: RegionId
    absences: AbsenceRecord
    process: int = 0
    """Number of the process; 0 while none runs."""

    frozen_at: timedelta | None = None
    held: list[tuple[bool, Action]] = field(default_factory=list)
    """What waits for the end of a freeze, and whether it is a message."""

    sync_time: timedelta = SYNC_TIME
    disk_hangs_until: timedelta = _NO_TIME
    is_writing: bool = False
    heard: dict[VmId, timedelta] = field(default_factory=dict)
    """Arrival of the last message from each other VM."""

    proposals: dict[int, tuple[int, bytes, Action]] = field(
        default_factory=dict
    )
    """Term, payload and what to do when applied, by index."""


class TimedCluster(SimulatedCluster):
    """Cluster whose leader chooses the members as a control VM does."""

    def __init__(
        self,
        regions: Mapping[VmId, RegionId],
        random_source: random.Random,
        snapshot_interval: int,
    ):
        """Create VMs without disks and processes.

        ``snapshot_interval`` is the number of entries between two snapshots.
        """
        super().__init__(tuple(regions))
        self.states: dict[VmId, SimulatedVm] = {}
        self.acknowledged: list[bytes] = []
        self.acknowledged_at = self.now
        self.links = SimulatedLinks(self.at, lambda: self.now, random_source)
        self._snapshot_interval = snapshot_interval
        self._random = random_source
        self._numbers = count(1)
        self._events: list[tuple[timedelta, int, Action]] = []
        self._clock = _ClusterClock(self)
        for vm, region in regions.items():
            self.states[vm] = SimulatedVm(region, AbsenceRecord(self._clock))

    def at(self, when: timedelta, action: Action) -> None:
        """Run an action at a time."""
        heapq.heappush(self._events, (when, next(self._numbers), action))

    def run_until(self, end: timedelta) -> None:
        """Advance the time."""
        while self._events and self._events[0][0] <= end:
            when, _number, action = heapq.heappop(self._events)
            self.now = max(self.now, when)
            action()
        self.now = end

    def start(self, vm: VmId, founding_members: Sequence[VmId] = ()) -> None:
        """See :meth:`SimulatedCluster.start`."""
        super().start(vm, founding_members)
        state = self.states[vm]
        state.process = next(self._numbers)
        state.is_writing = False
        state.heard = {}
        state.absences.clear()
        state.proposals = {}
        phase = self._random.random()
        self._after(vm, _TICK_INTERVAL * phase, partial(self._tick, vm))
        self._after(
            vm, SUPERVISION_INTERVAL * phase, partial(self._supervise, vm)
        )

    def stop(self, vm: VmId) -> None:
        """End the process, if it runs; some unsynced writes are kept."""
        state = self.states[vm]
        writes = sum(len(batch.writes) for batch in self.replicas[vm].unsynced)
        self.crash(vm, self._random.randint(0, writes))
        state.process = 0
        state.frozen_at = None
        state.held = []
        self.links.reset(vm)

    def freeze(self, vm: VmId) -> None:
        """Halt the process of a VM without ending it."""
        self.states[vm].frozen_at = self.now

    def thaw(self, vm: VmId, *, keeps_messages: bool) -> None:
        """Continue a frozen process, with what came meanwhile."""
        state = self.states[vm]
        if state.frozen_at is None:
            return
        held = state.held
        state.held = []
        state.frozen_at = None
        for is_message, action in held:
            if keeps_messages or not is_message:
                self._after(vm, _NO_TIME, action)

    def add_vm(self, vm: VmId, region: RegionId) -> None:
        """Add a VM with an empty disk."""
        self.vms = (*self.vms, vm)
        self.states[vm] = SimulatedVm(region, AbsenceRecord(self._clock))
        self.new_disk(vm)

    def remove_vm(self, vm: VmId) -> None:
        """Remove a VM, its process and its disk for good."""
        self.stop(vm)
        disk = self.replicas.pop(vm).disk
        self.lost_disks[disk.node] = disk
        self.states.pop(vm)
        self.vms = tuple(other for other in self.vms if other != vm)

    def active_leaders(self) -> Sequence[VmId]:
        """Return the leaders that are not frozen, the newest last."""
        leaders = [
            (core.state.term, vm)
            for vm in self.vms
            if (core := self.replicas[vm].core)
            and core.leadership
            and self.states[vm].frozen_at is None
        ]
        return [vm for _term, vm in sorted(leaders)]

    def propose(self, payload: bytes, acknowledged: Action) -> bool:
        """Propose at a leader; return whether it accepts."""
        leaders = self.active_leaders()
        if not leaders:
            return False
        vm = self._random.choice(leaders)
        core = self.replicas[vm].core
        proposed = core.propose(Command(payload)) if core else None
        if core is None or proposed is None or proposed.is_err():
            return False
        proposal = (core.state.term, payload, acknowledged)
        self.states[vm].proposals[proposed.unwrap()] = proposal
        self.collect(vm)
        return True

    def collect(self, vm: VmId) -> None:
        """See :meth:`SimulatedCluster.collect`."""
        super().collect(vm)
        self._compact_if_due(vm)
        self._begin_writing(vm)

    def describe(self) -> str:
        """Return a line with the state of each VM."""
        return '\n'.join(self._describe_vm(vm) for vm in self.vms)

    def _after(
        self,
        vm: VmId,
        delay: timedelta,
        action: Action,
    ) -> None:
        """Run an action of a process, unless it ends before."""
        process = self.states[vm].process
        run = partial(self._run_in, vm, process, action, is_message=False)
        self.at(self.now + delay, run)

    def _run_in(
        self, vm: VmId, process: int, action: Action, *, is_message: bool
    ) -> None:
        state = self.states.get(vm)
        if state is None or state.process != process:
            return
        if state.frozen_at is None:
            action()
        else:
            state.held.append((is_message, action))

    def _tick(self, vm: VmId) -> None:
        self._after(vm, _TICK_INTERVAL, partial(self._tick, vm))
        self.tick(vm)

    def _supervise(self, vm: VmId) -> None:
        core = self.replicas[vm].core
        if core is None:
            return
        others = [other for other in self.vms if other != vm]
        core.replace_peers(others)
        # Stands for the rosters that control VMs send each other.
        for other in others:
            self._send_over_link(vm, other, partial(self._hear, vm, other))
        if self._change_members(vm, core):
            self._await_change(vm, core, self.now + MEMBER_CHANGE_TIMEOUT)
        else:
            again = partial(self._supervise, vm)
            self._after(vm, SUPERVISION_INTERVAL, again)

    def _await_change(
        self, vm: VmId, core: ReplicaCore, deadline: timedelta
    ) -> None:
        settled = core.leadership is None or core.leadership.allows_voter_change
        if settled or self.now >= deadline:
            again = partial(self._supervise, vm)
            self._after(vm, SUPERVISION_INTERVAL, again)
        else:
            await_further = partial(self._await_change, vm, core, deadline)
            self._after(vm, _TICK_INTERVAL, await_further)

    def _change_members(self, vm: VmId, core: ReplicaCore) -> bool:
        state = self.states[vm]
        status = describe_status(core, self.now, None, 0, running=True)
        if not status.has_quorum_contact:
            state.absences.clear()
            return False
        absent = state.absences.update(status)
        live = {
            other: self.states[other].region
            for other, heard_at in (*state.heard.items(), (vm, self.now))
            if other in self.states
            and other not in absent
            and self.now - heard_at < LIVENESS_TIMEOUT
        }
        members = choose_members(
            MembershipView(status.members, live, TOLERATED_LOSSES)
        )
        if set(members) == set(status.members):
            return False
        changed = core.change_members(members).is_ok()
        self.collect(vm)
        return changed

    def _hear(self, source: VmId, destination: VmId) -> None:
        self.states[destination].heard[source] = self.now

    def _transmit(
        self, source: VmId, destination: VmId, message: Message
    ) -> None:
        def arrive() -> None:
            self._hear(source, destination)
            self.receive(source, destination, message)

        self._send_over_link(source, destination, arrive)

    def _send_over_link(
        self, source: VmId, destination: VmId, arrive: Action
    ) -> None:
        if source not in self.states or destination not in self.states:
            return
        receiver = self.states[destination]
        is_local = self.states[source].region == receiver.region
        delay = _LOCAL_DELAY if is_local else _REMOTE_DELAY
        self.links.send(
            (source, destination),
            delay * self._random.uniform(1, 1.2),
            partial(
                self._run_in,
                destination,
                receiver.process,
                arrive,
                is_message=True,
            ),
        )

    def _begin_writing(self, vm: VmId) -> None:
        state = self.states[vm]
        batch_count = len(self.replicas[vm].unsynced)
        if state.is_writing or not batch_count:
            return
        state.is_writing = True
        hang = max(state.disk_hangs_until - self.now, _NO_TIME)
        self._after(
            vm,
            hang + state.sync_time * self._random.uniform(0.5, 1.5),
            partial(self._finish_writing, vm, batch_count),
        )

    def _finish_writing(self, vm: VmId, batch_count: int) -> None:
        remaining = batch_count
        while remaining:
            self.sync(vm)
            remaining -= 1
        self.states[vm].is_writing = False
        self._begin_writing(vm)

    def _compact_if_due(self, vm: VmId) -> None:
        core = self.replicas[vm].core
        if core is None or core.state.outbox.has_unsynced_snapshot:
            return
        snapshot = core.state.log.snapshot
        after = snapshot.index if snapshot else 0
        if core.state.delivered_index - after >= self._snapshot_interval:
            self.compact(vm, self._snapshot_interval // 4)

    def _apply(self, replica: SimulatedReplica, effects: Effects) -> None:
        super()._apply(replica, effects)
        proposals = self.states[replica.disk.node.vm].proposals
        for entry in effects.committed:
            proposal = proposals.pop(entry.index, None)
            if proposal is not None and proposal[0] == entry.term:
                self.acknowledged.append(proposal[1])
                self.acknowledged_at = self.now
                proposal[2]()

    def _describe_vm(self, vm: VmId) -> str:
        replica = self.replicas[vm]
        core = replica.core
        log = core.state.log if core else replica.disk.load_log()
        configuration = log.configuration
        voters = ' '.join(voter.disk for voter in configuration.voters)
        role = core.state.role.value if core else 'down'
        commit_index = core.state.commit_index if core else None
        lines = (
            f'{replica.disk.node.disk} in {self.states[vm].region}: {role}',
            f'term {core.state.term if core else replica.disk.hard_state.term}',
            f'last {log.last_index}, commit {commit_index}',
            f'entry {log.configuration_index} voters {voters}',
            f'members {" ".join(configuration.members)}',
        )
        return ', '.join(lines)


class _ClusterClock:
    """Clock of all VMs."""

    def __init__(self, cluster: SimulatedCluster):
        self._cluster = cluster

    def monotonic(self) -> timedelta:
        """See :meth:`Clock.monotonic`."""
        return self._cluster.now

    def wall(self) -> datetime:
        """See :meth:`Clock.wall`."""
        return datetime.fromtimestamp(0, UTC) + self._cluster.now
