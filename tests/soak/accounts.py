"""Withdraws and moves keys of client accounts while requests use them.

It starts the programs of ``deploy/system.toml`` on loopback addresses.
"""

import asyncio
import itertools
import json
import tempfile
import time
from collections.abc import Mapping, Sequence
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from types import MappingProxyType
from typing import Any

from review import harness

APPLY_SECONDS: float = harness.BOUNDS['configApplyS']
"""Time after an acknowledgement by which every VM applies a change."""

BEFORE_SECONDS = 1.5
AFTER_SECONDS = 1.5
"""Time for which requests are sent once the change is applied everywhere."""

PAUSE_SECONDS = 0.02
KEPT = 'key-of-acme-that-stays'
WITHDRAWN = 'key-of-acme-that-is-withdrawn'
MOVED = 'key-that-moves-from-acme-to-zeta'
OTHER = 'key-of-zeta'
KEYS = (KEPT, WITHDRAWN, MOVED, OTHER)

_FIRST = MappingProxyType(
    {'acme': (KEPT, WITHDRAWN, MOVED), 'zeta': (OTHER,)},
)
_SECOND = MappingProxyType({'acme': (KEPT,), 'zeta': (OTHER, MOVED)})


@dataclass(frozen=True)
class Sent:
    """One request of a client."""

    key: str
    sent_at: float
    request: str
    status: int


@dataclass
class Findings:
    """What clients and targets saw."""

    sent: list[Sent] = field(default_factory=list)
    accounts: dict[str, str | None] = field(default_factory=dict)
    """Account that a target was told, by request."""

    stated_keys: list[str] = field(default_factory=list)
    """Contents of Authorization that reached a target."""

    acknowledged_at: float = 0
    """Monotonic time at which the change was acknowledged."""

    logs: str = ''
    """Text of all log files of the system."""

    public_status: int = 0
    keyless_status: int = 0
    tenants: Mapping[str, Any] = field(default_factory=dict)
    """Tenants that were read back after the change."""

    def statuses(self, key: str, *, applied: bool | None = None) -> set[int]:
        """Return the statuses of requests with a key.

        ``applied`` selects those sent before the change was sent, or after
        every VM has applied it.
        """
        return {
            each.status
            for each in self.of(key)
            if applied is None
            or applied == (each.sent_at > self.acknowledged_at + APPLY_SECONDS)
        }

    def of(self, key: str) -> Sequence[Sent]:
        """Return the requests with a key."""
        return [each for each in self.sent if each.key == key]


class Target(harness.Backend):  # type: ignore[misc]
    """Records what the headers of each request say of its account."""

    found: Findings

    async def _answer(
        self,
        writer: asyncio.StreamWriter,
        first: str,
        headers: Mapping[str, str],
        body: bytes,
    ) -> None:
        request = headers.get('x-request-id')
        if request is not None:
            self.found.accounts[request] = headers.get('x-tenant')
        stated = headers.get('authorization')
        if stated is not None:
            self.found.stated_keys.append(stated)
        await super()._answer(writer, first, headers, body)


async def play() -> Findings:
    """Set accounts, withdraw one key and move another; return the findings."""
    found = Findings()
    with tempfile.TemporaryDirectory() as folder:
        record = harness.Record(Path(folder) / 'record.txt')
        deployment = harness.Deployment(record, controls=3, entries=2)
        try:
            await _play(deployment, found)
        finally:
            deployment.close()
            record.close()
        # The targets' connections end before the event loop does.
        await asyncio.sleep(PAUSE_SECONDS)
    return found


async def _play(deployment: harness.Deployment, found: Findings) -> None:
    for number, zone in enumerate(list(harness.ZONES)[:2]):
        target = deployment.add_backend(
            f'i-{number}', 'work', zone, kind=Target
        )
        target.found = found
    await deployment.start(_first_document())
    fronts = [entry.front for entry in deployment.entries]
    clients = [
        asyncio.create_task(_send_forever(front, key, found))
        for front, key in itertools.product(fronts, KEYS)
    ]
    await asyncio.sleep(BEFORE_SECONDS)
    change = {'upsert': {'tenants': _tenants(_SECOND, 'r2')}}
    await deployment.order('/config/patch', change)
    found.acknowledged_at = time.monotonic()
    await asyncio.sleep(APPLY_SECONDS + AFTER_SECONDS)
    for client in clients:
        client.cancel()
    await asyncio.gather(*clients, return_exceptions=True)
    for path, name in (('/open/x', 'public'), ('/closed/x', 'keyless')):
        headers = {'Host': 'soak.example', 'X-Request-Id': name}
        answer = await harness.call(fronts[0], 'GET', path, headers)
        setattr(found, f'{name}_status', answer.status)
    read = await deployment.order('/config/get')
    found.tenants = json.loads(read.body)['tenants']
    found.logs = '\n'.join(each.log_text() for each in deployment.machines)


async def _send_forever(front: str, key: str, found: Findings) -> None:
    """Send requests one after another on a kept connection."""
    host, _colon, port = front.rpartition(':')
    while True:
        with suppress(OSError, asyncio.IncompleteReadError):
            reader, writer = await asyncio.open_connection(host, int(port))
            try:
                await _use(reader, writer, key, found)
            finally:
                writer.close()
        await asyncio.sleep(PAUSE_SECONDS)


async def _use(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    key: str,
    found: Findings,
) -> None:
    while True:
        request = f'{key[-9:]}-{len(found.sent)}-{time.monotonic_ns()}'
        lines = (
            'GET /closed/x HTTP/1.1',
            'Host: soak.example',
            f'X-Request-Id: {request}',
            f'Authorization: Token {key}',
            'X-Tenant: forged',
            '',
            '',
        )
        sent_at = time.monotonic()
        writer.write('\r\n'.join(lines).encode())
        first, headers = await harness.read_head(reader)
        await harness.read_body(reader, headers)
        status = int(first.split(' ')[1])
        found.sent.append(Sent(key, sent_at, request, status))
        await asyncio.sleep(PAUSE_SECONDS)


def _first_document() -> Mapping[str, Any]:
    routes = {
        name: harness.route(
            'soak.example', f'/{name}/', 'work', 'r1', public=name == 'open'
        )
        for name in ('open', 'closed')
    }
    work = harness.service('r1', coldPerS=0, coldStartS=0)
    return {
        'upsert': {
            'routes': routes,
            'services': {'work': work},
            'limits': harness.LIMITS,
            'tenants': _tenants(_FIRST, 'r1'),
        }
    }


def _tenants(
    keys: Mapping[str, Sequence[str]], version: str
) -> Mapping[str, Any]:
    return {
        name: {'apiKeys': list(held), 'homeRegions': [], 'version': version}
        for name, held in keys.items()
    }
