"""A caller's cached answer of ``GET /v1/entries``."""

import asyncio
import random
import time
from collections.abc import Sequence
from dataclasses import dataclass
from urllib.parse import urlencode, urlsplit

import msgspec
from plantainstand_core import AvailabilityZoneId
from result import Ok

from plantainstand_bench._deployment import VmPlan
from plantainstand_bench._http_client import (
    Address,
    HttpClient,
    HttpRequest,
)

_DISCOVERY_SECONDS = 1


class ListedEntry(msgspec.Struct, frozen=True):
    """One entry VM of the answer."""

    vm: str
    url: str
    availability_zone: str = ''

    @property
    def address(self) -> Address:
        """Where the VM serves callers."""
        parts = urlsplit(self.url)
        return Address(parts.hostname or '', parts.port or 0)


class EntryList(msgspec.Struct, frozen=True):
    """Body of ``GET /v1/entries``; other fields are ignored."""

    lifetime_ms: float
    entries: Sequence[ListedEntry]


@dataclass(frozen=True)
class CallerIdentity:
    """Who a caller is and where."""

    name: str
    availability_zone: AvailabilityZoneId

    @property
    def entries_path(self) -> str:
        """Path and query of the discovery request."""
        query = {
            'caller': self.name,
            'availability_zone': self.availability_zone,
        }
        return f'/v1/entries?{urlencode(query)}'


class EntryDirectory:
    """Keeps the list for its lifetime, and an old one when none is new.

    The first answer comes from one of the configured VMs, in random order
    with those of the caller's own availability zone first.
    """

    def __init__(
        self,
        identity: CallerIdentity,
        client: HttpClient,
        vms: Sequence[VmPlan],
        seed: int,
    ):
        """Start without a list."""
        self._identity = identity
        self._client = client
        source = random.Random(f'{seed}/{identity.name}')
        shuffled = source.sample(vms, len(vms))
        zone = identity.availability_zone
        shuffled.sort(key=lambda vm: vm.availability_zone != zone)
        self._configured = [
            ListedEntry(vm.id, f'http://{vm.host}:{vm.http_port}')
            for vm in shuffled
        ]
        self._listed: Sequence[ListedEntry] = ()
        self._fresh_until = float(0)
        self._lock = asyncio.Lock()

    async def entries(self) -> Sequence[ListedEntry]:
        """Return the current list, asking for a new one when it is old."""
        async with self._lock:
            if time.monotonic() >= self._fresh_until:
                await self._refresh()
        return self._listed or self._configured

    def forget(self) -> None:
        """Ask again before the next request."""
        self._fresh_until = 0

    async def _refresh(self) -> None:
        for entry in (*self._listed, *self._configured):
            found = await self._ask(entry)
            if found is not None and found.entries:
                self._listed = found.entries
                lifetime = found.lifetime_ms / 1000
                self._fresh_until = time.monotonic() + lifetime
                return

    async def _ask(self, entry: ListedEntry) -> EntryList | None:
        request = HttpRequest('GET', self._identity.entries_path)
        answered = await self._client.send(
            entry.address,
            request,
            _DISCOVERY_SECONDS,
        )
        if not isinstance(answered, Ok):
            return None
        try:
            return msgspec.json.decode(answered.ok_value.body, type=EntryList)
        except msgspec.DecodeError:
            return None
