"""Patches of the desired state as the operator sends them."""

import unittest
from types import MappingProxyType

import msgspec
from plantainstand_desired import ItemKind, Route
from plantainstand_platform.items import decode_patch, encode_items
from result import Err

_ROUTE = MappingProxyType(
    {
        'host': 'shop.example',
        'pathPrefix': '/orders/',
        'routeType': 'unsafe',
        'timeoutS': 1.5,
        'targetLatencyS': 0.3,
        'priority': 1,
        'trafficSplit': [
            {'service': 'one', 'weight': 90},
            {'service': 'two', 'weight': 10},
        ],
        'maxAttempts': 2,
        'sticky': True,
        'homeRegions': ['norte'],
        'version': 'r7',
    }
)
_SERVICE = MappingProxyType(
    {
        'healthPath': '/health',
        'maxConns': 390,
        'protocol': 'h1',
        'tls': False,
        'coldStartS': 3.0,
        'coldPerS': 18.0,
        'version': 'r7',
    }
)
_LIMITS = MappingProxyType(
    {
        'maxHeaderBytes': 16384,
        'maxBodyBytes': 1000,
        'headerTimeoutS': 3,
        'idleTimeoutS': 15,
        'version': 'r7',
    }
)
_ITEMS = MappingProxyType(
    {
        'routes': {'shop': dict(_ROUTE)},
        'services': {'one': dict(_SERVICE)},
        'limits': dict(_LIMITS),
    }
)


def _patch(**route: object) -> bytes:
    return msgspec.json.encode(
        {'upsert': {'routes': {'shop': {**_ROUTE, **route}}}},
    )


class DecodeTests(unittest.TestCase):
    """Guards against wire fields that are decoded to the wrong fields."""

    def test_route(self) -> None:
        """Every wire field of a route reaches its field."""
        route = decode_patch(_patch()).unwrap()[0].body
        assert isinstance(route, Route)
        self.assertFalse(route.idempotent)
        self.assertEqual(route.timeout_seconds, 1.5)
        self.assertEqual(route.objective_seconds, 0.3)
        self.assertEqual(route.rank, 1)
        self.assertEqual(route.home_regions, ('norte',))
        self.assertEqual([part.weight for part in route.parts], [90, 10])

    def test_removal(self) -> None:
        """A removal becomes an item without a body."""
        body = msgspec.json.encode(
            {'remove': {'routes': [{'name': 'old', 'version': 'r9'}]}},
        )
        item = decode_patch(body).unwrap()[0]
        self.assertEqual((item.name, item.version, item.body), ('old', 9, None))

    def test_invalid_patches(self) -> None:
        """A patch that is invalid in any part is refused as a whole."""
        cases = {
            'cut short': _patch()[:-9],
            'no JSON': b'nonsense',
            'a list': b'[]',
            'odd kind': _patch(routeType='maybe'),
            'no version': _patch(version=None),
            'odd version': _patch(version='7'),
            'text for a number': _patch(timeoutS='1'),
            'no host': _patch(host=None),
        }
        for name, body in cases.items():
            with self.subTest(name):
                self.assertIsInstance(decode_patch(body), Err)


class ReadBackTests(unittest.TestCase):
    """Guards against fields that are lost between a patch and a read."""

    def test_same_documents(self) -> None:
        """Items are read in the format of the patch, with unknown fields."""
        extended = {**_ITEMS, 'routes': {'shop': {**_ROUTE, 'newField': [1]}}}
        sent = msgspec.json.encode({'upsert': extended})
        items = decode_patch(sent).unwrap()
        read = msgspec.json.decode(encode_items(list(items)))
        self.assertEqual(read, extended)

    def test_field_order_does_not_matter(self) -> None:
        """A resend with another field order decodes to equal items."""
        reordered = dict(reversed(list(_ROUTE.items())))
        again = msgspec.json.encode(
            {'upsert': {'routes': {'shop': reordered}}},
        )
        self.assertEqual(decode_patch(again), decode_patch(_patch()))

    def test_limits_are_one_item(self) -> None:
        """Limits, which have no name on the wire, become a single item."""
        body = msgspec.json.encode({'upsert': {'limits': dict(_LIMITS)}})
        item = decode_patch(body).unwrap()[0]
        self.assertIs(item.kind, ItemKind.LIMITS)


class RouteTypeTests(unittest.TestCase):
    """Guards against repeats of requests that must run only once."""

    def test_route_types(self) -> None:
        """An unknown route type is refused, as it may not be repeatable."""
        cases = (
            ('safe', True, False),
            ('download', True, True),
            ('unsafe', False, False),
            ('odd', None, None),
        )
        for kind, idempotent, large in cases:
            with self.subTest(kind):
                decoded = decode_patch(_patch(routeType=kind))
                if idempotent is None:
                    self.assertIsInstance(decoded, Err)
                    continue
                route = decoded.unwrap()[0].body
                assert isinstance(route, Route)
                self.assertEqual(route.idempotent, idempotent)
                self.assertEqual(route.large_answers, large)
