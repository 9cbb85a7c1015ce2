"""Calls of the operators' interface."""

import asyncio
import time
from collections.abc import Mapping, Sequence
from typing import Any
from urllib.parse import urlencode

import msgspec
from plantainstand_core import TargetId
from result import Ok

from plantainstand_bench._caller_api import new_request_id
from plantainstand_bench._deployment import VmPlan
from plantainstand_bench._faults import AnnounceDrain, WithdrawDrain
from plantainstand_bench._http_client import (
    Address,
    HttpClient,
    HttpRequest,
)
from plantainstand_bench._records import Drain
from plantainstand_bench._system_map import SystemMap

_CALL_SECONDS = 5
_MAX_SENDINGS = 5
_PAUSE_SECONDS = 0.5
_DRAINS_PATH = '/operator/v1/drains'


class Operator:
    """Announces drains and sends changes to the first VM that answers.

    A change is sent again under the same operation id, so that a lost answer
    cannot apply it twice.
    """

    def __init__(
        self,
        client: HttpClient,
        vms: Sequence[VmPlan],
        system_map: SystemMap,
    ):
        """Call ``vms`` in their order."""
        self._client = client
        self._vms = vms
        self._map = system_map
        self._drains: list[Drain] = []

    @property
    def drains(self) -> Sequence[Drain]:
        """Drains announced in this run."""
        return tuple(self._drains)

    async def call(
        self,
        method: str,
        path: str,
        document: Mapping[str, Any] | None = None,
    ) -> bool:
        """Send a change; true when a VM has accepted it.

        The operation id goes into the document, or into the query of a call
        that has no body.
        """
        operation = {'operation_id': new_request_id()}
        if document is None:
            request = HttpRequest(method, f'{path}?{urlencode(operation)}')
        else:
            body = msgspec.json.encode({**document, **operation})
            headers = {'Content-Type': 'application/json'}
            request = HttpRequest(method, path, headers, body)
        sendings = 1
        while not await self._send_to_first(request):
            if sendings == _MAX_SENDINGS:
                return False
            sendings += 1
            await asyncio.sleep(_PAUSE_SECONDS)
        return True

    async def announce(self, drain: AnnounceDrain) -> bool:
        """Announce a drain and note when it was accepted."""
        subject = f'{drain.subject_kind}/{drain.subject_id}'
        is_accepted = await self.call('PUT', f'{_DRAINS_PATH}/{subject}')
        if is_accepted:
            noted = Drain(
                subject=subject,
                targets=drained_targets(self._map, drain),
                announced=time.time(),
            )
            self._drains.append(noted)
        return is_accepted

    async def withdraw(self, drain: WithdrawDrain) -> bool:
        """Withdraw a drain; work is allowed from the moment of the call."""
        subject = f'{drain.subject_kind}/{drain.subject_id}'
        now = time.time()
        self._drains = [
            msgspec.structs.replace(noted, withdrawn=noted.withdrawn or now)
            if noted.subject == subject
            else noted
            for noted in self._drains
        ]
        return await self.call('DELETE', f'{_DRAINS_PATH}/{subject}')

    async def _send_to_first(self, request: HttpRequest) -> bool:
        for vm in self._vms:
            address = Address(vm.host, vm.http_port)
            answer = await self._client.send(address, request, _CALL_SECONDS)
            if isinstance(answer, Ok) and answer.ok_value.status < 300:
                return True
        return False


def drained_targets(
    system_map: SystemMap,
    drain: AnnounceDrain,
) -> Sequence[TargetId]:
    """Return the targets that a drain concerns."""
    return [
        target.id
        for target in system_map.targets
        if drain.subject_id
        == {
            'target': target.id,
            'availability_zone': target.availability_zone,
            'region': system_map.regions.get(target.availability_zone),
        }.get(drain.subject_kind)
    ]
