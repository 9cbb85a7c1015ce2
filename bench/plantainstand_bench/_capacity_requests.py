"""Cost of look-ups by callers and of health reports of targets."""

import asyncio
import io
import time
from collections import defaultdict
from collections.abc import Iterator, Mapping
from concurrent.futures import ThreadPoolExecutor
from contextlib import ExitStack, closing, contextmanager
from dataclasses import dataclass
from functools import partial
from http import HTTPStatus
from http.client import HTTPConnection
from typing import NoReturn

from plantainstand_catalogue import Target
from plantainstand_core import (
    ServiceId,
    SystemClock,
)
from plantainstand_daemon._caller_api import CallerPort, list_entries
from plantainstand_daemon._caller_bridge import entry_lister
from plantainstand_daemon._dispatch import TargetAddress, TargetClient
from plantainstand_daemon._health_poll import HealthPoll
from plantainstand_daemon._http import (
    Application,
    build_application,
)
from plantainstand_daemon._services import LocalTarget, ServiceRuntime
from plantainstand_daemon._settings import HttpSettings
from plantainstand_daemon._web_server import start_web_server
from plantainstand_membership import EntrySnapshot, EntryVm
from plantainstand_steering import (
    AdmissionQueue,
    CandidateId,
    HedgePolicy,
    RetryBudget,
    ServiceView,
    TargetHealth,
)

from plantainstand_bench._capacity_deployment import (
    PLANNED,
    TODAY,
    ControlModel,
    Size,
    vm_name,
    zone_name,
)
from plantainstand_bench._capacity_statistics import describe, describe_line
from plantainstand_bench._capacity_threads import (
    HOST,
    CountingRelay,
    LoopThread,
    free_port,
    loop_thread,
)
from plantainstand_bench._capacity_voter import make_instruments

_REPEATS = 3
_MICROSECONDS = 1_000_000
_CALLERS = 20_000
_HTTP_CALLS = 500
_THREADS = 8
_POLLED = (5, 15, 50)
_POLL_S = 1.2
_HEALTH = (
    b'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n'
    b'Content-Length: 17\r\n\r\n{"state":"ready"}'
)


Samples = dict[str, dict[float, list[float]]]


@dataclass(frozen=True)
class _HealthRig:
    """A poller and the target that answers it."""

    target: LoopThread
    relay: CountingRelay
    poller: LoopThread
    poll: HealthPoll
    answered: list[int]

    @property
    def transferred(self) -> int:
        """Bytes in both directions."""
        return self.relay.sent + self.relay.received

    def processor_time(self) -> float:
        """Return the VM's time: the target and the relay are no part of it."""
        others = self.target.processor_time() + self.relay.processor_time()
        return time.process_time() - others


def measure_look_ups() -> Mapping[str, float]:
    """Return processor time of a look-up without and with the HTTP server."""
    figures: dict[str, float] = {}
    application = _application(TODAY)
    figures.update(_callable_figures(application, TODAY))
    application = _application(PLANNED)
    figures.update(_callable_figures(application, PLANNED))
    # The web server of a process can be started only once.
    samples: dict[str, list[float]] = defaultdict(list)
    _measure_server(application, samples)
    for name, found in samples.items():
        figures.update(describe(f'look-up, {name}', found))
    return figures


def _callable_figures(
    application: Application,
    size: Size,
) -> Mapping[str, float]:
    _ask_all(application)
    times = []
    for _ in range(_REPEATS):
        began = time.thread_time()
        _ask_all(application)
        spent = time.thread_time() - began
        times.append(_MICROSECONDS * spent / _CALLERS)
    return describe(f'look-up, WSGI callable, us at {size.vms} VMs', times)


def _application(size: Size) -> Application:
    model = ControlModel(Size(1, size.zones, size.vms, 0, 1))
    vms = [
        EntryVm(
            record.vm,
            record.host,
            record.http_port,
            record.availability_zone,
            record.region,
        )
        for record in model.state.view().shares.registry.newest.values()
    ]
    zones = map(zone_name, range(size.zones))
    snapshot = EntrySnapshot(1, vms, dict.fromkeys(zones, vms[0].region))
    port = CallerPort(
        find_service=lambda _service: None,
        serve=_no_request,
        lookup=_no_request,
        cancel=_no_request,
        list_entries=entry_lister(lambda: snapshot),
        vm=vm_name(0),
        clock=SystemClock(),
    )
    return build_application(
        {'/v1/entries': partial(list_entries, port)},
        bool,
    )


def _no_request(_request: object) -> NoReturn:
    raise NotImplementedError('only look-ups are measured')


def _ask_all(application: Application) -> None:
    for caller in range(_CALLERS):
        environment = {
            'REQUEST_METHOD': 'GET',
            'PATH_INFO': '/v1/entries',
            'QUERY_STRING': f'caller=c{caller}&availability_zone=z0',
            'wsgi.input': io.BytesIO(),
        }
        application(environment, lambda _status, _headers: None)


def _measure_server(
    application: Application,
    samples: dict[str, list[float]],
) -> None:
    with ExitStack() as stack:
        port = free_port()
        start_web_server(
            stack,
            HttpSettings(HOST, port, _THREADS),
            application,
        )
        relay = stack.enter_context(closing(CountingRelay(port)))
        _call_server(relay.port)
        before = (relay.sent, relay.received)
        _call_server(relay.port)
        samples['request, bytes'].append(
            (relay.sent - before[0]) / _HTTP_CALLS,
        )
        samples['answer, bytes'].append(
            (relay.received - before[1]) / _HTTP_CALLS,
        )
        for _ in range(_REPEATS):
            began = (time.process_time(), time.thread_time())
            _call_server(port)
            spent = time.process_time() - began[0]
            # This thread is the caller; the others are the server's.
            spent -= time.thread_time() - began[1]
            samples['HTTP server, us'].append(
                _MICROSECONDS * spent / _HTTP_CALLS,
            )


def _call_server(port: int) -> None:
    with closing(HTTPConnection(HOST, port)) as connection:
        for caller in range(_HTTP_CALLS):
            path = f'/v1/entries?caller=c{caller}&availability_zone=z0'
            connection.request('GET', path)
            response = connection.getresponse()
            if not response.read() or response.status != HTTPStatus.OK:
                raise RuntimeError(f'look-up answered {response.status}')


def measure_health_reports(seed: int) -> Mapping[str, float]:
    """Return processor time of a VM and bytes by number of polled targets."""
    samples: Samples = defaultdict(lambda: defaultdict(list))
    for count in _POLLED:
        with ExitStack() as stack:
            rig = _open_rig(stack, count, seed)
            rig.poller.run(_run_for(rig.poll))
            for _ in range(_REPEATS):
                _health_round(rig, count, samples)
    figures: dict[str, float] = {}
    for name, by_count in samples.items():
        figures.update(describe_line(name, by_count))
    return figures


def _open_rig(stack: ExitStack, count: int, seed: int) -> _HealthRig:
    target = stack.enter_context(loop_thread())
    answered, port = target.run(_serve_health())
    relay = stack.enter_context(closing(CountingRelay(port)))
    poller = stack.enter_context(loop_thread())
    runtime = _runtime(count, relay.port, seed)
    poll = stack.enter_context(_poll(runtime, seed))
    return _HealthRig(target, relay, poller, poll, answered)


def _health_round(rig: _HealthRig, count: int, samples: Samples) -> None:
    reports = len(rig.answered)
    transferred = rig.transferred
    began = rig.processor_time()
    rig.poller.run(_run_for(rig.poll))
    spent = rig.processor_time() - began
    reports = len(rig.answered) - reports
    transferred = rig.transferred - transferred
    samples['health report, us'][count].append(_MICROSECONDS * spent / reports)
    samples['health report, bytes both ways'][count].append(
        transferred / reports,
    )


async def _run_for(poll: HealthPoll) -> None:
    task = asyncio.create_task(poll.run())
    await asyncio.sleep(_POLL_S)
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)


async def _serve_health() -> tuple[list[int], int]:
    answered: list[int] = []

    async def serve(
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        with closing(writer):
            while await _read_request(reader):
                answered.append(1)
                writer.write(_HEALTH)

    port = free_port()
    await asyncio.start_server(serve, HOST, port)
    return answered, port


async def _read_request(reader: asyncio.StreamReader) -> bytes:
    try:
        return await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, OSError):
        return b''


@contextmanager
def _poll(runtime: ServiceRuntime, seed: int) -> Iterator[HealthPoll]:
    with ExitStack() as stack:
        client = stack.enter_context(closing(TargetClient()))
        executor = stack.enter_context(ThreadPoolExecutor())
        yield HealthPoll(
            client,
            executor,
            partial(dict, ((ServiceId('s0'), runtime),)),
            make_instruments(seed),
        )


def _runtime(count: int, port: int, seed: int) -> ServiceRuntime:
    instruments = make_instruments(seed)
    view = ControlModel(Size(1, 1, 1, count, 1)).state.view()
    service = view.catalogue.services[ServiceId('s0')]
    targets = {
        CandidateId(f'target/{known.id}'): _local(known, port)
        for known in view.catalogue.targets.values()
    }
    names = [local.target.target_id for local in targets.values()]
    return ServiceRuntime(
        service,
        ServiceView((), instruments.clock, instruments.random_source),
        AdmissionQueue(1, instruments.clock.monotonic()),
        RetryBudget(service.retry.budget_ratio),
        HedgePolicy(instruments.clock, service.hedge.percentile),
        TargetHealth(names, instruments.clock),
        targets,
        {},
    )


def _local(known: Target, port: int) -> LocalTarget:
    address = TargetAddress(known.target_id, HOST, port, 1)
    return LocalTarget(known, address, ())
