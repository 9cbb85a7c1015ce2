"""Waiting until servers answer."""

import asyncio
import time
from collections.abc import Sequence
from dataclasses import dataclass
from http import HTTPStatus

from result import Err

from plantainstand_bench._http_client import (
    Address,
    HttpClient,
    HttpRequest,
)

_READY_SECONDS = 40
_PROBE_SECONDS = 2
_PAUSE_SECONDS = 0.1


@dataclass(frozen=True)
class Probe:
    """A path that a server answers with 200 when it is ready."""

    name: str
    address: Address
    path: str


async def wait_until_ready(
    client: HttpClient,
    probes: Sequence[Probe],
) -> Sequence[str]:
    """Return the names of the servers that were not ready in time."""
    end = time.monotonic() + _READY_SECONDS
    waiting = list(probes)
    while waiting and time.monotonic() < end:
        answers = [await _answers(client, probe) for probe in waiting]
        waiting = [
            probe
            for probe, is_ready in zip(waiting, answers, strict=True)
            if not is_ready
        ]
        await asyncio.sleep(_PAUSE_SECONDS if waiting else 0)
    return [probe.name for probe in waiting]


async def _answers(client: HttpClient, probe: Probe) -> bool:
    request = HttpRequest('GET', probe.path)
    answer = await client.send(probe.address, request, _PROBE_SECONDS)
    if isinstance(answer, Err):
        return False
    return answer.ok_value.status == HTTPStatus.OK
