"""Contract of the stand-in for a target, over HTTP."""

import json
import select
import socket
import subprocess
import sys
import threading
import unittest
from collections.abc import Iterator, Mapping
from contextlib import ExitStack
from http.client import HTTPException, HTTPResponse
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any, ClassVar

import msgspec
from plantainstand_bench._journal import JournalKind, read_journals
from plantainstand_bench._target_settings import (
    ColdStart,
    ServiceTime,
    TargetHostSettings,
    TargetSettings,
)
from plantainstand_core import TargetId
from urllib3 import BaseHTTPResponse, HTTPConnectionPool
from urllib3.exceptions import HTTPError

_TIMEOUT_SECONDS = 5
_SLOW_MS = 60_000
_QUICK = ServiceTime(median_ms=1, sigma=0, tail_fraction=0)
_TARGETS = (
    TargetSettings(id=TargetId('quick'), service_time=_QUICK),
    TargetSettings(id=TargetId('silent'), service_time=_QUICK),
    TargetSettings(
        id=TargetId('narrow'),
        service_time=_QUICK,
        connections=2,
    ),
    TargetSettings(id=TargetId('cold'), cold_start=ColdStart(requests=1000)),
    TargetSettings(
        id=TargetId('busy'),
        service_time=ServiceTime(median_ms=60_000, sigma=0, tail_fraction=0),
        slots=1,
        shed_limit=2,
    ),
)

# Faults, status, headers' outcome; each is put to the quick target in turn.
_WORK_CASES: tuple[tuple[str, Mapping[str, Any], int, str], ...] = (
    ('no fault', {}, 200, 'answered'),
    ('draining', {'draining': True}, 503, 'not-run'),
    ('shedding', {'shed_limit': 0}, 503, 'not-run'),
    ('error', {'error_fraction': 1}, 500, 'answered'),
    ('slow', {'slow_factor': 1000}, 504, 'unknown'),
    (
        'late',
        {'late_answer_fraction': 1, 'late_answer_ms': 5},
        200,
        'answered',
    ),
)

# Faults and the reports that a draining target gives under them.
_REPORT_CASES: tuple[tuple[str, Mapping[str, Any], int, str], ...] = (
    ('honest', {}, 503, 'draining'),
    (
        'lying',
        {'load_report': {'mode': 'lying'}, 'health_report': {'mode': 'lying'}},
        200,
        'ready',
    ),
    (
        'stuck',
        {'load_report': {'mode': 'stuck'}, 'health_report': {'mode': 'stuck'}},
        200,
        'ready',
    ),
    (
        'lagging',
        {
            'load_report': {'mode': 'lagging', 'lag_ms': _SLOW_MS},
            'health_report': {'mode': 'lagging', 'lag_ms': _SLOW_MS},
        },
        200,
        'ready',
    ),
)


class TargetContractTest(unittest.TestCase):
    """Guards against stand-ins that are kinder than real targets."""

    _resources: ClassVar[ExitStack]
    _folder: ClassVar[Path]
    _ports: ClassVar[Mapping[str, int]]
    _process: ClassVar[subprocess.Popen[bytes]]

    @classmethod
    def setUpClass(cls) -> None:
        """Start one process that hosts every target of the tests."""
        cls._resources = ExitStack()
        cls.addClassCleanup(cls._resources.close)
        cls._folder = Path(
            cls._resources.enter_context(TemporaryDirectory()),
        )
        settings = cls._folder / 'targets.jsonc'
        document = TargetHostSettings(
            journal_folder=str(cls._folder),
            targets=_TARGETS,
        )
        settings.write_bytes(msgspec.json.encode(document))
        code = 'from plantainstand_bench import target_main as main; main()'
        cls._process = cls._resources.enter_context(
            subprocess.Popen(
                [sys.executable, '-c', code, '--settings', str(settings)],
                stdout=subprocess.PIPE,
            ),
        )
        cls._resources.callback(cls._process.terminate)
        output = cls._process.stdout
        assert output is not None
        cls._ports = json.loads(output.readline())['ready']

    def test_work(self) -> None:
        """Each fault shows in the status and the stated outcome."""
        for name, faults, status, outcome in _WORK_CASES:
            with self.subTest(name):
                self._put_faults('quick', faults)
                answer = self._work('quick', f'work-{name}')
                self.assertEqual(answer.status, status)
                self.assertEqual(answer.headers['Request-Outcome'], outcome)
                self.assertEqual(
                    answer.headers['Request-Id'],
                    f'work-{name}',
                )
                self.assertEqual(
                    answer.json()['request_id'],
                    f'work-{name}',
                )

    def test_reports(self) -> None:
        """Reports follow the truth only without a fault."""
        for name, faults, status, state in _REPORT_CASES:
            with self.subTest(name):
                self._put_faults('quick', {})
                self._request('quick', 'GET', '/load')
                self._request('quick', 'GET', '/health')
                self._put_faults('quick', {**faults, 'draining': True})
                health = self._request('quick', 'GET', '/health')
                load = self._request('quick', 'GET', '/load')
                self.assertEqual(health.status, status)
                self.assertEqual(
                    load.json(),
                    {'in_flight': 0, 'slots': 4, 'state': state},
                )

    def test_cold_target_says_so(self) -> None:
        """A target whose cache is cold reports it."""
        load = self._request('cold', 'GET', '/load')
        self.assertEqual(load.json()['state'], 'cold')

    def test_unknown_fault_is_refused(self) -> None:
        """A misspelt fault must not pass for a run under it."""
        answer = self._request('quick', 'PUT', '/faults', b'{"drain": true}')
        self.assertEqual(answer.status, 400)

    def test_lost_answer_was_executed(self) -> None:
        """The connection closes without an answer, after the work."""
        self._put_faults('quick', {'lost_answer_fraction': 1})
        with self.assertRaises(HTTPError):
            self._work('quick', 'lost')
        self.assertEqual(self._kinds_of('lost'), ['start', 'end'])

    def test_swapped_answer(self) -> None:
        """A mixed-up answer names the earlier request."""
        self._put_faults('quick', {})
        self._work('quick', 'earlier')
        self._put_faults('quick', {'swapped_answer_fraction': 1})
        answer = self._work('quick', 'later')
        self.assertEqual(answer.json()['request_id'], 'earlier')
        self.assertEqual(answer.headers['Request-Id'], 'earlier')

    def test_silence_on_open_connections(self) -> None:
        """An open connection gets no bytes and no end; a new one works."""
        with ExitStack() as sockets:
            old = sockets.enter_context(self._connect('silent'))
            self.assertEqual(_exchange(old, 'before'), 200)
            self._put_faults('silent', {'silent_connections': True})
            _send(old, 'on-silent')
            self.assertEqual(self._work('silent', 'on-new').status, 200)
            readable, _writable, _failed = select.select([old], [], [], 0.2)
            self.assertEqual(readable, [])
        self.assertEqual(self._kinds_of('on-silent'), [])

    def test_connection_limit(self) -> None:
        """A connection above the limit is closed at its first request."""
        with ExitStack() as sockets:
            for name in ('one', 'two'):
                allowed = sockets.enter_context(self._connect('narrow'))
                self.assertEqual(_exchange(allowed, name), 200)
            refused = sockets.enter_context(self._connect('narrow'))
            self.assertIsNone(_exchange(refused, 'three'))

    def test_cancel_and_deadline(self) -> None:
        """Waiting work can be cancelled; running work stops at its deadline."""
        statuses: dict[str, int] = {}

        def work(name: str) -> None:
            # Longer than the steps of the test take on a busy machine.
            statuses[name] = self._work('busy', name, 2000).status

        threads = [
            threading.Thread(target=work, args=(name,))
            for name in ('running', 'waiting')
        ]
        for thread in threads:
            thread.start()
            self._wait_for_load('busy', len(statuses) + threads.index(thread))
        self.assertEqual(self._cancel('running'), (409, 'running'))
        self.assertEqual(self._cancel('waiting'), (200, 'cancelled'))
        for started in threads:
            started.join()
        self.assertEqual(statuses, {'running': 504, 'waiting': 503})
        self.assertEqual(self._kinds_of('waiting'), ['queue', 'cancel'])
        ended = self._events_of('running')[-1]
        self.assertEqual(ended, (JournalKind.END, 'deadline'))
        self.assertEqual(self._cancel('running'), (409, 'done'))
        self.assertEqual(self._cancel('never-sent'), (200, 'cancelled'))
        self.assertEqual(self._work('busy', 'never-sent').status, 503)

    def _wait_for_load(self, target: str, before: int) -> None:
        """Poll, bounded, until one more request than ``before`` is in."""
        reports = (
            self._request(target, 'GET', '/load').json()
            for _request in range(1000)
        )
        self.assertTrue(any(load['in_flight'] > before for load in reports))

    def _cancel(self, request_id: str) -> tuple[int, str]:
        path = f'/requests/{request_id}'
        answer = self._request('busy', 'DELETE', path)
        return answer.status, answer.json()['state']

    def _put_faults(self, target: str, faults: Mapping[str, Any]) -> None:
        body = json.dumps(faults).encode()
        answer = self._request(target, 'PUT', '/faults', body)
        self.assertEqual(answer.status, 200, answer.data)

    def _work(
        self,
        target: str,
        request_id: str,
        deadline_ms: int = 500,
    ) -> BaseHTTPResponse:
        return self._pool(target).request(
            'POST',
            '/any/path',
            body=b'{}',
            headers={
                'Request-Id': request_id,
                'Request-Deadline-Ms': str(deadline_ms),
            },
        )

    def _request(
        self,
        target: str,
        method: str,
        path: str,
        body: bytes | None = None,
    ) -> BaseHTTPResponse:
        return self._pool(target).request(method, path, body=body)

    def _pool(self, target: str) -> HTTPConnectionPool:
        pool = HTTPConnectionPool(
            '127.0.0.1',
            self._ports[target],
            retries=False,
            timeout=_TIMEOUT_SECONDS,
        )
        self.addCleanup(pool.close)
        return pool

    def _connect(self, target: str) -> socket.socket:
        address = ('127.0.0.1', self._ports[target])
        return socket.create_connection(address, _TIMEOUT_SECONDS)

    def _events_of(self, request_id: str) -> list[tuple[JournalKind, str]]:
        return [
            (event.event, event.detail)
            for event in read_journals(self._folder)
            if event.request_id == request_id
        ]

    def _kinds_of(self, request_id: str) -> list[str]:
        return [kind.value for kind, _detail in self._events_of(request_id)]


def _send(connection: socket.socket, request_id: str) -> None:
    lines: Iterator[str] = iter(
        ('GET /work HTTP/1.1', 'Host: target', f'Request-Id: {request_id}'),
    )
    head = '\r\n'.join(lines)
    connection.sendall(f'{head}\r\n\r\n'.encode())


def _exchange(connection: socket.socket, request_id: str) -> int | None:
    """Return the status of a whole answer, nothing if there is none."""
    _send(connection, request_id)
    # Head and body can arrive apart, so one read is not always the answer.
    response = HTTPResponse(connection)
    try:
        response.begin()
    except (ConnectionResetError, HTTPException):
        return None
    response.read()
    return response.status
