"""Contract of the stand-in for the platform's list."""

import io
import unittest
from datetime import timedelta
from typing import Any

import msgspec
from plantainstand_bench._vm_list import (
    ListedVm,
    VmList,
    VmListApplication,
    VmListSettings,
)
from plantainstand_core import AvailabilityZoneId, ManualClock, VmId

# Method, path, body, status.
_CASES = (
    ('list', 'GET', '/vms', b'', '200 OK'),
    (
        'change',
        'PUT',
        '/vms/a',
        b'{"availability_zone": "z", "state": "leaving"}',
        '200 OK',
    ),
    (
        'unknown state',
        'PUT',
        '/vms/a',
        b'{"availability_zone": "z", "state": "gone"}',
        '400 Bad Request',
    ),
    ('no JSON', 'PUT', '/vms/a', b'{', '400 Bad Request'),
    ('unknown route', 'GET', '/machines', b'', '404 Not Found'),
)


class VmListTest(unittest.TestCase):
    """Guards against a list that is more current than the platform's."""

    def setUp(self) -> None:
        """Make a list of one VM with a lag of two seconds."""
        self._clock = ManualClock()
        listed = ListedVm(id=VmId('a'), availability_zone=_zone('z'))
        settings = VmListSettings(lag_ms=2000, vms=(listed,))
        self._list = VmList(settings, self._clock)
        self._application = VmListApplication(self._list)

    def test_routes(self) -> None:
        """Each route answers with its status."""
        for name, method, path, body, status in _CASES:
            with self.subTest(name):
                self.assertEqual(self._call(method, path, body)[0], status)

    def test_change_is_seen_after_the_lag(self) -> None:
        """Readers see the old state until the lag has passed."""
        body = b'{"availability_zone": "z", "state": "terminated"}'
        self._call('PUT', '/vms/a', body)
        seen: list[str] = []
        while len(seen) < 3:
            seen.append(self._call('GET', '/vms')[1]['vms'][0]['state'])
            self._clock.advance(timedelta(seconds=1))
        self.assertEqual(seen, ['live', 'live', 'terminated'])

    def test_document(self) -> None:
        """The document has the fields of the platform's protocol."""
        document = self._call('GET', '/vms')[1]
        self.assertEqual(document['generated_at'][:4], '2025')
        self.assertEqual(
            document['vms'],
            [{'id': 'a', 'availability_zone': 'z', 'state': 'live'}],
        )

    def _call(
        self,
        method: str,
        path: str,
        body: bytes = b'',
    ) -> tuple[str, Any]:
        statuses: list[str] = []
        environment = {
            'REQUEST_METHOD': method,
            'PATH_INFO': path,
            'CONTENT_LENGTH': str(len(body)),
            'wsgi.input': io.BytesIO(body),
        }
        chunks = self._application(
            environment,
            lambda status, headers: statuses.append(status),
        )
        return statuses[0], msgspec.json.decode(b''.join(chunks))


def _zone(name: str) -> AvailabilityZoneId:
    return AvailabilityZoneId(name)
