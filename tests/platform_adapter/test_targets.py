"""Target list, in which other programs write entries too, and settings."""

import unittest
from pathlib import Path
from tempfile import TemporaryDirectory
from types import MappingProxyType

import msgspec
from plantainstand_platform.entry_role import entry_settings
from plantainstand_platform.settings import (
    PlatformSettings,
    read_settings,
)
from plantainstand_platform.targets import decode_entry, decode_page
from result import Err

_SETTINGS = """
nodeName: "front-bajio-a-1"
ip: "10.1.0.6"
zone: "bajio-a"
region: "bajio"
zones: {bajio-a: "bajio", norte-a: "norte"}
listen: {front: "10.1.0.6:8548", ready: "10.1.0.6:8542"}
internalPorts: [7540, 7555]
seeds: ["10.1.0.8:8544", "10.2.0.34:8544"]
bootstrap: true
dataDir: null
faultTolerance: {machines: 2, zones: 1, regions: 1}
bounds: {graceS: 6, retryBudgetRatio: 0.2, retryBudgetSlack: 58,
         budgetWindowS: 10, coldFactor: 1.5, coldSlack: 5, newBound: 1}
cloudApi: {address: "10.200.0.187:8541", ratePerS: 47.0}
"""
_ENTRY = MappingProxyType(
    {
        'id': 'i-1',
        'service': 'shop',
        'address': '10.128.0.9:8080',
        'zone': 'bajio-a',
        'slots': 9,
        'state': 'ready',
        'coldLeftS': 1.5,
    }
)


def _read(text: str) -> PlatformSettings:
    with TemporaryDirectory() as folder:
        path = Path(folder) / 'settings.yaml'
        path.write_text(text, encoding='utf-8')
        return read_settings(path).unwrap()


class EntryTests(unittest.TestCase):
    """Guards against malformed entries that hide the other entries."""

    def test_entries(self) -> None:
        """Malformed or invalid entries are skipped, unknown fields ignored."""
        cases: tuple[tuple[dict[str, object], bool], ...] = (
            ({}, True),
            ({'state': 'draining'}, True),
            ({'newField': 1}, True),
            ({'state': 'asleep'}, False),
            ({'slots': 'nine'}, False),
            ({'slots': None}, False),
            ({'zone': 'nowhere'}, False),
            ({'address': 'nowhere'}, False),
            ({'id': ''}, False),
            ({'id': 7}, False),
        )
        settings = _read(_SETTINGS)
        for change, used in cases:
            with self.subTest(change):
                raw = msgspec.Raw(msgspec.json.encode({**_ENTRY, **change}))
                entry = decode_entry(raw, settings)
                self.assertEqual(entry is not None, used)

    def test_invalid_utf8(self) -> None:
        """An entry that is not UTF-8 does not hide the others of its page."""
        body = b'{"instances":[{"id":"\xff\xfe"},%s],"nextToken":null}'
        page = decode_page(body % msgspec.json.encode(dict(_ENTRY))).unwrap()
        settings = _read(_SETTINGS)
        entries = [decode_entry(raw, settings) for raw in page.instances]
        self.assertEqual([entry is None for entry in entries], [True, False])

    def test_malformed_page(self) -> None:
        """A page that is not valid is a problem, not an empty list."""
        for body in (b'', b'nonsense', b'{"instances":3}'):
            self.assertIsInstance(decode_page(body), Err)


class SettingsTests(unittest.TestCase):
    """Guards against settings that are misread or refused without reason."""

    def test_entry_settings(self) -> None:
        """Seeds become VM ids, and fields that are not used are ignored."""
        settings = entry_settings(_read(_SETTINGS))
        self.assertEqual(settings.seeds, ('10.1.0.8', '10.2.0.34'))
        self.assertEqual(settings.link_port, 7540)

    def test_problems(self) -> None:
        """The problem names the missing or invalid field, or the file."""
        cases = (
            (_SETTINGS.replace('graceS: 6', 'graceS: soon'), 'graceS'),
            (_SETTINGS.replace('seeds', 'sedes'), 'seeds'),
            ('{', 'settings.yaml'),
        )
        for text, named in cases:
            with self.subTest(named), TemporaryDirectory() as folder:
                path = Path(folder) / 'settings.yaml'
                path.write_text(text, encoding='utf-8')
                problem = read_settings(path).unwrap_err()
                self.assertIn(named, problem)
