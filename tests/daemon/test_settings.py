"""Validation of the daemon's settings file."""

import json
import tempfile
import unittest
from collections.abc import Mapping
from pathlib import Path
from types import MappingProxyType

from plantainstand_daemon import load_daemon_settings

_VOTER = MappingProxyType(
    {'vm': 'bajio-a-1', 'host': '127.0.0.1', 'rpc_port': 8081},
)
_GOOD: Mapping[str, object] = MappingProxyType(
    {
        'vm': 'bajio-a-1',
        'availability_zone': 'bajio-a',
        'region': 'bajio',
        'roles': ['entry', 'voter'],
        'http': {'host': '127.0.0.1', 'port': 8080},
        'rpc': {'host': '127.0.0.1', 'port': 8081},
        'voters': [dict(_VOTER)],
        'data_folder': 'data',
    }
)

_CASES: tuple[tuple[str, dict[str, object], str | None], ...] = (
    ('good', {}, None),
    ('no roles', {'roles': []}, '`roles` is empty'),
    ('unknown role', {'roles': ['enty']}, 'enty'),
    ('no voters', {'voters': []}, '`voters` is empty'),
    (
        'voter twice',
        {'voters': [dict(_VOTER), dict(_VOTER)]},
        'names a VM twice',
    ),
    ('no folder', {'data_folder': None}, '`data_folder` is missing'),
    ('not a voter', {'vm': 'bajio-a-2'}, 'does not name this VM'),
    (
        'host name',
        {'http': {'host': 'localhost', 'port': 8080}},
        '`localhost` is not an IP address',
    ),
    ('port', {'rpc': {'host': '127.0.0.1', 'port': 70000}}, '$.rpc.port'),
    ('misspelt', {'data_foldr': 'x'}, 'did you mean `data_folder`'),
)


class LoadDaemonSettingsTest(unittest.TestCase):
    """Guards against a daemon that runs with invalid settings."""

    def test_each_fault_is_reported(self) -> None:
        """Each fault is reported with the field it concerns."""
        for name, change, expected in _CASES:
            with self.subTest(name), tempfile.TemporaryDirectory() as folder:
                path = Path(folder) / 'settings.json'
                path.write_text(json.dumps({**_GOOD, **change}))
                outcome = load_daemon_settings(path)
                if expected is None:
                    self.assertEqual(outcome.unwrap().vm, 'bajio-a-1')
                else:
                    self.assertIn(expected, str(outcome.unwrap_err()))
