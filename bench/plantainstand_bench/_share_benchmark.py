"""Measures the share planner, the state machine and the ledger."""

import gc
import time
from collections.abc import Callable, Iterator, Mapping, Sequence
from datetime import timedelta
from functools import partial

from plantainstand_core import (
    AvailabilityZoneId,
    Incarnation,
    LogIndex,
    RegionId,
    ResourceId,
    VmId,
)
from plantainstand_shares import (
    Claim,
    ConfirmRelease,
    RegisterVm,
    SetShares,
    ShareDemand,
    ShareLedger,
    SharePlanner,
    ShareState,
    ShareUnit,
    VmIncarnation,
    plan_shares,
)

# Resources, zones, VMs in each zone.
_SIZES = (
    (12, 2, 2),
    (100, 6, 4),
    (1000, 16, 16),
    (5500, 64, 52),
)
_SLOTS = 9
_LEDGER_ROUNDS = 100000
_REPEATS = 3
_NOW = timedelta(hours=1)


def measure_shares() -> Mapping[str, float]:
    """Return figures by name; the name ends with the unit."""
    figures: dict[str, float] = {}
    for size in _SIZES:
        figures.update(_measure_planner(*size))
    figures.update(_measure_ledger())
    return figures


class _Deployment:
    """State and demands of one size."""

    def __init__(self, resources: int, zones: int, vms: int):
        self.state = ShareState()
        self._index = 0
        self._zones = [
            [VmId(f'vm-{zone}-{number}') for number in range(vms)]
            for zone in range(zones)
        ]
        self._resources = resources
        for zone, members in enumerate(self._zones):
            for vm in members:
                self._register(zone, vm)

    def join(self) -> None:
        """Add one VM to the first zone."""
        vm = VmId('vm-joined')
        self._zones[0].append(vm)
        self._register(0, vm)

    def demands(self) -> Sequence[ShareDemand]:
        """Return equal numbers of targets for every zone."""
        tiers = [(tuple(members),) for members in self._zones]
        return [
            ShareDemand(
                ResourceId(f'target/{number}'),
                ShareUnit.COUNT,
                _SLOTS if len(self._zones[0]) < _SLOTS else 5 * _SLOTS,
                tiers[number % len(tiers)],
            )
            for number in range(self._resources)
        ]

    def set_shares(self) -> int:
        """Plan and apply one step; return the number of changed shares."""
        changes = plan_shares(self.demands(), self.state.view())
        self._apply(SetShares(tuple(changes)))
        return sum(len(change.grants) for change in changes)

    def confirm(self, commands: Sequence[ConfirmRelease]) -> None:
        """Apply confirmed releases."""
        for command in commands:
            self._apply(command)

    def confirmations(self) -> Iterator[ConfirmRelease]:
        """Return the confirmed release of every lowered share."""
        for resource, known in self.state.view().resources.items():
            for share in known.holders.values():
                if share.held > share.share:
                    yield ConfirmRelease(
                        share.vm,
                        share.incarnation,
                        resource,
                        share.version,
                    )

    def _register(self, zone: int, vm: VmId) -> None:
        self._apply(
            RegisterVm(
                vm,
                Incarnation(1),
                AvailabilityZoneId(f'zone-{zone}'),
                RegionId(f'region-{zone // 2}'),
                '127.0.0.1',
                1,
                2,
            ),
        )

    def _apply(self, command: RegisterVm | SetShares | ConfirmRelease) -> None:
        self._index += 1
        self.state.apply(command, LogIndex(self._index))


def _measure_planner(
    resources: int,
    zones: int,
    vms: int,
) -> Mapping[str, float]:
    figures = {}
    deployment = _Deployment(resources, zones, vms)
    name = f'{resources} resources, {zones} zones of {vms} VMs'
    figures[f'{name}: first shares, ms'] = _milliseconds(deployment.set_shares)
    figures[f'{name}: plan without change, ms'] = min(
        _milliseconds(_plan(deployment, None)) for _ in range(_REPEATS)
    )
    planner = SharePlanner()
    planner.plan(deployment.demands(), deployment.state.view())
    figures[f'{name}: plan with memory without change, ms'] = min(
        _milliseconds(_plan(deployment, planner)) for _ in range(_REPEATS)
    )
    shares = sum(
        len(known.holders)
        for known in deployment.state.view().resources.values()
    )
    figures[f'{name}: shares, count'] = shares
    figures[f'{name}: snapshot, ms'] = _milliseconds(deployment.state.snapshot)
    figures[f'{name}: snapshot, bytes'] = len(deployment.state.snapshot())
    deployment.join()
    figures[f'{name}: step after a join, ms'] = _milliseconds(
        deployment.set_shares,
    )
    commands = tuple(deployment.confirmations())
    figures[f'{name}: confirmed after a join, count'] = len(commands)
    if commands:
        spent = _milliseconds(partial(deployment.confirm, commands))
        figures[f'{name}: confirm, us'] = 1000 * spent / len(commands)
    return figures


def _plan(
    deployment: _Deployment,
    planner: SharePlanner | None,
) -> Callable[[], object]:
    plan = planner.plan if planner else plan_shares
    demands = deployment.demands()
    return lambda: plan(demands, deployment.state.view())


def _measure_ledger() -> Mapping[str, float]:
    deployment = _Deployment(2, 1, 1)
    deployment.set_shares()
    owner = VmIncarnation(VmId('vm-0-0'), Incarnation(1))
    ledger = ShareLedger(owner, lambda now: True)
    ledger.apply(deployment.state.view(), _NOW)
    claims = (
        Claim(ResourceId('target/0')),
        Claim(ResourceId('target/1')),
    )
    figures = {}
    for count in (1, 2):
        spent = min(
            _milliseconds(_use(ledger, claims[:count])) for _ in range(_REPEATS)
        )
        figures[f'reserve and release, {count} claims, us'] = (
            1000 * spent / _LEDGER_ROUNDS
        )
    return figures


def _use(ledger: ShareLedger, claims: Sequence[Claim]) -> Callable[[], None]:
    def rounds() -> None:
        for _ in range(_LEDGER_ROUNDS):
            ledger.release(ledger.reserve(claims, _NOW).unwrap(), _NOW)

    return rounds


def _milliseconds(step: Callable[[], object]) -> float:
    gc.collect()
    started = time.perf_counter()
    step()
    return 1000 * (time.perf_counter() - started)
