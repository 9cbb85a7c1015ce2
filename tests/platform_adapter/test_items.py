"""Patches of the desired state as the operator sends them."""

import unittest
from types import MappingProxyType

import msgspec
from plantainstand_desired import (
    ChangeItems,
    ClientAccount,
    ItemKind,
    Route,
    digest_key,
    encode_command,
)
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
_KEYS = ('k-3f81c2', 'k-77aa90')
_TENANT = MappingProxyType(
    {
        'apiKeys': list(_KEYS),
        'priority': 2,
        'ratePerS': 12.5,
        'burst': 40,
        'homeRegions': ['norte', 'sul'],
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


def _tenant_patch(**tenant: object) -> bytes:
    return msgspec.json.encode(
        {'upsert': {'tenants': {'acme': {**_TENANT, **tenant}}}},
    )


def _account(**tenant: object) -> ClientAccount:
    body = decode_patch(_tenant_patch(**tenant)).unwrap()[0].body
    assert isinstance(body, ClientAccount)
    return body


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


class TenantTests(unittest.TestCase):
    """Guards against accounts that are decoded to something else."""

    def test_account(self) -> None:
        """Every wire field of a tenant reaches its field, keys as digests."""
        account = _account()
        digests = tuple(digest_key(key.encode()) for key in _KEYS)
        self.assertEqual(account.key_digests, digests)
        self.assertEqual(account.rank, 2)
        self.assertEqual(account.requests_per_second, 12.5)
        self.assertEqual(account.burst, 40)
        self.assertEqual(account.home_regions, ('norte', 'sul'))

    def test_absent_fields(self) -> None:
        """A tenant may state its version alone, and null for no limit."""
        least = msgspec.json.encode(
            {'upsert': {'tenants': {'acme': {'version': 'r1'}}}}
        )
        item = decode_patch(least).unwrap()[0]
        self.assertEqual(item.body, ClientAccount((), None))
        unlimited = _account(ratePerS=None, burst=None, priority=None)
        self.assertEqual(unlimited.requests_per_second, 0)
        self.assertIsNone(unlimited.rank)

    def test_key_listed_twice(self) -> None:
        """A key that one account lists twice is one key."""
        account = _account(apiKeys=[_KEYS[0], _KEYS[0]])
        self.assertEqual(len(account.key_digests), 1)

    def test_removal(self) -> None:
        """A removed tenant becomes an account without a body."""
        body = msgspec.json.encode(
            {'remove': {'tenants': [{'name': 'acme', 'version': 'r9'}]}},
        )
        item = decode_patch(body).unwrap()[0]
        self.assertEqual(item.key, (ItemKind.ACCOUNT, 'acme'))
        self.assertEqual((item.version, item.body), (9, None))

    def test_unreadable_tenants(self) -> None:
        """Guards against error texts that state keys, and exceptions."""
        cases: dict[str, bytes] = {
            'no list': _tenant_patch(apiKeys=_KEYS[0]),
            'other type in the list': _tenant_patch(apiKeys=[*_KEYS, 5]),
            'key for a figure': _tenant_patch(ratePerS=_KEYS[0]),
            'key for a rank': _tenant_patch(priority=_KEYS[0]),
            'key for a version': _tenant_patch(version=_KEYS[0]),
            'key for the table': msgspec.json.encode(
                {'upsert': {'tenants': _KEYS[0]}}
            ),
            'true for a figure': _tenant_patch(burst=True),
            'text for a figure': _tenant_patch(burst='1'),
            'no whole rank': _tenant_patch(priority=1.5),
            'long rank': _tenant_patch().replace(b':2,', b':%d,' % 10**30),
            'long version': _tenant_patch(version=f'r{10**30}'),
            'very long version': _tenant_patch(version=f'r{10**4200}'),
            'other digits': _tenant_patch(version='r\u0661'),
            'NaN': _tenant_patch().replace(b'12.5', b'NaN'),
            'out of range': _tenant_patch().replace(b'12.5', b'1e999'),
            'half a surrogate': _tenant_patch().replace(
                b'k-77', b'%cud800' % 92
            ),
            'no UTF-8': _tenant_patch().replace(b'k-77', b'\xff\xfe'),
            'cut short': _tenant_patch()[:40],
            'deep': _tenant_patch().replace(b'40', b'[' * 9000 + b']' * 9000),
        }
        for name, body in cases.items():
            with self.subTest(name):
                decoded = decode_patch(body)
                assert isinstance(decoded, Err)
                self.assertNotIn('k-3f', decoded.err_value)
                self.assertNotIn('aa90', decoded.err_value)

    def test_whole_numbers_fit_into_the_log(self) -> None:
        """Guards against a change that is decoded but cannot be encoded."""
        body = _tenant_patch(priority=2**31 - 1, version=f'r{10**19 - 1}')
        self.assertTrue(
            encode_command(ChangeItems(decode_patch(body).unwrap()))
        )
        for name in ('priority', 'maxAttempts'):
            with self.subTest(name):
                self.assertIsInstance(
                    decode_patch(_patch(**{name: 10**30})), Err
                )


class ReadBackTests(unittest.TestCase):
    """Guards against fields that are lost between a patch and a read."""

    def test_same_documents(self) -> None:
        """Items are read in the format of the patch, with unknown fields."""
        extended = {**_ITEMS, 'routes': {'shop': {**_ROUTE, 'newField': [1]}}}
        sent = msgspec.json.encode({'upsert': extended})
        items = decode_patch(sent).unwrap()
        read = msgspec.json.decode(encode_items(list(items)))
        self.assertEqual(read, extended)

    def test_tenants_are_read_as_sent(self) -> None:
        """The operator reads keys, figures and unknown fields back."""
        extended = {'acme': {**_TENANT, 'newField': [1]}}
        sent = msgspec.json.encode({'upsert': {'tenants': extended}})
        items = decode_patch(sent).unwrap()
        read = msgspec.json.decode(encode_items(list(items)))
        self.assertEqual(read['tenants'], extended)

    def test_no_tenants(self) -> None:
        """Without accounts the document has the form it had before."""
        self.assertNotIn('tenants', msgspec.json.decode(encode_items([])))

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
            ('safe', True, False, False),
            ('download', True, True, False),
            ('unsafe', False, False, False),
            ('upload', False, False, True),
            ('odd', None, None, None),
        )
        for kind, idempotent, large, large_bodies in cases:
            with self.subTest(kind):
                decoded = decode_patch(_patch(routeType=kind))
                if idempotent is None:
                    self.assertIsInstance(decoded, Err)
                    continue
                route = decoded.unwrap()[0].body
                assert isinstance(route, Route)
                self.assertEqual(route.idempotent, idempotent)
                self.assertEqual(route.large_answers, large)
                self.assertEqual(route.large_bodies, large_bodies)

    def test_public_routes(self) -> None:
        """A route needs keys unless it says that it is public."""
        for fields, public in (({}, False), ({'public': True}, True)):
            route = decode_patch(_patch(**fields)).unwrap()[0].body
            assert isinstance(route, Route)
            self.assertIs(route.public, public)
        self.assertIsInstance(decode_patch(_patch(public='yes')), Err)
