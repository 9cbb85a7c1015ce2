"""Faults of VMs, links and disks that overlap as much as may be."""

import random
from collections.abc import Callable, Collection, Sequence
from dataclasses import dataclass
from datetime import timedelta
from functools import partial
from itertools import count

from plantainstand_core import VmId
from plantainstand_links import LinkTimings

from tests.consensus.timed_cluster import (
    SYNC_TIME,
    TOLERATED_LOSSES,
    Action,
    TimedCluster,
)

CATCH_UP = timedelta(seconds=4)
"""Time after its return for which a VM still counts as lost."""

_SILENCE_TIMEOUT = LinkTimings().silence_timeout
_BLACKOUT = timedelta(seconds=1.5)
_NO_TIME = timedelta(0)
_NONE: frozenset[VmId] = frozenset()
_HALF = 3

_VICTIM_IS_LEADER_PERCENT = 30
_LOSES_DISK_PERCENT = 40


def seconds(number: float) -> timedelta:
    """Return a duration."""
    return timedelta(seconds=number)


@dataclass
class _Loss:
    """Time in which a VM counts as lost."""

    disks: frozenset[VmId]
    """VMs whose disks were lost and that count as long as this one does."""

    until: timedelta | None = None
    """None while the fault goes on."""


class Faults:
    """Begins faults that end by themselves.

    At most ``TOLERATED_LOSSES`` VMs count as lost at a time. Splits, lossy
    links and losses of power of all VMs come on top: they lose no disk. A VM
    counts longer if one of them keeps it from catching up.
    """

    def __init__(
        self,
        cluster: TimedCluster,
        random_source: random.Random,
        note: Callable[[str], None],
    ):
        """Begin calm; ``note`` gets a line for each step."""
        self._cluster = cluster
        self._random = random_source
        self._note = note
        self._numbers = count(len(cluster.vms) + 1)
        self._losses: dict[VmId, _Loss] = {}
        self._cuts: set[int] = set()
        self._ongoing = 0
        self._calm_since = cluster.now
        self._is_split = False
        self._is_blackout = False
        self._pauses = 0
        self._paused_since: timedelta | None = None
        self._has_ended = False

    @property
    def calm_time(self) -> timedelta:
        """Time since the last fault ended; zero while one goes on."""
        if self._ongoing:
            return _NO_TIME
        return self._cluster.now - self._calm_since

    def lost_disks(self) -> frozenset[VmId]:
        """Return the VMs that have lost their disks and still count as lost.

        A VM that was removed for good counts until its successor has caught up.
        """
        disks = [
            loss.disks for vm, loss in self._losses.items() if self._is_lost(vm)
        ]
        return frozenset[VmId]().union(*disks)

    def choose_lost_disks(self, candidates: Sequence[VmId]) -> Sequence[VmId]:
        """Return the first candidates, as many as may lose their disks now."""
        lost = self.lost_disks()
        chosen = []
        for vm in candidates:
            if len(lost | {vm}) <= TOLERATED_LOSSES:
                lost |= {vm}
                chosen.append(vm)
        return chosen

    def begin_one(self) -> None:
        """Begin a random fault, if one is possible now."""
        choices: tuple[tuple[Action, int], ...] = (
            (self._split, 8),
            (self._lose_all_power, 3),
            (self._make_links_lossy, 4),
            (self._disturb_vm, 85),
        )
        weights = [weight for _begin, weight in choices]
        begin, _weight = self._random.choices(choices, weights)[0]
        begin()

    def end_all(self) -> None:
        """End all faults; processes that do not run are not started."""
        self._has_ended = True
        links = self._cluster.links
        links.loss_probability = 0
        links.extra_delays.clear()
        for number in self._cuts:
            links.heal(number)
        for state in self._cluster.states.values():
            state.sync_time = SYNC_TIME
            state.disk_hangs_until = _NO_TIME

    def _disturb_vm(self) -> None:
        victim = self._choose_victim()
        if victim is None:
            return
        kinds: tuple[Callable[[VmId], None], ...] = (
            self._freeze,
            self._freeze,
            self._restart,
            self._lose_power,
            self._cut_off,
            self._cut_off,
            self._slow_down,
            self._hang_disk,
        )
        may_lose_disk = bool(self.choose_lost_disks((victim,)))
        if may_lose_disk and self._happens(_LOSES_DISK_PERCENT):
            kinds = (self._lose_disk, self._replace)
        self._random.choice(kinds)(victim)

    def _choose_victim(self) -> VmId | None:
        """Return a VM that may be lost now, often the leader."""
        if self._is_blackout:
            return None
        vms = self._cluster.vms
        lost = [vm for vm in vms if self._is_lost(vm)]
        choice = vms if len(lost) < TOLERATED_LOSSES else lost
        candidates = [vm for vm in choice if not self._is_disturbed(vm)]
        leaders = [
            vm for vm in self._cluster.active_leaders() if vm in candidates
        ]
        if leaders and self._happens(_VICTIM_IS_LEADER_PERCENT):
            return leaders[-1]
        return self._random.choice(candidates) if candidates else None

    def _is_lost(self, vm: VmId) -> bool:
        loss = self._losses.get(vm)
        if loss is None or loss.until is None:
            return loss is not None
        return loss.until > (self._paused_since or self._cluster.now)

    def _is_disturbed(self, vm: VmId) -> bool:
        return self._is_lost(vm) and self._losses[vm].until is None

    def _lose(
        self,
        vm: VmId,
        step: str,
        duration: timedelta,
        end: Action,
        *,
        disks: frozenset[VmId] = _NONE,
    ) -> None:
        """Count a VM as lost until the fault has ended."""
        if self._is_lost(vm):
            disks = disks | self._losses[vm].disks
        loss = _Loss(disks)
        self._losses[vm] = loss
        self._note(f'{vm} {step}')

        def end_loss() -> None:
            end()
            self._note(f'{vm} is back ({step})')
            loss.until = self._cluster.now + CATCH_UP

        self._end_after(duration, end_loss)

    def _end_after(self, duration: timedelta, end: Action) -> None:
        self._ongoing += 1

        def end_fault() -> None:
            if not self._has_ended:
                end()
                self._ongoing -= 1
                self._calm_since = self._cluster.now

        self._cluster.at(self._cluster.now + duration, end_fault)

    def _pause_catching_up(self, duration: timedelta, end: Action) -> None:
        """Begin a fault during which lost disks may be beyond repair."""
        self._paused_since = self._paused_since or self._cluster.now
        self._pauses += 1

        def end_pause() -> None:
            end()
            lost = [vm for vm in self._cluster.vms if self._is_lost(vm)]
            for vm in lost:
                loss = self._losses[vm]
                loss.until = loss.until and self._cluster.now + CATCH_UP
            self._pauses -= 1
            if not self._pauses:
                self._paused_since = None

        self._end_after(duration, end_pause)

    def _between(self, shortest: float, longest: float) -> timedelta:
        return seconds(self._random.uniform(shortest, longest))

    def _happens(self, percent: int) -> bool:
        return self._random.randrange(100) < percent

    def _freeze(self, vm: VmId) -> None:
        duration = self._between(0.5, 6)
        keeps_messages = duration < _SILENCE_TIMEOUT or self._happens(50)
        keeps_links = duration < _SILENCE_TIMEOUT or self._happens(30)
        self._cluster.freeze(vm)

        def thaw() -> None:
            if not keeps_links:
                self._cluster.links.reset(vm)
            self._cluster.thaw(vm, keeps_messages=keeps_messages)

        self._lose(vm, 'frozen', duration, thaw)

    def _restart(self, vm: VmId) -> None:
        self._cluster.stop(vm)
        start = partial(self._cluster.start, vm)
        self._lose(vm, 'killed', self._between(0.1, 0.8), start)

    def _lose_power(self, vm: VmId) -> None:
        self._cluster.stop(vm)
        start = partial(self._cluster.start, vm)
        self._lose(vm, 'without power', self._between(0.5, 5), start)

    def _lose_disk(self, vm: VmId) -> None:
        self._cluster.stop(vm)
        self._cluster.lose_disk(vm)
        self._lose(
            vm,
            'disk lost',
            self._between(0.2, 4),
            partial(self._cluster.start, vm),
            disks=frozenset((vm,)),
        )

    def _replace(self, vm: VmId) -> None:
        region = self._cluster.states[vm].region
        successor = VmId(f'v{next(self._numbers)}')
        self._cluster.remove_vm(vm)
        disks = self._losses[vm].disks if self._is_lost(vm) else _NONE
        self._losses.pop(vm, None)
        self._cluster.add_vm(successor, region)
        self._lose(
            successor,
            f'is to take the place of {vm}, removed for good',
            self._between(0, 5),
            partial(self._cluster.start, successor),
            disks=disks | {vm},
        )

    def _cut_off(self, vm: VmId) -> None:
        others = [other for other in self._cluster.vms if other != vm]
        heal = self._cut((vm,), others)
        self._lose(vm, 'cut off', self._between(0.5, 6), heal)

    def _slow_down(self, vm: VmId) -> None:
        delay = self._between(0.05, 0.4)
        state = self._cluster.states[vm]
        self._cluster.links.extra_delays[vm] = delay
        state.sync_time = self._between(0.02, 0.5)

        def speed_up() -> None:
            self._cluster.links.extra_delays.pop(vm)
            state.sync_time = SYNC_TIME

        step = f'slow, links by {delay}, disk to {state.sync_time}'
        self._lose(vm, step, self._between(1, 6), speed_up)

    def _hang_disk(self, vm: VmId) -> None:
        duration = self._between(0.5, 6)
        state = self._cluster.states[vm]
        state.disk_hangs_until = self._cluster.now + duration
        self._lose(vm, 'disk hangs', duration, lambda: None)

    def _split(self) -> None:
        if self._is_split:
            return
        self._is_split = True
        half = self._random.sample(self._cluster.vms, _HALF)
        others = [vm for vm in self._cluster.vms if vm not in half]
        self._note(f'split into {half} and {others}')
        heal = self._cut(half, others)

        def end() -> None:
            heal()
            self._note('split ended')
            self._is_split = False

        self._pause_catching_up(self._between(0.5, 8), end)

    def _cut(self, some: Collection[VmId], others: Collection[VmId]) -> Action:
        number = next(self._numbers)
        self._cuts.add(number)
        keys = [(vm, other) for vm in some for other in others]
        reverse_keys = [(other, vm) for vm, other in keys]
        self._cluster.links.cut(number, (*keys, *reverse_keys))
        return partial(self._cluster.links.heal, number)

    def _lose_all_power(self) -> None:
        if self._is_blackout:
            return
        self._is_blackout = True
        vms = [vm for vm in self._cluster.vms if not self._is_disturbed(vm)]
        self._note(f'{vms} without power')
        for vm in vms:
            self._cluster.stop(vm)
            start = partial(self._cluster.start, vm)
            self._end_after(_BLACKOUT * self._random.uniform(0.1, 0.9), start)

        def end() -> None:
            self._note('all have started')
            self._is_blackout = False

        self._pause_catching_up(_BLACKOUT, end)

    def _make_links_lossy(self) -> None:
        self._note('links lossy')
        links = self._cluster.links
        links.loss_probability = self._random.uniform(0.01, 0.1)

        def mend() -> None:
            links.loss_probability = 0
            self._note('links mended')

        # Most messages wait for another one's retransmission.
        self._pause_catching_up(self._between(1, 6), mend)
