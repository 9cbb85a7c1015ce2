"""``plantainstand-vm-list``: the stand-in for the platform's list of VMs."""

import argparse
import sys
import threading
from collections.abc import Iterable, Sequence
from datetime import datetime, timedelta
from http import HTTPStatus
from pathlib import Path
from typing import Annotated

import msgspec
from plantainstand_core import (
    AvailabilityZoneId,
    Clock,
    SystemClock,
    VmId,
    load_settings,
)
from result import Err

from plantainstand_bench._connections import ConnectionRegistry
from plantainstand_bench._http_server import (
    ServedApplication,
    serve_until_signal,
)
from plantainstand_bench._target_settings import Count, Milliseconds, Strict
from plantainstand_bench._wsgi import (
    Answer,
    Environment,
    StartResponse,
    make_answer,
    read_body,
    send_answer,
)

_THREADS = 4
_CONNECTIONS = 256
_VM_PREFIX = '/vms/'

VmState = Annotated[
    str,
    msgspec.Meta(pattern='^(live|leaving|terminated)$'),
]


class ListedVm(Strict, frozen=True):
    """One line of the list, and the body of ``PUT /vms/<id>``."""

    id: VmId
    availability_zone: AvailabilityZoneId
    state: VmState = 'live'


class VmListSettings(Strict, frozen=True):
    """Settings file of the list."""

    host: str = '127.0.0.1'
    port: Count = 0
    lag_ms: Milliseconds = 0
    """Time until a change is visible."""

    vms: tuple[ListedVm, ...] = ()


class VmList:
    """Changes with their times; readers see them after the lag."""

    def __init__(self, settings: VmListSettings, clock: Clock):
        """Start with VMs that are visible at once."""
        self._clock = clock
        self._lag = timedelta(milliseconds=settings.lag_ms)
        self._lock = threading.Lock()
        start = clock.wall() - self._lag
        self._changes = [(start, listed) for listed in settings.vms]

    def change(self, listed: ListedVm) -> None:
        """Record a change; it is visible after the lag."""
        with self._lock:
            self._changes.append((self._clock.wall(), listed))

    def visible(self) -> tuple[datetime, Sequence[ListedVm]]:
        """Return the time of the view and the VMs at that time."""
        moment = self._clock.wall() - self._lag
        with self._lock:
            changes = tuple(self._changes)
        vms = {listed.id: listed for at, listed in changes if at <= moment}
        return moment, tuple(vms.values())


class VmListApplication:
    """WSGI callable of the list."""

    def __init__(self, vm_list: VmList):
        """Serve ``vm_list``."""
        self._vm_list = vm_list

    def __call__(
        self,
        environment: Environment,
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        """Answer one request."""
        return send_answer(self._route(environment), start_response)

    def _route(self, environment: Environment) -> Answer:
        method = environment['REQUEST_METHOD']
        path = environment['PATH_INFO']
        if (method, path) == ('GET', '/vms'):
            return self._get()
        if method == 'PUT' and path.startswith(_VM_PREFIX):
            vm = path.removeprefix(_VM_PREFIX)
            return self._put(vm, read_body(environment))
        return make_answer(HTTPStatus.NOT_FOUND, {'error': 'no such route'})

    def _get(self) -> Answer:
        moment, vms = self._vm_list.visible()
        document = {'generated_at': moment.isoformat(), 'vms': vms}
        return make_answer(HTTPStatus.OK, document)

    def _put(self, vm: str, body: bytes) -> Answer:
        try:
            fields = {**msgspec.json.decode(body, type=dict), 'id': vm}
            listed = msgspec.convert(fields, ListedVm)
        except msgspec.MsgspecError as problem:
            return make_answer(HTTPStatus.BAD_REQUEST, {'error': str(problem)})
        self._vm_list.change(listed)
        return make_answer(HTTPStatus.OK, listed)


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the list until SIGTERM."""
    parser = argparse.ArgumentParser(
        prog='plantainstand-vm-list',
        description="Stand-in for the platform's list of VMs.",
    )
    parser.add_argument('--settings', type=Path, required=True)
    options = parser.parse_args(arguments)
    loaded = load_settings(options.settings, VmListSettings)
    if isinstance(loaded, Err):
        sys.stderr.write(f'{loaded.err_value}\n')
        return 2
    _serve(loaded.ok_value)
    return 0


def _serve(settings: VmListSettings) -> None:
    vm_list = VmList(settings, SystemClock())
    serve_until_signal(
        [
            ServedApplication(
                name='vm-list',
                host=settings.host,
                port=settings.port,
                threads=_THREADS,
                application=VmListApplication(vm_list),
                registry=ConnectionRegistry(_CONNECTIONS),
            ),
        ],
    )
