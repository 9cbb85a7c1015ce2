"""Control VMs as real processes: their disruptions, and who is lost when."""

import asyncio
import json
import math
import signal
import time
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from typing import Any

from review import harness

CATCH_UP_SECONDS: float = harness.BOUNDS['catchUpS']
TOLERATED_LOSSES = 2
POLL_SECONDS = 0.1

_FIRST_SPARE_ADDRESS = 30

Status = Mapping[str, Any]


@dataclass(frozen=True)
class _Loss:
    """A machine that counts as lost."""

    until: float
    """Time of the monotonic clock; infinite until the machine is back."""

    has_lost_disk: bool


class Fleet:
    """Control VMs of a deployment, and which of them count as lost."""

    def __init__(self, deployment: harness.Deployment):
        """Disrupt the control VMs of ``deployment``."""
        self.deployment = deployment
        self._losses: dict[str, _Loss] = {}
        self._spare_count = 0

    @property
    def controls(self) -> Sequence[harness.Machine]:
        """Control VMs, without those that were removed."""
        machines: Sequence[harness.Machine] = self.deployment.controls
        return machines

    @property
    def lost(self) -> frozenset[str]:
        """Addresses of the VMs that count as lost."""
        now = time.monotonic()
        return frozenset(
            ip for ip, loss in self._losses.items() if now < loss.until
        )

    @property
    def lost_disks(self) -> frozenset[str]:
        """Addresses of the lost VMs whose disk is lost too."""
        return frozenset(
            ip for ip in self.lost if self._losses[ip].has_lost_disk
        )

    def note(self, text: str) -> None:
        """Add a line to the record."""
        self.deployment.record.note(text)

    def freeze(self, machine: harness.Machine) -> None:
        """Stop the process until :meth:`thaw`."""
        self._lose(machine)
        machine.signal(signal.SIGSTOP)
        self.note(f'{machine.ip} is frozen')

    def thaw(self, machine: harness.Machine) -> None:
        """Let a frozen process go on."""
        machine.signal(signal.SIGCONT)
        self._recover(machine)
        self.note(f'{machine.ip} goes on')

    def kill(self, machine: harness.Machine) -> None:
        """Kill the process; its disk is kept."""
        self._lose(machine)
        machine.end()
        self.note(f'{machine.ip} is killed')

    def wipe(self, machine: harness.Machine) -> None:
        """Empty the disk of a killed process."""
        self._lose(machine, has_lost_disk=True)
        machine.wipe()
        self.note(f'{machine.ip} has lost its disk')

    def start(self, machine: harness.Machine) -> None:
        """Start a killed process or a successor."""
        machine.start()
        self._recover(machine)
        self.note(f'{machine.ip} is started')

    def remove(self, machine: harness.Machine) -> harness.Machine:
        """Remove a VM for good; return its successor, which is not started."""
        machine.end()
        self._losses.pop(machine.ip, None)
        ip = f'{self.deployment.net}.{_FIRST_SPARE_ADDRESS + self._spare_count}'
        self._spare_count += 1
        place = self.deployment.controls.index(machine)
        others = [each for each in self.controls if each is not machine]
        self.deployment.seeds = [each.control for each in others[:3]]
        successor = harness.Machine(
            self.deployment, 'control', ip, machine.zone, spare=True
        )
        self.deployment.controls[place] = successor
        self._lose(successor, has_lost_disk=True)
        self.note(f'{machine.ip} is removed, {ip} takes its place')
        return successor

    def lose_all(self, wiped: Sequence[harness.Machine]) -> None:
        """Kill all control VMs at once, and empty the disks of some."""
        for machine in self.controls:
            machine.signal(signal.SIGKILL)
        for machine in self.controls:
            machine.end()
        self.note('all control VMs are killed')
        for machine in wiped:
            self.wipe(machine)

    def leader(self) -> harness.Machine | None:
        """Return the running VM that was last to become the leader."""
        leaders = [
            (status['term'], number)
            for number, machine in enumerate(self.controls)
            if _is_running(machine)
            for status in _statuses(machine)[-1:]
            if status['role'] == 'leader'
        ]
        return self.controls[max(leaders)[1]] if leaders else None

    def voters(self) -> Sequence[str]:
        """Return the addresses of the leader's voters."""
        leader = self.leader()
        if leader is None:
            return ()
        voters: Sequence[str] = _statuses(leader)[-1]['voters']
        return voters

    def machine(self, ip: str) -> harness.Machine:
        """Return the control VM at an address."""
        return next(each for each in self.controls if each.ip == ip)

    async def wait(
        self, condition: Callable[[], bool], seconds: float, what: str
    ) -> None:
        """Wait until a condition holds; the play is not run if it does not."""
        end = time.monotonic() + seconds
        while not condition():
            if time.monotonic() > end:
                raise harness.CaseError(f'after {seconds} s: not {what}')
            await asyncio.sleep(POLL_SECONDS)

    def _lose(
        self, machine: harness.Machine, *, has_lost_disk: bool = False
    ) -> None:
        has_lost_disk = has_lost_disk or machine.ip in self.lost_disks
        self._losses[machine.ip] = _Loss(math.inf, has_lost_disk)

    def _recover(self, machine: harness.Machine) -> None:
        until = time.monotonic() + CATCH_UP_SECONDS
        has_lost_disk = machine.ip in self.lost_disks
        self._losses[machine.ip] = _Loss(until, has_lost_disk)


def _is_running(machine: harness.Machine) -> bool:
    return machine.process is not None and machine.process.poll() is None


def _statuses(machine: harness.Machine) -> Sequence[Status]:
    if machine.process is None:
        return ()
    return [
        json.loads(line)
        for line in machine.log_text().splitlines()
        if '"event":"replica status changed"' in line and line.endswith('}')
    ]
