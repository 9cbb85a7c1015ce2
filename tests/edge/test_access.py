"""Guards which requests run, and for which account, by their keys."""

import asyncio
import unittest
from collections.abc import Callable, Sequence
from contextlib import AsyncExitStack
from datetime import timedelta
from itertools import product
from typing import Any

import structlog
from plantainstand_allotments import UNLIMITED_USE, UsePreview
from plantainstand_core import Clock, ManualClock, ServiceId
from plantainstand_desired import AccountName, Item, digest_key
from plantainstand_edge._access import PermitDenial
from plantainstand_edge._active_request import ActiveRequest
from plantainstand_http import HttpServer, Response
from result import Ok, Result
from structlog.testing import capture_logs

from tests.desired.builders import account_item, account_removal
from tests.edge.builders import (
    ANSWERED,
    BROKEN,
    FAILED,
    HEADER_CODEC,
    MISDIRECTED,
    NOT_SENT,
    REJECTED,
    TIMED_OUT,
    Header,
    Outcome,
    SteeringFixture,
)

_ACME = account_item('acme', 1, 'k1', 'k2')
_OTHER = account_item('other', 1, 'k3')
_KEY = (b'key', b'k1')

_FirstCase = tuple[bool, Header, int, list[list[bytes]]]
_ChangeCase = tuple[str, Sequence[Item], int, list[list[bytes]]]


def _with_accounts(*outcomes: Outcome, **options: Any) -> SteeringFixture:
    fixture = SteeringFixture(*outcomes, **options)
    fixture.change(2, _ACME, _OTHER)
    return fixture


async def _serve(fixture: SteeringFixture, *headers: Header) -> Response:
    return await fixture.steering.handle(fixture.request('/orders/1', headers))


def _accounts_sent(fixture: SteeringFixture) -> list[list[bytes]]:
    return [
        [line for line in payload.split(b'\r\n') if b'account' in line]
        for payload in fixture.pool.payloads
    ]


class _Change:
    """Merges a change when it is called first."""

    def __init__(self, fixture: SteeringFixture, items: Sequence[Item]):
        self._fixture = fixture
        self._items = tuple(items)

    def __call__(self) -> None:
        if self._items:
            self._fixture.change(3, *self._items)
            self._items = ()


class KeyTests(unittest.IsolatedAsyncioTestCase):
    """Guards against requests that run without a key, or are wrongly denied."""

    async def test_statuses(self) -> None:
        """Guards the order of the checks: state, route, public, proof, key."""
        cases: tuple[tuple[str, dict[str, bool], str, bytes | None, int], ...]
        cases = (
            ('known key', {}, '/orders/1', b'k1', 200),
            ('unknown key', {}, '/orders/1', b'k9', 401),
            ('no key', {}, '/orders/1', None, 401),
            ('no route', {}, '/none/', b'k1', 404),
            ('no route, no key', {}, '/none/', None, 404),
            ('no state', {'routes': False}, '/orders/1', None, 503),
            ('no state, known key', {'routes': False}, '/orders/1', b'k1', 503),
            ('public', {'public': True}, '/orders/1', None, 200),
            ('public, unknown key', {'public': True}, '/orders/1', b'k9', 200),
        )
        for name, options, path, key, status in cases:
            with self.subTest(name):
                fixture = _with_accounts(ANSWERED, **options)
                headers = () if key is None else ((b'key', key),)
                request = fixture.request(path, headers)
                response = await fixture.steering.handle(request)
                self.assertEqual(response.status, status)
                self.assertEqual(len(fixture.pool.sent), status == 200)

    async def test_keys_that_are_not_confirmed(self) -> None:
        """Without a proof nothing runs, whatever the key; public routes do."""
        keys = (_KEY, (b'key', b'k9'), (b'none', b''))
        for key, public in product(keys, (False, True)):
            with self.subTest(key=key, public=public):
                fixture = _with_accounts(ANSWERED, public=public)
                fixture.has_current_keys = False
                response = await _serve(fixture, key)
                self.assertEqual(response.status, 200 if public else 503)
                self.assertEqual(len(fixture.pool.sent), public)
                self.assertEqual(
                    b'retry-after' in dict(response.headers), not public
                )

    async def test_challenge(self) -> None:
        """Only 401 names the scheme, and no answer repeats the key."""
        fixture = _with_accounts()
        response = await _serve(fixture, (b'key', b'k-unknown'))
        self.assertIn((b'challenge', b'key'), response.headers)
        self.assertNotIn(b'k-unknown', response.body)
        missing = await fixture.steering.handle(fixture.request('/none/'))
        self.assertNotIn((b'challenge', b'key'), missing.headers)

    async def test_without_accounts(self) -> None:
        """Requests and their headers pass as before accounts existed."""
        fixture = SteeringFixture(ANSWERED)
        response = await _serve(fixture, _KEY, (b'account', b'mine'))
        self.assertEqual(response.status, 200)
        self.assertIn(b'key: k1\r\naccount: mine', fixture.pool.payloads[0])

    async def test_removed_accounts(self) -> None:
        """Guards against a state whose last account is removed and opens."""
        fixture = _with_accounts(ANSWERED)
        fixture.change(
            3, account_removal('acme', 2), account_removal('other', 2)
        )
        for key in (_KEY, (b'none', b'')):
            self.assertEqual((await _serve(fixture, key)).status, 401)
        self.assertEqual(fixture.pool.sent, [])

    async def test_headers_at_the_target(self) -> None:
        """Guards against accounts that clients state, and keys that leak."""
        forged = ((b'account', b'forged'), _KEY, (b'account', b'forged'))
        for public, stated in ((False, [b'account: acme']), (True, [])):
            fixture = _with_accounts(ANSWERED, public=public)
            await _serve(fixture, *forged)
            with self.subTest(public=public):
                self.assertEqual(_accounts_sent(fixture), [stated])
                self.assertNotIn(b'k1', fixture.pool.payloads[0])


class PipelinedKeyTests(unittest.IsolatedAsyncioTestCase):
    """Guards against a key that counts for other requests of a connection."""

    async def test_pipelined_requests(self) -> None:
        """Each request is served for its own key, in a batch or one by one."""
        keys = (b'k1', b'k9', b'k3', b'', b'k2')
        for idempotent in (True, False):
            with self.subTest(idempotent=idempotent):
                fixture = SteeringFixture(
                    ANSWERED, ANSWERED, ANSWERED, idempotent=idempotent
                )
                fixture.change(2, _ACME, _OTHER)
                statuses = await _pipeline(fixture, keys)
                self.assertEqual(statuses, [200, 401, 200, 401, 200])
                self.assertEqual(
                    _accounts_sent(fixture),
                    [
                        [b'account: acme'],
                        [b'account: other'],
                        [b'account: acme'],
                    ],
                )

    async def test_key_withdrawn_on_a_kept_connection(self) -> None:
        """A connection on which a key was known gives it no further use."""
        fixture = _with_accounts(ANSWERED, ANSWERED)
        removed = (account_removal('acme', 2),)
        fixture.pool.when_sent = _Change(fixture, removed)
        statuses = await _pipeline(fixture, (b'k1', b'k1'), at_once=1)
        self.assertEqual(statuses, [200, 401])
        self.assertEqual(len(fixture.pool.sent), 1)


async def _pipeline(
    fixture: SteeringFixture, keys: Sequence[bytes], at_once: int = 9
) -> list[int]:
    """Return the statuses of requests that are sent on one connection."""
    statuses: list[int] = []
    async with AsyncExitStack() as stack:
        steering = fixture.steering
        server = HttpServer(
            steering.handle, fixture.clock, steering.may_overlap
        )
        await server.start('127.0.0.1', 0, stack)
        assert server._listener is not None
        host, port = server._listener.sockets[0].getsockname()
        reader, writer = await asyncio.open_connection(host, port)
        stack.callback(writer.close)
        for first in range(0, len(keys), at_once):
            batch = keys[first : first + at_once]
            writer.write(b''.join(map(_encode, batch)))
            statuses.extend([await _read_status(reader) for _key in batch])
    return statuses


def _encode(key: bytes) -> bytes:
    return b'GET /orders/1 HTTP/1.1\r\nid: 1\r\nkey: %s\r\n\r\n' % key


async def _read_status(reader: asyncio.StreamReader) -> int:
    head = await reader.readuntil(b'\r\n\r\n')
    length = int(head.split(b'content-length: ')[1].split()[0])
    await reader.readexactly(length)
    return int(head.split(b' ')[1])


class ChangedKeyTests(unittest.IsolatedAsyncioTestCase):
    """Guards against runs for a key that changes while its request waits."""

    async def test_change_while_connecting(self) -> None:
        """A change counts that arrives just before the request leaves."""
        moved = account_item('other', 2, 'k3', 'k1')
        cases: tuple[_ChangeCase, ...] = (
            ('withdrawn', (account_item('acme', 2, 'k2'),), 401, []),
            ('removed', (account_removal('acme', 2),), 401, []),
            (
                'kept',
                (account_item('acme', 2, 'k1'),),
                200,
                [[b'account: acme']],
            ),
            (
                'moved',
                (account_item('acme', 2, 'k2'), moved),
                200,
                [[b'account: other']],
            ),
        )
        for targets in (1, 3):
            for name, items, status, sent in cases:
                with self.subTest(name, targets=targets):
                    fixture = SteeringFixture(ANSWERED, targets=targets)
                    fixture.change(2, _ACME, _OTHER)
                    fixture.pool.when_connected = _Change(fixture, items)
                    response = await _serve(fixture, _KEY)
                    self.assertEqual(response.status, status)
                    self.assertEqual(_accounts_sent(fixture), sent)

    async def test_first_account(self) -> None:
        """Guards against 401 for a key that is set while its request waits.

        The headers of the client must be removed then, on public routes too.
        """
        cases: tuple[_FirstCase, ...] = (
            (False, _KEY, 200, [[b'account: acme']]),
            (False, (b'key', b'k9'), 401, []),
            (True, _KEY, 200, [[]]),
        )
        for public, key, status, sent in cases:
            with self.subTest(public=public, key=key):
                fixture = SteeringFixture(ANSWERED, targets=1, public=public)
                fixture.pool.when_connected = _Change(fixture, (_ACME,))
                response = await _serve(fixture, key, (b'account', b'forged'))
                self.assertEqual(response.status, status)
                self.assertEqual(_accounts_sent(fixture), sent)

    async def test_change_before_a_retry(self) -> None:
        """The status after a withdrawal tells whether the request ran."""
        cases: tuple[tuple[Outcome, int], ...] = (
            (REJECTED, 401),
            (NOT_SENT, 401),
            (BROKEN, 502),
            (FAILED, 500),
        )
        for outcome, status in cases:
            with self.subTest(outcome=outcome):
                fixture = _with_accounts(outcome, ANSWERED)
                withdrawn = (account_item('acme', 2, 'k2'),)
                fixture.pool.when_sent = _Change(fixture, withdrawn)
                response = await _serve(fixture, _KEY)
                self.assertEqual(response.status, status)
                self.assertEqual(len(fixture.pool.sent), 1)

    async def test_move_before_a_retry(self) -> None:
        """Guards against one request that runs for two accounts."""
        moved = (account_item('acme', 2), account_item('other', 2, 'k1'))
        cases: tuple[tuple[Outcome, int, int], ...] = (
            (REJECTED, 200, 2),
            (BROKEN, 502, 1),
        )
        for outcome, status, sends in cases:
            with self.subTest(outcome=outcome):
                fixture = _with_accounts(outcome, ANSWERED)
                fixture.pool.when_sent = _Change(fixture, moved)
                response = await _serve(fixture, _KEY)
                self.assertEqual(response.status, status)
                self.assertEqual(len(fixture.pool.sent), sends)

    async def test_withheld_request_does_not_blame_the_target(self) -> None:
        """Guards against targets taken for unreachable for an ended key."""
        fixture = SteeringFixture(ANSWERED, targets=1)
        fixture.change(2, _ACME, _OTHER)
        removed = (account_removal('acme', 2),)
        fixture.pool.when_connected = _Change(fixture, removed)
        self.assertEqual((await _serve(fixture, _KEY)).status, 401)
        self.assertEqual((await _serve(fixture, (b'key', b'k3'))).status, 200)


class _CountedPermits:
    """Counts runs as they are acquired and given back."""

    def __init__(self, clock: Clock):
        self.held: list[timedelta] = []
        self.clock = clock

    async def acquire(
        self, _account: AccountName
    ) -> Result[timedelta, PermitDenial]:
        """See ``RunPermits.acquire``."""
        self.held.append(self.clock.monotonic())
        return Ok(self.held[-1])

    def preview(self, _account: AccountName) -> UsePreview:
        """See ``RunPermits.preview``."""
        return UNLIMITED_USE

    def postpone(
        self, _account: AccountName, counted_at: timedelta, sent_at: timedelta
    ) -> None:
        """See ``RunPermits.postpone``."""
        self.held.remove(counted_at)
        self.held.append(sent_at)

    def give_back(self, _account: AccountName, counted_at: timedelta) -> None:
        """See ``RunPermits.give_back``."""
        self.held.remove(counted_at)


class _SilentPool:
    """Connections on which no response ever comes."""

    async def exchange(
        self, *_arguments: object, may_send: Callable[[], bool], **_: object
    ) -> Outcome:
        """Send, and wait for ever."""
        may_send()
        await asyncio.Event().wait()
        return BROKEN


def _with_permits(
    *outcomes: Outcome, **options: Any
) -> tuple[SteeringFixture, _CountedPermits]:
    permits = _CountedPermits(ManualClock())
    fixture = SteeringFixture(*outcomes, permits=permits, **options)
    permits.clock = fixture.clock
    fixture.change(2, _ACME, _OTHER)
    return fixture, permits


class PermitTests(unittest.IsolatedAsyncioTestCase):
    """Guards against counted runs that leak, or real ones that are not."""

    async def test_counted_runs(self) -> None:
        """Each attempt that may have run is counted, and no other."""
        cases: tuple[tuple[tuple[Outcome, ...], int], ...] = (
            ((ANSWERED,), 1),
            ((REJECTED, ANSWERED), 1),
            ((MISDIRECTED, ANSWERED), 1),
            ((NOT_SENT, ANSWERED), 1),
            ((REJECTED, REJECTED), 0),
            ((NOT_SENT, NOT_SENT, NOT_SENT), 0),
            ((FAILED, ANSWERED), 2),
            ((BROKEN, ANSWERED), 2),
            ((BROKEN, REJECTED), 1),
            ((TIMED_OUT,), 1),
        )
        for outcomes, runs in cases:
            with self.subTest(outcomes=outcomes):
                fixture, permits = _with_permits(*outcomes)
                await _serve(fixture, _KEY)
                self.assertEqual(len(permits.held), runs)

    async def test_requests_that_do_not_leave(self) -> None:
        """No run is counted if there is no target, or the key has ended."""
        fixture, permits = _with_permits(targets=0)
        await _serve(fixture, _KEY)
        self.assertEqual(permits.held, [])
        fixture, permits = _with_permits(ANSWERED)
        removed = (account_removal('acme', 2),)
        fixture.pool.when_connected = _Change(fixture, removed)
        await _serve(fixture, _KEY)
        self.assertEqual(permits.held, [])

    async def test_client_that_leaves(self) -> None:
        """A run that is under way stays counted when its client leaves."""
        fixture, permits = _with_permits(pool=_SilentPool())
        serving = asyncio.ensure_future(_serve(fixture, _KEY))
        await asyncio.sleep(0)
        serving.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await serving
        self.assertEqual(len(permits.held), 1)

    async def test_run_counts_when_it_leaves(self) -> None:
        """Guards against runs of two windows that leave in one."""
        fixture, permits = _with_permits(ANSWERED, targets=1)
        decided_at = fixture.clock.monotonic()
        fixture.pool.connect_time = timedelta(milliseconds=300)
        await _serve(fixture, _KEY)
        left_at = decided_at + timedelta(milliseconds=300)
        self.assertEqual(permits.held, [left_at])
        fixture, permits = _with_permits(REJECTED, targets=1)
        fixture.pool.connect_time = timedelta(milliseconds=300)
        await _serve(fixture, _KEY)
        self.assertEqual(permits.held, [])

    async def test_public_routes(self) -> None:
        """A public route counts for no account, whatever key is stated."""
        fixture, permits = _with_permits(ANSWERED, public=True)
        await _serve(fixture, _KEY)
        self.assertEqual(permits.held, [])


class LogTests(unittest.IsolatedAsyncioTestCase):
    """Guards against keys in log lines, and lines without the account."""

    def setUp(self) -> None:
        """Let log lines through, which the tests otherwise drop."""
        former = structlog.get_config()['wrapper_class']
        self.addCleanup(structlog.configure, wrapper_class=former)
        structlog.configure(wrapper_class=structlog.stdlib.BoundLogger)

    async def test_log_lines(self) -> None:
        """Lines name the account, and contain neither key nor digest."""
        cases = ((b'key', b'k1-secret'), (b'key', b'k9-secret'))
        for key in cases:
            fixture = SteeringFixture(BROKEN, ANSWERED)
            fixture.change(2, account_item('acme', 1, 'k1-secret'))
            with self.subTest(key=key), capture_logs() as lines:
                await _serve(fixture, key)
                self.assertTrue(lines)
                self.assertNotIn('secret', repr(lines))
                self.assertNotIn(repr(digest_key(key[1])), repr(lines))

    async def test_rank(self) -> None:
        """The account's priority goes before the route's, 0 included."""
        for stated, rank in ((None, 1), (0, 0), (3, 3)):
            fixture = SteeringFixture(ANSWERED, rank=1)
            fixture.change(2, account_item('acme', 1, 'k1', rank=stated))
            with self.subTest(stated), capture_logs() as lines:
                await _serve(fixture, _KEY)
                self.assertEqual(lines[-1]['rank'], rank)
                self.assertEqual(lines[-1]['account'], 'acme')


class SecrecyTests(unittest.TestCase):
    """Guards against keys in log lines that print a request being served."""

    def test_repr_of_a_request_being_served(self) -> None:
        """Its headers, which hold the key, are not printed."""
        fixture = SteeringFixture()
        request = fixture.request('/orders/1', (_KEY,))
        metadata = HEADER_CODEC.read_request_metadata(request)
        match = fixture.view.match('shop.example', '/orders/1')
        assert metadata is not None
        assert match is not None
        active = ActiveRequest(
            request,
            metadata,
            match,
            ServiceId('orders'),
            deadline=request.received_at,
            objective=request.received_at,
        )
        self.assertNotIn('k1', repr(active))


class HomeRegionTests(unittest.IsolatedAsyncioTestCase):
    """Guards against runs outside the regions of route or account."""

    async def test_common_regions(self) -> None:
        """Both restrictions hold; without a common region nothing runs."""
        cases = (
            ((), (), 200),
            (('norte',), (), 200),
            ((), ('norte',), 200),
            (('norte', 'sul'), ('oeste', 'norte'), 200),
            (('norte',), ('sul',), 503),
            ((), ('sul',), 503),
            (('norte', 'sul'), ('sul',), 503),
        )
        for of_route, of_account, status in cases:
            with self.subTest(of_route=of_route, of_account=of_account):
                fixture = SteeringFixture(ANSWERED, home_regions=of_route)
                fixture.change(
                    2, account_item('acme', 1, 'k1', home_regions=of_account)
                )
                response = await _serve(fixture, _KEY)
                self.assertEqual(response.status, status)
                self.assertEqual(len(fixture.pool.sent), status == 200)

    async def test_regions_that_change_before_a_retry(self) -> None:
        """A retry keeps to the regions that the account has by then."""
        fixture = SteeringFixture(REJECTED, ANSWERED)
        fixture.change(2, _ACME)
        restricted = account_item('acme', 2, 'k1', home_regions=('sul',))
        fixture.pool.when_sent = _Change(fixture, (restricted,))
        self.assertEqual((await _serve(fixture, _KEY)).status, 503)
        self.assertEqual(len(fixture.pool.sent), 1)
