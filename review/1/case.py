"""One core machine loses its disk, and later, after catchUpS, two others."""

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

ADDED_ROUTES = 700
"""Routes that two ``big_config`` of the site add, 350 each."""

CHANGES = int(os.environ.get('CHANGES', '400'))
"""With CHANGES=10, the same losses are borne."""

AT_ONCE = 4
"""Orders in progress; the pages allow eight."""

DOWN_S = 1.0
READ_BACK_S = 25.0
"""More than ``recoveryS``."""


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
    leader = await _find_leader(deployment)
    versions = iter(range(2, 2 + CHANGES))
    await asyncio.gather(
        *(_change(deployment, leader, versions) for _turn in range(AT_ONCE))
    )
    took = time.monotonic() - began
    record.note(f'{CHANGES} changes acknowledged in {took:.0f} s')
    await asyncio.sleep(harness.BOUNDS['stabilityWindowS'])
    if HAS_TROUBLE:
        others = [each for each in deployment.controls if each is not leader]
        await _lose_disks(record, others[2:3])
        # The machine counts as lost for this long after it is back.
        await asyncio.sleep(harness.BOUNDS['catchUpS'] + 0.5)
        await _lose_disks(record, others[:2])
    return not await _is_kept(deployment)


async def _lose_disks(record, machines):
    for machine in machines:
        machine.end()
        machine.wipe()
        record.note(f'{machine.ip} was killed and lost its disk')
    await asyncio.sleep(DOWN_S)
    for machine in machines:
        machine.start()
        record.note(f'{machine.ip} is back with an empty disk')


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
    end = time.monotonic() + READ_BACK_S
    while time.monotonic() < end:
        with suppress(harness.CaseError):
            answer = await deployment.order('/config/get', None, 2)
            routes = json.loads(answer.body)['routes']
            held = {each['version'] for each in routes.values()}
            deployment.record.note(f'read back: versions {held}')
            if answer.status == 200 and held == {f'r{1 + CHANGES}'}:
                return True
        await asyncio.sleep(0.3)
    deployment.record.note(f'nothing could be read back in {READ_BACK_S} s')
    return False


if __name__ == '__main__':
    sys.exit(harness.run_case(FOLDER, play, controls=6, entries=1))
