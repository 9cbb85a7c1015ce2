"""Catalogue files, and those of the example deployments."""

import json
import math
import tempfile
import unittest
from collections import Counter
from collections.abc import Mapping
from pathlib import Path
from typing import Any

from plantainstand_catalogue import (
    AnyEntry,
    Service,
    Target,
    check_catalogue,
    load_catalogue_file,
)

from tests.catalogue import examples


def _region(in_flight: int = 10, **changes: object) -> dict[str, Any]:
    return {
        'kind': 'region',
        'id': 'bajio',
        'owner': 'operations',
        'class': 'critical',
        'limits': {'requests_in_flight': in_flight},
        'zone_delay_ms': 0.5,
        **changes,
    }


# Entries of a file, and parts of the expected problems in order.
_INVALID_FILES: tuple[tuple[Any, tuple[str, ...]], ...] = (
    ([5], ('entries[0]: is not an object',)),
    ([{}], ('entries[0], kind: is missing',)),
    (
        [_region(kind='zone')],
        ("'zone' is not an entry kind; use one of region, availability_zone",),
    ),
    (
        [
            _region(in_flight=-1, owner=''),
            _region(id='UPPER', zone_delay_ms='fast', zone_delay=1),
        ],
        (
            'region/bajio, limits.requests_in_flight: -1 is refused',
            "region/bajio, owner: '' is refused",
            'region/UPPER, zone_delay: is an unknown field; did you mean',
            "region/UPPER, zone_delay_ms: 'fast' is refused",
            "region/UPPER, id: 'UPPER' is refused",
        ),
    ),
    ([_region(limits={})], ('in_flight: is missing; add the field',)),
    ([_region(in_flight=2**70)], ('limits.requests_in_flight',)),
    ([_region(zone_delay_ms=math.inf)], ('_delay_ms: inf is refused',)),
    ([_region(zone_delay_ms=math.nan)], ('_delay_ms: nan is refused',)),
    ([_region(id='bajio\n')], ('is refused',)),
    ([_region(), _region()], ('region/bajio, id: another entry',)),
)

# Entry added to the examples, and parts of the expected problems in order.
_INVALID_ENTRIES: tuple[tuple[AnyEntry, tuple[str, ...]], ...] = (
    (
        examples.target('t', 'sul-a', 21000),
        (
            'target/t, availability_zone: there is no entry',
            'target/t, port: target/catalogue-1 already has',
            'target/catalogue-1, port: target/t already has',
        ),
    ),
    (
        examples.service('order', idempotent=False, hedge=True),
        ('service/order, hedge.enabled: a hedge could run',),
    ),
    (
        examples.target('t', port=21009, host='example', connections=3),
        (
            'target/t, limits.connections: 3 connections cannot fill 4 slots',
            "target/t, host: 'example' is not an IP address",
        ),
    ),
    (examples.target('t', port=21009, host='0:0::1'), ('target/t, host:',)),
)

_DEPLOYMENTS = Path(__file__).parents[2] / 'bench' / 'deployments'
# Name; number of targets and slots of each service; delay in ms between
# availability zones of a region, and between regions.
_DEPLOYMENT_SIZES: tuple[tuple[str, Any, float, float], ...] = (
    (
        'trefila',
        {'catalogue': (14, 9), 'order': (12, 7), 'dispatch': (12, 3)},
        0.5,
        20.0,
    ),
    (
        'edredao',
        {'status': (18, 5), 'booking': (12, 4), 'till': (12, 3)},
        1.4,
        35.0,
    ),
)


class FileTest(unittest.TestCase):
    """Guards against problems that are missed or reported one at a time."""

    def test_invalid_files(self) -> None:
        """All problems are reported at once, with entry and field."""
        for entries, expected in _INVALID_FILES:
            with self.subTest(expected):
                outcome = _load(json.dumps({'entries': entries}))
                self._check_problems(outcome.unwrap_err(), expected)

    def test_invalid_documents(self) -> None:
        """The problem of a file without ``entries`` says so."""
        for text, expected in (('{}', 'missing'), ('{"entrys": []}', 'mean')):
            self._check_problems(_load(text).unwrap_err(), (expected,))

    def test_invalid_entries(self) -> None:
        """References, unique values and rules across fields are checked."""
        for entry, expected in _INVALID_ENTRIES:
            with self.subTest(expected):
                problems = check_catalogue((entry, *examples.ENTRIES))
                self._check_problems(problems, expected)

    def test_entries_in_any_order(self) -> None:
        """Each returned entry follows those to which it refers."""
        zone = {
            **_region(kind='availability_zone', id='bajio-a'),
            'region': 'bajio',
        }
        zone.pop('zone_delay_ms')
        text = json.dumps({'entries': [zone, _region()]})
        entries = _load(f'// comment\n{text}').unwrap()
        self.assertEqual(
            [entry.entry_id for entry in entries],
            ['region/bajio', 'availability_zone/bajio-a'],
        )

    def _check_problems(self, found: Any, expected: tuple[str, ...]) -> None:
        texts = [str(problem) for problem in found]
        self.assertEqual(len(texts), len(expected), texts)
        for text, part in zip(texts, expected, strict=True):
            self.assertIn(part, text)


class DeploymentTest(unittest.TestCase):
    """Guards against deployments that differ in size from the design page."""

    def test_sizes(self) -> None:
        """Both files are valid and have the sizes of its section 3."""
        for name, services, zone_delay, link_delay in _DEPLOYMENT_SIZES:
            with self.subTest(name):
                entries = load_catalogue_file(_path(name)).unwrap()
                self.assertEqual(_service_sizes(entries), services)
                view = examples.filled_state(entries).view()
                delays = {
                    view.delay_ms(source, destination)
                    for source in view.availability_zones
                    for destination in view.availability_zones
                }
                self.assertEqual(delays, {0, zone_delay, link_delay})
                self.assertEqual(len(view.availability_zones), 6)

    def test_services(self) -> None:
        """Only idempotent services are critical and hedged."""
        services = [
            entry
            for sizes in _DEPLOYMENT_SIZES
            for entry in load_catalogue_file(_path(sizes[0])).unwrap()
            if isinstance(entry, Service)
        ]
        for service in services:
            with self.subTest(service.id):
                is_critical = service.traffic_class.value == 'critical'
                self.assertEqual(service.idempotent, is_critical)
                self.assertEqual(service.idempotent, service.hedge.enabled)
                self.assertLessEqual(service.limits.deadline_ms, 10000)


def _path(name: str) -> Path:
    return _DEPLOYMENTS / f'{name}-catalogue.jsonc'


def _service_sizes(entries: Any) -> Mapping[str, tuple[int, int]]:
    targets = [entry for entry in entries if isinstance(entry, Target)]
    counts = Counter(target.service for target in targets)
    return {
        target.service: (counts[target.service], target.limits.slots)
        for target in targets
    }


def _load(text: str) -> Any:
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / 'catalogue.jsonc'
        path.write_text(text, encoding='utf-8')
        return load_catalogue_file(path)
