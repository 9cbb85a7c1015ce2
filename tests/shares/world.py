"""Leaders, VMs and targets in simulated time, with faults.

Every process has its own clock, which runs up to 2 % fast. Time is in
milliseconds. A VM uses all that it can, and all work takes the full deadline
on a clock as slow as allowed, after the full dispatch allowance.
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

STEP = 100
DEADLINE = 2000
GRACE = 20000
_WORK = int((DEADLINE + 1000) * 1.02)
_TIMING = SupportTiming(sole_member_grace=timedelta(milliseconds=GRACE))


class _DriftingClock:
    def __init__(self, world: 'World', rate: float):
        self._world = world
        self._rate = rate

    def monotonic(self) -> timedelta:
        """See :class:`plantainstand_core.Clock`."""
        return timedelta(milliseconds=self._world.now * self._rate)

    def wall(self) -> datetime:
        """Nothing in this library uses the time of day."""
        raise NotImplementedError


class Leader:
    """One leader during its term."""

    def __init__(
        self,
        world: 'World',
        rate: float,
        log: list[AnyCommand],
        committed: int,
    ):
        """Win the election; it does not know yet what else is committed."""
        self.state = ShareState()
        self.log = log
        self.applied = 0
        self._apply(committed)
        self.clock = _DriftingClock(world, rate)
        self.grantor = SupportGrantor(self.clock, _TIMING)

    def commit(self) -> None:
        """Commit and apply everything in the log."""
        for lost in self._apply(len(self.log)):
            self.grantor.record_refused_reclaim(lost)
        self.grantor.apply(self.state.view())

    def lead(self, demands: list[ShareDemand]) -> None:
        """Propose reclaims and a planner's step."""
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
    """One process of a VM."""

    def __init__(self, world: 'World', key: VmIncarnation, rate: float):
        """Start without view and authority."""
        self.key = key
        self.clock = _DriftingClock(world, rate)
        self.state = ShareState()
        self.applied = 0
        self.holder = SupportHolder(key, self.clock, _TIMING)
        self.zone = ZoneSupport(key)
        self.ledger = ShareLedger(key, self.holder.has_authority)
        self.work: list[tuple[int, ResourceId, Reservation]] = []
        self.alive = True

    def follow(self, log: list[AnyCommand], until: int) -> None:
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
        """Return the present heartbeat."""
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

    def answered(self, sent_at: timedelta, answer: HeartbeatAnswer) -> None:
        """Take the leader's answer."""
        self.zone.revoke(answer.revoke)
        if answer.status is HeartbeatStatus.SUPPORTED:
            self.holder.record_leader_support(sent_at)

    def use(self, now: int) -> None:
        """End what has ended and start all that the shares allow."""
        reading = self.clock.monotonic()
        for _end, _resource, reservation in self._ended(now):
            self.ledger.release(reservation, reading)
        for resource in self.state.view().by_vm.get(self.key, ()):
            while True:
                taken = self.ledger.reserve((Claim(resource),), reading)
                if taken.is_err():
                    break
                self.work.append((now + _WORK, resource, taken.unwrap()))

    def potential(self, resource: ResourceId, now: int) -> int:
        """Return what it may use now or has in flight at the target."""
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


class World:
    """Everything, advanced in steps; checks the capacities at every one."""

    def __init__(self, zones: Mapping[str, str], capacity: int = 6):
        """Start with the VMs of ``zones`` and one target in each zone."""
        self.now = 0
        self.zones = {vm: zone for zone, vms in zones.items() for vm in vms}
        self.capacity = {
            ResourceId(f'target/{zone}'): capacity for zone in zones
        }
        self._ceiling = dict(self.capacity)
        self.processes: dict[str, Process] = {}
        self.past: list[Process] = []
        self.group = dict.fromkeys(self.zones, 0)
        self.frozen: set[str] = set()
        self.deaf: set[str] = set()
        self.leaderless: set[str] = set()
        self.stale: set[str] = set()
        self.delay = 0
        self.commits = True
        self.gone: set[VmId] = set()
        self.listed: set[VmId] = set()
        self._inbox: list[tuple[int, int, str, Callable[[], None]]] = []
        self._sent = 0
        self.former: Leader | None = None
        self.leader = Leader(self, 1, [SetLongestDeadline(DEADLINE)], 0)
        for vm in self.zones:
            self.restart(vm)
        self.run(9000)

    def restart(self, vm: str, rate: float = 1) -> None:
        """Start a new process of a VM; an earlier one is dead from now on."""
        if vm in self.gone:
            return
        self.kill(vm)
        self.frozen.discard(vm)
        incarnation = Incarnation(len(self.past) + 1)
        key = VmIncarnation(VmId(vm), incarnation)
        self.processes[vm] = Process(self, key, rate)

    def kill(self, vm: str) -> None:
        """End the process; its work at the targets goes on."""
        process = self.processes.pop(vm, None)
        if process:
            process.alive = False
            self.past.append(process)

    def terminate(self, vm: str) -> None:
        """End a VM for good; the platform's list does not show it yet."""
        self.kill(vm)
        self.gone.add(VmId(vm))

    def leave(self, vm: str) -> None:
        """Announce that a VM leaves."""
        process = self.processes.get(vm)
        if process:
            self.leader.log.append(leave(*process.key))

    def elect(self, rate: float = 1, lose_tail: bool = False) -> None:
        """Replace the leader; the former one does not know."""
        self.former = self.leader
        committed = self.leader.applied
        kept = committed if lose_tail else len(self.leader.log)
        self.leader = Leader(self, rate, self.leader.log[:kept], committed)

    def run(self, duration: int) -> None:
        """Advance."""
        for _ in range(duration // STEP):
            self.now += STEP
            self._deliver()
            self._lead()
            for vm in sorted(self.processes.keys() - self.frozen):
                self._run_process(vm, self.processes[vm])
            self._check()

    def _lead(self) -> None:
        leader = self.leader
        if self.commits:
            leader.grantor.record_quorum(leader.clock.monotonic())
            leader.commit()
            leader.grantor.record_terminated(self.listed)
            leader.lead(list(self._demands()))

    def _demands(self) -> Iterator[ShareDemand]:
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
        connected = self.group[vm] == 0
        cut_off = self.leaderless | self.stale
        if connected and vm not in cut_off:
            process.follow(self.leader.log, self.leader.applied)
        process.use(self.now)
        if self.now % 500:
            return
        if connected and vm not in self.leaderless:
            self._register(process)
            self._send_heartbeat(vm, process, self.leader)
        if self.former:
            # Reachable from everywhere, as it does the most harm.
            self._send_heartbeat(vm, process, self.former)
        for peer, other in self.processes.items():
            if peer != vm and self.group[peer] == self.group[vm]:
                if peer not in self.frozen:
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
        self._send(vm, partial(process.answered, sent_at, answer))

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
        if vm not in self.deaf:
            self._sent += 1
            item = (self.now + self.delay, self._sent, vm, message)
            heapq.heappush(self._inbox, item)

    def _deliver(self) -> None:
        waiting = []
        while self._inbox and self._inbox[0][0] <= self.now:
            item = heapq.heappop(self._inbox)
            if item[2] in self.frozen:
                waiting.append(item)
            else:
                item[3]()
        for item in waiting:
            heapq.heappush(self._inbox, item)

    def _check(self) -> None:
        resources = self.leader.state.view().resources
        for resource, capacity in self.capacity.items():
            held = resources[resource].held if resource in resources else 0
            # A lowered capacity counts once the holders have released.
            if capacity > self._ceiling[resource] or held <= capacity:
                self._ceiling[resource] = capacity
            used = sum(
                process.potential(resource, self.now)
                for process in (*self.past, *self.processes.values())
            )
            assert used <= self._ceiling[resource], (
                f'{used} of {resource} at {self.now} ms'
            )
