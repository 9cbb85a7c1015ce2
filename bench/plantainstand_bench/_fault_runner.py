"""Applies the faults of a list at their times."""

import asyncio
import signal
import sys
from collections.abc import Sequence

import msgspec
from plantainstand_core import AvailabilityZoneId, VmId

from plantainstand_bench._deployment import Deployment
from plantainstand_bench._faults import (
    AnnounceDrain,
    AnyFault,
    CallOperator,
    ChangeVmList,
    FaultTargets,
    KillTargets,
    KillVm,
    LoseZone,
    PauseVm,
    ResumeVm,
    StartTargets,
    StartVm,
    StopVm,
    WithdrawDrain,
)
from plantainstand_bench._http_client import (
    Address,
    HttpClient,
    HttpRequest,
)
from plantainstand_bench._operator import Operator
from plantainstand_bench._system import System
from plantainstand_bench._system_map import MappedTarget, SystemMap

_PUT_SECONDS = 2


class FaultRunner:
    """Applies faults; each runs on its own, so a slow one delays no other."""

    def __init__(
        self,
        deployment: Deployment,
        system_map: SystemMap,
        system: System,
        operator: Operator,
        client: HttpClient,
    ):
        """Act on ``system`` and through ``operator``."""
        self._deployment = deployment
        self._map = system_map
        self._system = system
        self._operator = operator
        self._client = client

    async def run(self, faults: Sequence[AnyFault]) -> None:
        """Apply every fault at its time, counted from now."""
        await asyncio.gather(*(self._apply_later(fault) for fault in faults))

    async def _apply_later(self, fault: AnyFault) -> None:
        await asyncio.sleep(fault.at_s)
        # The line lets a reader of the log relate it to the latencies.
        text = msgspec.json.encode(fault).decode()
        sys.stderr.write(f'fault: {text}\n')
        if isinstance(fault, AnnounceDrain | WithdrawDrain | CallOperator):
            await self._call_operator(fault)
        elif isinstance(fault, FaultTargets | ChangeVmList):
            await self._call_stand_in(fault)
        elif isinstance(fault, KillTargets | StartTargets | LoseZone):
            self._change_zone(fault)
        else:
            self._change_vm(fault)

    async def _call_operator(
        self,
        fault: AnnounceDrain | WithdrawDrain | CallOperator,
    ) -> None:
        if isinstance(fault, AnnounceDrain):
            is_accepted = await self._operator.announce(fault)
        elif isinstance(fault, WithdrawDrain):
            is_accepted = await self._operator.withdraw(fault)
        else:
            is_accepted = await self._operator.call(
                fault.method,
                fault.path,
                fault.document,
            )
        if not is_accepted:
            sys.stderr.write(f'no VM accepted {fault}\n')

    async def _call_stand_in(self, fault: FaultTargets | ChangeVmList) -> None:
        if isinstance(fault, ChangeVmList):
            await self._change_vm_list(fault.vm, fault.state)
            return
        request = HttpRequest(
            'PUT',
            '/faults',
            body=msgspec.json.encode(fault.faults),
        )
        chosen = [
            Address(target.host, target.port)
            for target in self._map.targets
            if _is_chosen(target, fault)
        ]
        sending = [
            self._client.send(address, request, _PUT_SECONDS)
            for address in chosen
        ]
        await asyncio.gather(*sending)

    async def _change_vm_list(self, vm: VmId, state: str) -> None:
        plan = self._deployment.vm(vm)
        port = self._deployment.platform_list_port
        if plan is None or not port:
            return
        document = {
            'availability_zone': plan.availability_zone,
            'state': state,
        }
        request = HttpRequest(
            'PUT',
            f'/vms/{vm}',
            body=msgspec.json.encode(document),
        )
        address = Address('127.0.0.1', port)
        await self._client.send(address, request, _PUT_SECONDS)

    def _change_zone(
        self,
        fault: KillTargets | StartTargets | LoseZone,
    ) -> None:
        zone = fault.availability_zone
        if isinstance(fault, StartTargets):
            self._system.start_zone_targets(zone)
            return
        self._system.kill_zone_targets(zone)
        if isinstance(fault, LoseZone):
            for vm in self._vms_of(zone):
                self._system.signal_vm(vm, signal.SIGKILL)

    def _change_vm(
        self,
        fault: KillVm | StopVm | PauseVm | ResumeVm | StartVm,
    ) -> None:
        if isinstance(fault, StartVm):
            self._start_vm(fault)
        elif isinstance(fault, StopVm):
            self._system.stop_vm(fault.vm)
        else:
            self._system.signal_vm(fault.vm, _signal_of(fault))

    def _start_vm(self, fault: StartVm) -> None:
        if self._system.is_running(fault.vm):
            sys.stderr.write(f'{fault.vm} still runs and is not started\n')
            return
        if fault.empty_data_folder:
            self._system.empty_data_folder(fault.vm)
        self._system.start_vm(fault.vm)

    def _vms_of(self, zone: AvailabilityZoneId) -> Sequence[VmId]:
        return [
            vm.id for vm in self._deployment.vms if vm.availability_zone == zone
        ]


def _is_chosen(target: MappedTarget, fault: FaultTargets) -> bool:
    wanted = (
        (fault.targets, target.id in fault.targets),
        (fault.service, target.service == fault.service),
        (
            fault.availability_zone,
            target.availability_zone == fault.availability_zone,
        ),
    )
    return all(fits for is_given, fits in wanted if is_given)


def _signal_of(fault: KillVm | PauseVm | ResumeVm) -> signal.Signals:
    if isinstance(fault, PauseVm):
        return signal.SIGSTOP
    if isinstance(fault, ResumeVm):
        return signal.SIGCONT
    return signal.SIGKILL
