"""Simulation of leaders, VMs and targets with faults.

Times are in simulated milliseconds. Every process has its own clock, which
runs up to 2 % fast. To cover the worst case, a VM uses all that its shares
allow, and work lasts for the dispatch allowance and its full deadline, both
measured by the slowest permitted clock.
"""

import heapq
from collections.abc import Callable, Iterator, Mapping
from datetime import datetime, timedelta
from functools import partial

from plantainstand_core import Incarnation, LogIndex, ResourceId, VmId
from plantainstand_shares import (
    AnyCommand,
    Claim,
    Heartbeat,
    HeartbeatAnswer,
    HeartbeatStatus,
    ReclaimVm,
    Refused,
    Reservation,
    SetLongestDeadline,
    SetShares,
    ShareDemand,
    ShareLedger,
    ShareState,
    ShareUnit,
    SupportGrantor,
    SupportHolder,
    SupportTiming,
    VmIncarnation,
    VmState,
    ZoneSupport,
    heartbeat_commands,
    plan_shares,
)

from tests.shares.builders import leave, register

STEP_MS = 100
DEADLINE_MS = 2000
GRACE_MS = 20000
_WORK_MS = int((DEADLINE_MS + 1000) * 1.02)
_TIMING = SupportTiming(sole_member_grace=timedelta(milliseconds=GRACE_MS))


class _DriftingClock:
    def __init__(self, cluster: 'SimulatedCluster', rate: float):
        self._cluster = cluster
        self._rate = rate

    def monotonic(self) -> timedelta:
        """See :class:`plantainstand_core.Clock`."""
        return timedelta(milliseconds=self._cluster.now * self._rate)

    def wall(self) -> datetime:
        """Fail, because the library does not use the time of day."""
        raise NotImplementedError


class Leader:
    """A leader during its term."""

    def __init__(
        self,
        cluster: 'SimulatedCluster',
        rate: float,
        log: list[AnyCommand],
        committed: int,
    ):
        """Win the election, with ``committed`` entries known as committed."""
        self.state = ShareState()
        self.log = log
        self.applied = 0
        self._apply(committed)
        self.clock = _DriftingClock(cluster, rate)
        self.grantor = SupportGrantor(self.clock, _TIMING)

    def apply_all(self) -> None:
        """Commit and apply all entries of the log."""
        for lost in self._apply(len(self.log)):
            self.grantor.record_refused_reclaim(lost)
        self.grantor.apply(self.state.view())

    def propose_changes(self, demands: list[ShareDemand]) -> None:
        """Propose reclaims and the planner's changes."""
        self.log.extend(self.grantor.reclaims())
        changes = tuple(plan_shares(demands, self.state.view()))
        if changes:
            self.log.append(SetShares(changes))

    def _apply(self, until: int) -> list[ReclaimVm]:
        refused = []
        for command in self.log[self.applied : until]:
            self.applied += 1
            outcome = self.state.apply(command, LogIndex(self.applied))
            is_refused = isinstance(outcome, Refused)
            if is_refused and isinstance(command, ReclaimVm):
                refused.append(command)
        return refused


class Process:
    """A process of a VM."""

    def __init__(
        self, cluster: 'SimulatedCluster', key: VmIncarnation, rate: float
    ):
        """Start the process without a view and without authority."""
        self.key = key
        self.clock = _DriftingClock(cluster, rate)
        self.state = ShareState()
        self.applied = 0
        self.holder = SupportHolder(key, self.clock, _TIMING)
        self.zone = ZoneSupport(key)
        self.ledger = ShareLedger(key, self.holder.has_authority)
        self.work: list[tuple[int, ResourceId, Reservation]] = []
        self.alive = True

    def apply_log(self, log: list[AnyCommand], until: int) -> None:
        """Apply the committed log up to ``until``."""
        if until <= self.applied:
            return
        for command in log[self.applied : until]:
            self.applied += 1
            self.state.apply(command, LogIndex(self.applied))
        view = self.state.view()
        self.holder.apply(view)
        self.zone.apply(view)
        self.ledger.apply(view, self.clock.monotonic())

    def heartbeat(self) -> Heartbeat:
        """Return a heartbeat with the current state.

        Closes the ledger and zone support of a leaving VM without work.
        """
        now = self.clock.monotonic()
        record = self.state.view().member(self.key)
        if record and record.state is VmState.LEAVING and not self.work:
            self.ledger.close()
            self.zone.close()
        return Heartbeat(
            self.key,
            LogIndex(self.applied),
            self.ledger.released_shares(now),
            self.zone.revoked,
            self.ledger.is_drained(now),
        )

    def receive_answer(
        self, sent_at: timedelta, answer: HeartbeatAnswer
    ) -> None:
        """Process the leader's answer to a heartbeat."""
        self.zone.revoke(answer.revoke)
        if answer.status is HeartbeatStatus.SUPPORTED:
            self.holder.record_leader_support(sent_at)

    def use_shares(self, now: int) -> None:
        """Release ended work and start all work that the shares allow."""
        reading = self.clock.monotonic()
        for _end, _resource, reservation in self._ended(now):
            self.ledger.release(reservation, reading)
        for resource in self.state.view().by_vm.get(self.key, ()):
            while True:
                reservation_result = self.ledger.reserve(
                    (Claim(resource),), reading
                )
                if reservation_result.is_err():
                    break
                self.work.append(
                    (now + _WORK_MS, resource, reservation_result.unwrap())
                )

    def possible_use(self, resource: ResourceId, now: int) -> int:
        """Return the share usable now or the use in flight, if that is more."""
        in_flight = sum(
            end > now and used == resource for end, used, _ in self.work
        )
        if not self.alive or not self.holder.has_authority():
            return in_flight
        shares = self.state.view().by_vm.get(self.key, {})
        share = int(shares[resource].share) if resource in shares else 0
        return max(in_flight, share)

    def _ended(self, now: int) -> list[tuple[int, ResourceId, Reservation]]:
        ended = [item for item in self.work if item[0] <= now]
        self.work = [item for item in self.work if item[0] > now]
        return ended


class SimulatedCluster:
    """Simulated cluster that checks the capacities after every step."""

    def __init__(self, zones: Mapping[str, str], capacity: int = 6):
        """Start the VMs of ``zones`` and one target in each zone."""
        self.now = 0
        self.zones = {vm: zone for zone, vms in zones.items() for vm in vms}
        self.capacity = {
            ResourceId(f'target/{zone}'): capacity for zone in zones
        }
        self._checked_capacity = dict(self.capacity)
        self.processes: dict[str, Process] = {}
        self.past_processes: list[Process] = []
        self.partition_of = dict.fromkeys(self.zones, 0)
        self.paused: set[str] = set()
        self.losing_answers: set[str] = set()
        self.cut_off_from_leader: set[str] = set()
        self.not_following: set[str] = set()
        self.delay = 0
        self.has_quorum = True
        self.terminated: set[VmId] = set()
        self.listed_as_terminated: set[VmId] = set()
        self._inbox: list[tuple[int, int, str, Callable[[], None]]] = []
        self._sent = 0
        self.former_leader: Leader | None = None
        self.leader = Leader(self, 1, [SetLongestDeadline(DEADLINE_MS)], 0)
        for vm in self.zones:
            self.restart(vm)
        self.run(9000)

    def restart(self, vm: str, rate: float = 1) -> None:
        """Start a new process of a VM after ending an earlier one."""
        if vm in self.terminated:
            return
        self.kill(vm)
        self.paused.discard(vm)
        incarnation = Incarnation(len(self.past_processes) + 1)
        key = VmIncarnation(VmId(vm), incarnation)
        self.processes[vm] = Process(self, key, rate)

    def kill(self, vm: str) -> None:
        """End the process of a VM; its work at the targets continues."""
        process = self.processes.pop(vm, None)
        if process:
            process.alive = False
            self.past_processes.append(process)

    def terminate(self, vm: str) -> None:
        """Terminate a VM; the platform's list does not show it yet."""
        self.kill(vm)
        self.terminated.add(VmId(vm))

    def leave(self, vm: str) -> None:
        """Mark a VM as leaving."""
        process = self.processes.get(vm)
        if process:
            self.leader.log.append(leave(*process.key))

    def elect(self, rate: float = 1, lose_tail: bool = False) -> None:
        """Replace the leader; the former one continues to answer.

        With ``lose_tail``, uncommitted entries are lost.
        """
        self.former_leader = self.leader
        committed = self.leader.applied
        kept = committed if lose_tail else len(self.leader.log)
        self.leader = Leader(self, rate, self.leader.log[:kept], committed)

    def run(self, duration: int) -> None:
        """Advance the simulation by ``duration`` milliseconds."""
        for _ in range(duration // STEP_MS):
            self.now += STEP_MS
            self._deliver()
            self._run_leader()
            for vm in sorted(self.processes.keys() - self.paused):
                self._run_process(vm, self.processes[vm])
            self._check_capacities()

    def _run_leader(self) -> None:
        leader = self.leader
        if self.has_quorum:
            leader.grantor.record_quorum(leader.clock.monotonic())
            leader.apply_all()
            leader.grantor.record_terminated(self.listed_as_terminated)
            leader.propose_changes(list(self._share_demands()))

    def _share_demands(self) -> Iterator[ShareDemand]:
        for resource, capacity in self.capacity.items():
            own = [
                VmId(vm)
                for vm, zone in self.zones.items()
                if resource == f'target/{zone}'
            ]
            others = (VmId(vm) for vm in self.zones if vm not in own)
            tiers = (tuple(own), tuple(others))
            yield ShareDemand(resource, ShareUnit.COUNT, capacity, tiers)

    def _run_process(self, vm: str, process: Process) -> None:
        connected = self.partition_of[vm] == 0
        not_reached = self.cut_off_from_leader | self.not_following
        if connected and vm not in not_reached:
            process.apply_log(self.leader.log, self.leader.applied)
        process.use_shares(self.now)
        if self.now % 500:
            return
        if connected and vm not in self.cut_off_from_leader:
            self._register(process)
            self._send_heartbeat(vm, process, self.leader)
        if self.former_leader:
            # The former leader is reachable from every partition, which is the
            # worst case.
            self._send_heartbeat(vm, process, self.former_leader)
        for peer, other in self.processes.items():
            if peer != vm and self.partition_of[peer] == self.partition_of[vm]:
                if peer not in self.paused:
                    self._exchange(vm, process, other)

    def _register(self, process: Process) -> None:
        view = self.leader.state.view()
        if process.key not in view.registry.records:
            vm = process.key.vm
            self.leader.log.append(
                register(vm, process.key.incarnation, self.zones[vm]),
            )
        elif view.member(process.key) is None:
            self.restart(process.key.vm)

    def _send_heartbeat(
        self,
        vm: str,
        process: Process,
        leader: Leader,
    ) -> None:
        sent_at = process.holder.now()
        heartbeat = process.heartbeat()
        answer = leader.grantor.answer(heartbeat)
        if leader is self.leader:
            leader.log.extend(
                heartbeat_commands(heartbeat, leader.state.view())
            )
        self._send(vm, partial(process.receive_answer, sent_at, answer))

    def _exchange(self, vm: str, process: Process, peer: Process) -> None:
        self._send(
            vm,
            partial(
                process.holder.record_peer_answer,
                peer.key.vm,
                process.holder.now(),
                peer.zone.answer(process.key),
            ),
        )

    def _send(self, vm: str, message: Callable[[], None]) -> None:
        if vm not in self.losing_answers:
            self._sent += 1
            item = (self.now + self.delay, self._sent, vm, message)
            heapq.heappush(self._inbox, item)

    def _deliver(self) -> None:
        undelivered = []
        while self._inbox and self._inbox[0][0] <= self.now:
            item = heapq.heappop(self._inbox)
            if item[2] in self.paused:
                undelivered.append(item)
            else:
                item[3]()
        for item in undelivered:
            heapq.heappush(self._inbox, item)

    def _check_capacities(self) -> None:
        resources = self.leader.state.view().resources
        for resource, capacity in self.capacity.items():
            held = resources[resource].held if resource in resources else 0
            # A lowered capacity is checked once the held sum has reached it.
            if capacity > self._checked_capacity[resource] or held <= capacity:
                self._checked_capacity[resource] = capacity
            used = sum(
                process.possible_use(resource, self.now)
                for process in (*self.past_processes, *self.processes.values())
            )
            assert used <= self._checked_capacity[resource], (
                f'{used} of {resource} at {self.now} ms'
            )
