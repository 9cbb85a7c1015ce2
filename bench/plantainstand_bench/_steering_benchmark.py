"""Cost of steering and of catalogue changes in a running deployment."""

import signal
import statistics
import time
from collections.abc import Callable, Iterator, Mapping
from concurrent.futures import ThreadPoolExecutor
from itertools import count
from pathlib import Path

import urllib3
import uuid_utils

from plantainstand_bench._deployment import Deployment, VmPlan
from plantainstand_bench._running_system import measure_running
from plantainstand_bench._system import Commands, System
from plantainstand_bench._system_map import MappedTarget, load_system_map

_SAMPLES = 500
_THREADS = 16
_LOAD_SECONDS = 4
_CHANGES = 200
_IN_FORCE_SAMPLES = 20
_MISSED_CHANGES = 1000
_POLL_SECONDS = 0.01
_WAIT_SECONDS = 60
_SERVICE = 'catalogue'
_RESTARTED = 'norte-a-2'

Figures = dict[str, float]
Action = Callable[[], object]


def measure_steering(seed: int, out: Path) -> Mapping[str, float]:
    """Return latencies in ms, rates per second and times in seconds."""
    commands = Commands(('plantainstandd',), ('plantainstandctl',))
    return measure_running(out, commands, seed, _measure).unwrap()


def _measure(deployment: Deployment, system: System) -> Figures:
    pool = urllib3.PoolManager(maxsize=_THREADS)
    vm = deployment.vms[0]
    operator = _Operator(pool, vm)
    return {
        **_look_ups(pool, vm, deployment),
        **_changes(operator),
        **_restart(operator, deployment, system),
    }


def _look_ups(
    pool: urllib3.PoolManager,
    vm: VmPlan,
    deployment: Deployment,
) -> Figures:
    system_map = load_system_map(Path(deployment.catalogue)).unwrap()
    target = next(
        target
        for target in system_map.targets
        if target.service == _SERVICE
        and target.availability_zone == vm.availability_zone
    )
    direct = _latencies(_request(pool, _target_url(target)))
    url = f'{_base(vm)}/v1/services/{_SERVICE}/parts/1'
    steered = _latencies(_request(pool, url))
    entries = f'{_base(vm)}/v1/entries?caller=a&availability_zone=bajio-a'
    return {
        **_percentiles('direct', direct),
        **_percentiles('steered', steered),
        'requests per second, one VM': _rate(_request(pool, url)),
        'entry look-ups per second, one VM': _rate(
            lambda: pool.request('GET', entries),
        ),
    }


def _changes(operator: '_Operator') -> Figures:
    started = time.perf_counter()
    for _ in range(_CHANGES):
        operator.change()
    alone = time.perf_counter() - started
    together = _rate(operator.change)
    delays = [operator.time_in_force() for _ in range(_IN_FORCE_SAMPLES)]
    return {
        'changes per second, one operator': _CHANGES / alone,
        f'changes per second, {_THREADS} operators': together,
        **_percentiles('in force everywhere', delays),
    }


def _restart(
    operator: '_Operator',
    deployment: Deployment,
    system: System,
) -> Figures:
    vm = next(plan for plan in deployment.vms if plan.id == _RESTARTED)
    system.signal_vm(vm.id, signal.SIGTERM)
    _wait_until(lambda: not system.is_running(vm.id))
    with ThreadPoolExecutor(_THREADS) as threads:
        changed = threads.map(
            lambda _number: operator.change(),
            range(_MISSED_CHANGES),
        )
        revision = max(changed)
    started = time.perf_counter()
    system.start_vm(vm.id)
    _wait_until(lambda: operator.control_index(vm) >= revision)
    return {
        f'restart after {_MISSED_CHANGES} missed changes, s': (
            time.perf_counter() - started
        ),
    }


class _Operator:
    """Changes one entry again and again, each change under its own id."""

    def __init__(self, pool: urllib3.PoolManager, vm: VmPlan) -> None:
        self._pool = pool
        self._base = f'{_base(vm)}/operator/v1'
        self._numbers = count()

    def change(self) -> int:
        """Put an entry that no other change touches; return the revision."""
        number = next(self._numbers)
        name = f'bench-{number}'
        response = self._pool.request(
            'PUT',
            f'{self._base}/entries/region/{name}',
            json={
                'operation_id': name,
                'expected_revision': 0,
                'entry': {
                    'kind': 'region',
                    'id': name,
                    'owner': 'bench',
                    'class': 'normal',
                    'limits': {'requests_in_flight': 1},
                    'zone_delay_ms': 1,
                },
            },
        )
        return int(response.json()['revision'])

    def time_in_force(self) -> float:
        """Return seconds from an accepted change until every VM has it."""
        revision = self.change()
        accepted = time.perf_counter()
        _wait_until(lambda: not self._pending(revision))
        return time.perf_counter() - accepted

    def control_index(self, vm: VmPlan) -> int:
        """Return the log index that a VM has applied; 0 if unreachable."""
        try:
            response = self._pool.request(
                'GET',
                f'{_base(vm)}/healthz',
                retries=False,
                timeout=1,
            )
        except urllib3.exceptions.HTTPError:
            return 0
        return int(response.json()['control_index'])

    def _pending(self, revision: int) -> list[str]:
        response = self._pool.request('GET', f'{self._base}/changes/{revision}')
        pending: list[str] = response.json()['pending']
        return pending


def _base(vm: VmPlan) -> str:
    return f'http://{vm.host}:{vm.http_port}'


def _target_url(target: MappedTarget) -> str:
    return f'http://{target.host}:{target.port}/parts/1'


def _request(pool: urllib3.PoolManager, url: str) -> Action:
    def request() -> object:
        headers = {
            'Request-Id': str(uuid_utils.uuid7()),
            'Request-Deadline-Ms': '2000',
        }
        return pool.request('GET', url, headers=headers)

    return request


def _latencies(action: Action) -> list[float]:
    return list(_timed(action))


def _timed(action: Action) -> Iterator[float]:
    for _ in range(_SAMPLES):
        started = time.perf_counter()
        action()
        yield time.perf_counter() - started


def _percentiles(name: str, seconds: list[float]) -> Figures:
    cuts = statistics.quantiles(seconds, n=100)
    return {
        f'{name}, p50 ms': cuts[49] * 1000,
        f'{name}, p99 ms': cuts[98] * 1000,
    }


def _rate(action: Action) -> float:
    """Return calls per second of several threads."""
    end = time.perf_counter() + _LOAD_SECONDS

    def call_until_end(_thread: int) -> int:
        calls = 0
        while time.perf_counter() < end:
            action()
            calls += 1
        return calls

    with ThreadPoolExecutor(_THREADS) as threads:
        calls = sum(threads.map(call_until_end, range(_THREADS)))
    return calls / _LOAD_SECONDS


def _wait_until(holds: Callable[[], bool]) -> None:
    end = time.perf_counter() + _WAIT_SECONDS
    while not holds():
        if time.perf_counter() > end:
            raise TimeoutError('the benchmark waited too long')
        time.sleep(_POLL_SECONDS)
