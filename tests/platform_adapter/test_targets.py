"""The platform's list holds entries of other writers."""

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
    """An unreadable entry names no target and hides no other one."""

    def test_entries(self) -> None:
        """Table of entries that are used or left out."""
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

    def test_bytes_that_are_no_text(self) -> None:
        """The other entries of the page are read."""
        body = b'{"instances":[{"id":"\xff\xfe"},%s],"nextToken":null}'
        page = decode_page(body % msgspec.json.encode(dict(_ENTRY))).unwrap()
        settings = _read(_SETTINGS)
        entries = [decode_entry(raw, settings) for raw in page.instances]
        self.assertEqual([each is None for each in entries], [True, False])

    def test_unreadable_page(self) -> None:
        """A page that is no JSON is a problem, not an empty list."""
        for body in (b'', b'nonsense', b'{"instances":3}'):
            self.assertIsInstance(decode_page(body), Err)


class SettingsTests(unittest.TestCase):
    """Settings are checked; fields that are not known are ignored."""

    def test_roles(self) -> None:
        """Seeds are identified by their addresses."""
        settings = entry_settings(_read(_SETTINGS))
        self.assertEqual(settings.seeds, ('10.1.0.8', '10.2.0.34'))
        self.assertEqual(settings.link_port, 7540)

    def test_problems(self) -> None:
        """A missing or wrong field is named."""
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
