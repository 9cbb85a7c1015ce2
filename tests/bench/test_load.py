"""Runs of the load tool with real targets and the fake daemon."""

import json
import shlex
import socket
import sys
import unittest
from collections.abc import Mapping, Sequence
from contextlib import redirect_stderr, redirect_stdout
from io import StringIO
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any

from plantainstand_bench import load_main

from tests.bench.ports import free_ports


class LoadToolTest(unittest.TestCase):
    """Guards against runs that end well without having checked anything."""

    def setUp(self) -> None:
        """Write a deployment with free ports."""
        folder = TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self._folder = Path(folder.name)
        self._write_deployment()

    def test_whole_run(self) -> None:
        """A run without faults answers every request and exits with zero."""
        code, text = self._run([])
        report = self._report()
        self.assertEqual(code, 0, text)
        outcomes = report['outcomes']
        self.assertGreater(outcomes['requests'], 50)
        self.assertEqual(outcomes['answered_whole'], outcomes['requests'])
        self.assertTrue((self._folder / 'out' / 'plot.png').exists())
        with redirect_stdout(StringIO()):
            self.assertEqual(load_main(self._check_arguments()), 0)

    def test_lost_answers(self) -> None:
        """Resends through a proxy without records are seen to run twice."""
        faults = {'lost_answer_fraction': 1}
        code, text = self._run(
            [
                {
                    'kind': 'target_faults',
                    'at_s': 0,
                    'service': 'order',
                    'faults': faults,
                },
                {'kind': 'terminate', 'at_s': 0.5, 'vm': 'vm-2'},
            ],
        )
        broken = self._report()['broken_promises']
        self.assertEqual(code, 1, text)
        self.assertGreater(broken['executed_twice'], 0)
        self.assertEqual(broken['foreign_answers'], 0)
        drains = self._report()['measures']['drain_times']
        self.assertEqual(drains[0]['subject'], 'stop of vm/vm-2')

    def test_swapped_answers_of_direct_run(self) -> None:
        """A baseline reports its foreign answers and still exits with zero."""
        code, text = self._run(
            [
                {
                    'kind': 'target_faults',
                    'at_s': 0.2,
                    'faults': {'swapped_answer_fraction': 1},
                },
            ],
            '--direct',
            'least_in_flight',
        )
        broken = self._report()['broken_promises']
        self.assertEqual(code, 0, text)
        self.assertGreater(broken['foreign_answers'], 0)

    def test_daemon_that_does_not_start(self) -> None:
        """A run that cannot begin is not taken for a good one."""
        code, text = self._run([], '--daemon', 'false')
        self.assertEqual(code, 2)
        self.assertIn('--format failed', text)

    def test_taken_port(self) -> None:
        """A run does not use the processes of another run."""
        path = self._folder / 'deployment.jsonc'
        deployment = json.loads(path.read_text(encoding='utf-8'))
        port = deployment['vms'][0]['http_port']
        with socket.create_server(('127.0.0.1', port)):
            code, text = self._run([])
        self.assertEqual(code, 2)
        self.assertIn(f'other processes listen on ports {port}', text)

    def _run(
        self,
        faults: Sequence[Mapping[str, Any]],
        *options: str,
    ) -> tuple[int, str]:
        fault_file = self._write('faults.jsonc', {'faults': faults})
        deployment = self._folder / 'deployment.jsonc'
        daemon = (
            sys.executable,
            '-m',
            'tests.bench.fake_daemon',
            '--deployment',
            str(deployment),
        )
        arguments = [
            '--deployment',
            str(deployment),
            '--faults',
            str(fault_file),
            '--out',
            str(self._folder / 'out'),
            '--daemon',
            shlex.join(daemon),
            '--control',
            'true',
            *options,
        ]
        text = StringIO()
        with redirect_stdout(text), redirect_stderr(text):
            code = load_main(arguments)
        return code, text.getvalue()

    def _check_arguments(self) -> Sequence[str]:
        return ['--check', '--out', str(self._folder / 'out')]

    def _report(self) -> Any:
        path = self._folder / 'out' / 'report.json'
        return json.loads(path.read_text(encoding='utf-8'))

    def _write_deployment(self) -> None:
        ports = iter(free_ports(8))
        deployment = {
            'catalogue': 'catalogue.jsonc',
            'vms': [
                {
                    'id': name,
                    'availability_zone': 'zone-a',
                    'region': 'region-a',
                    'roles': ['entry', 'voter'],
                    'http_port': next(ports),
                    'rpc_port': next(ports),
                }
                for name in ('vm-1', 'vm-2')
            ],
            'traffic': [
                _traffic('look-up', 'GET'),
                _traffic('order', 'POST'),
            ],
            'targets': {
                'look-up': {'service_time': {'median_ms': 5}},
                'order': {'service_time': {'median_ms': 5}},
            },
            'callers_per_zone': 4,
            'duration_s': 1,
            'settle_s': 0,
            'sendings': 2,
            'platform_list_port': next(ports),
        }
        entries = [
            {'kind': 'availability_zone', 'id': 'zone-a', 'region': 'region-a'},
            _service('look-up', 'critical', is_idempotent=True),
            _service('order', 'normal', is_idempotent=False),
            _target('look-up', next(ports)),
            _target('order', next(ports)),
        ]
        self._write('deployment.jsonc', deployment)
        self._write('catalogue.jsonc', {'entries': entries})

    def _write(self, name: str, document: object) -> Path:
        path = self._folder / name
        path.write_text(json.dumps(document), encoding='utf-8')
        return path


def _traffic(service: str, method: str) -> Mapping[str, Any]:
    return {
        'service': service,
        'requests_per_second': 40,
        'deadline_ms': 2000,
        'method': method,
    }


def _service(
    name: str,
    traffic_class: str,
    *,
    is_idempotent: bool,
) -> Mapping[str, Any]:
    return {
        'kind': 'service',
        'id': name,
        'class': traffic_class,
        'idempotent': is_idempotent,
        'limits': {'deadline_ms': 2000},
    }


def _target(service: str, port: int) -> Mapping[str, Any]:
    return {
        'kind': 'target',
        'id': f'{service}-1',
        'service': service,
        'availability_zone': 'zone-a',
        'host': '127.0.0.1',
        'port': port,
        'limits': {'slots': 40, 'connections': 200},
    }
