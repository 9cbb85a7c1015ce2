"""All processes of the core are killed after some hundred large changes."""

import asyncio
import json
import os
import sys
import time
from contextlib import suppress
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import harness  # noqa: E402

HAS_TROUBLE = os.environ.get('TROUBLE', '1') != '0'
"""Whether the disruption is played; TROUBLE=0 leaves it out."""

MEMORY_MIB = 296
"""``memoryMb`` of a core machine, taken as the larger unit."""

ADDED_ROUTES = 700
"""Routes that two ``big_config`` of the site add, 350 each."""

CHANGES = 560
AT_ONCE = 4
"""Orders in progress; the pages allow eight."""

RESTART_S = 0.5
"""Time after which the platform starts a process that was killed again."""

RECOVERY_S = 20.0
"""Time for the read back: more than ``recoveryS``."""


async def play(deployment):
    """Return whether what was acknowledged cannot be read any more."""
    record = deployment.record
    deployment.add_backend('i-0', 'pedidos', 'bajio-a')
    await deployment.start(
        {
            'upsert': {
                'routes': _routes(1),
                'services': {'pedidos': harness.service('r1')},
                'limits': harness.LIMITS,
            },
            'remove': {'routes': []},
        }
    )
    began = time.monotonic()
    versions = iter(range(2, 2 + CHANGES))
    leader = await _find_leader(deployment)
    await asyncio.gather(
        *(_change(deployment, leader, versions) for _turn in range(AT_ONCE))
    )
    record.note(
        f'{CHANGES} changes acknowledged in {time.monotonic() - began:.0f} s;'
        f' memory: {_used_mib(deployment)} MiB'
    )
    await asyncio.sleep(1)
    watching = asyncio.create_task(_play_platform(deployment))
    if HAS_TROUBLE:
        for machine in deployment.controls:
            machine.end()
        record.note('all processes of the core were killed')
    await asyncio.sleep(1)
    is_kept = await _is_kept(deployment)
    watching.cancel()
    record.note(f'memory: {_used_mib(deployment)} MiB')
    return not is_kept


def _routes(version):
    return {
        f'r-x{number}': harness.route(
            f'tienda{number}.example',
            f'/catalogo{number}/',
            'pedidos',
            f'r{version}',
            timeoutS=1 + version / 1000,
        )
        for number in range(ADDED_ROUTES)
    }


async def _find_leader(deployment):
    """Return the machine that answers the operator itself."""
    for machine in deployment.controls:
        with suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
            answer = await harness.call(machine.control, 'GET', '/config/get')
            if answer.status == 200:
                return machine
    raise harness.CaseError('no control machine answers')


async def _change(deployment, leader, versions):
    for version in versions:
        changed = {'upsert': {'routes': _routes(version)}}
        answer = await deployment.order(
            '/config/patch', changed, 60, first=leader
        )
        if answer.status != 200:
            raise harness.CaseError(f'status {answer.status} for a change')


async def _is_kept(deployment):
    """Read back as the operator does, until the newest version is there."""
    end = time.monotonic() + RECOVERY_S
    while time.monotonic() < end:
        with suppress(harness.CaseError):
            answer = await deployment.order('/config/get', None, 2)
            routes = json.loads(answer.body)['routes']
            held = {each['version'] for each in routes.values()}
            deployment.record.note(f'read back: versions {held}')
            if answer.status == 200 and held == {f'r{1 + CHANGES}'}:
                return True
        await asyncio.sleep(0.3)
    deployment.record.note(f'nothing could be read back in {RECOVERY_S} s')
    return False


async def _play_platform(deployment):
    """Kill processes over their memory, and start killed ones again."""
    restart_at = {}
    while True:
        now = time.monotonic()
        for machine in deployment.controls:
            if machine.process.poll() is None:
                used = _resident_mib(machine)
                if used > MEMORY_MIB:
                    machine.end()
                    deployment.record.note(
                        f'{machine.ip} uses {used} MiB and is killed'
                    )
                continue
            due = restart_at.setdefault(machine.ip, now + RESTART_S)
            if now >= due:
                restart_at.pop(machine.ip)
                machine.write_settings(bootstrap=False)
                machine.start()
        await asyncio.sleep(0.01)


def _used_mib(deployment):
    return [_resident_mib(machine) for machine in deployment.controls]


def _resident_mib(machine):
    with suppress(OSError):
        path = Path(f'/proc/{machine.process.pid}/status')
        for line in path.read_text('utf-8').splitlines():
            if line.startswith('VmRSS:'):
                return int(line.split()[1]) // 1024
    return 0


if __name__ == '__main__':
    sys.exit(harness.run_case(FOLDER, play, entries=1))
