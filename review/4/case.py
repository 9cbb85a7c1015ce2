"""An entry that cannot be read stands in the list while a backend leaves."""

import asyncio
import itertools
import sys
import time
from contextlib import suppress
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import harness  # noqa: E402

HOST = 'tienda.example'
UNREADABLE = b'{"service":"pedidos","address":"127.0.0.9:80'
"""Entry of another writer that was cut short."""

LEAVES_AFTER_S = 2.0
WATCHED_S = 12.0
SEND_EVERY_S = 0.05


async def play(deployment):
    """Return whether a leaving backend got requests after ``drainS``."""
    record = deployment.record
    for number in range(2):
        deployment.add_backend(f'i-{number}', 'pedidos', 'bajio-a')
    leaving = deployment.backends[0]
    patch = {
        'upsert': {
            'routes': {'r-1': harness.route(HOST, '/p/', 'pedidos', 'r1')},
            'services': {'pedidos': harness.service('r1')},
            'limits': harness.LIMITS,
        },
        'remove': {'routes': []},
    }
    await deployment.start(patch)
    sent_at = {}
    sending = asyncio.create_task(_send(deployment, sent_at))
    # The machines are in touch once nothing has happened for a while.
    await asyncio.sleep(harness.BOUNDS['stabilityWindowS'] + 2)
    if not leaving.ran:
        raise harness.CaseError('the backend got nothing before')
    if harness.has_trouble():
        deployment.platform.foreign.append(UNREADABLE)
        record.note(f'listed by another writer: {UNREADABLE!r}')
    await asyncio.sleep(LEAVES_AFTER_S)
    leaving.state = 'draining'
    shown_at = time.monotonic()
    record.note(f'the list shows {leaving.ident} as draining')
    await asyncio.sleep(WATCHED_S)
    sending.cancel()
    bound = shown_at + harness.BOUNDS['drainS']
    late = [run for run in leaving.ran if sent_at[run[1]] > bound]
    record.note(
        f'{len(late)} requests that were sent later than drainS after that'
        f' ran at {leaving.ident}'
    )
    return bool(late)


async def _send(deployment, sent_at):
    numbers = itertools.count()
    while True:
        number = next(numbers)
        entry = deployment.entries[number % len(deployment.entries)]
        ident = f'{number:016x}'
        sent_at[ident] = time.monotonic()
        asyncio.create_task(_request(deployment.record, entry, ident))
        await asyncio.sleep(SEND_EVERY_S)


async def _request(record, entry, ident):
    headers = {
        'Host': HOST,
        'X-Request-Id': ident,
        'Cookie': f'X-Affinity-Key={int(ident, 16) % 40}',
        'X-Deadline-Ms': '1200',
    }
    record.note(f'sent: {ident} to {entry.front}')
    with suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
        answer = await harness.call(entry.front, 'GET', '/p/x', headers)
        record.note(f'answered: {ident} {answer.status}')


if __name__ == '__main__':
    sys.exit(harness.run_case(FOLDER, play))
