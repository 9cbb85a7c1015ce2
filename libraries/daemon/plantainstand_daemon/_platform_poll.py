"""Polling of the platform's VM list."""

import asyncio
from concurrent.futures import Executor
from datetime import datetime, timedelta

import msgspec
import urllib3
from plantainstand_core import AvailabilityZoneId, VmId
from plantainstand_membership import (
    PlatformList,
    PlatformSnapshot,
    PlatformState,
    PlatformVm,
)
from urllib3.exceptions import HTTPError

from plantainstand_daemon._leader import Leader
from plantainstand_daemon._target_connection import TargetPool, read_body
from plantainstand_daemon._tasks import sleep

_POLL_INTERVAL = timedelta(seconds=2)
_TIMEOUT_SECONDS = 2.0
_MAX_LIST_BYTES = 4_194_304


class _ListedVm(msgspec.Struct, frozen=True):
    id: VmId
    availability_zone: AvailabilityZoneId
    state: PlatformState


class _VmListDocument(msgspec.Struct, frozen=True):
    generated_at: datetime
    vms: tuple[_ListedVm, ...]


class PlatformPoll:
    """Reports terminated VMs to the leader."""

    def __init__(self, url: str, leader: Leader, executor: Executor) -> None:
        """Read the list below ``url`` on threads of ``executor``."""
        self._url = urllib3.util.parse_url(f'{url}/vms')
        self._leader = leader
        self._executor = executor
        self._list = PlatformList()
        self._pool = TargetPool(self._url.host or '', self._url.port)

    async def run(self) -> None:
        """Read the list at each interval, until cancelled."""
        loop = asyncio.get_running_loop()
        while True:  # noqa: WPS457
            snapshot = await loop.run_in_executor(self._executor, self._read)
            if snapshot is not None and self._list.accept(snapshot):
                self._leader.record_terminated(self._list.terminated)
            await sleep(_POLL_INTERVAL)

    def _read(self) -> PlatformSnapshot | None:
        """Read the list; return ``None`` if it is unreachable or invalid."""
        try:
            response = self._pool.urlopen(
                'GET',
                self._url.request_uri,
                timeout=_TIMEOUT_SECONDS,
                retries=False,
                preload_content=False,
            )
            body = read_body(response, _MAX_LIST_BYTES)
            document = msgspec.json.decode(body or b'', type=_VmListDocument)
        except (HTTPError, OSError, msgspec.DecodeError):
            return None
        return PlatformSnapshot(
            document.generated_at,
            tuple(
                PlatformVm(listed.id, listed.availability_zone, listed.state)
                for listed in document.vms
            ),
        )
