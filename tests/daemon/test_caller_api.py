"""Statuses and headers of the caller routes, per docs/interfaces.md."""

import unittest
from collections.abc import Callable, Mapping
from datetime import timedelta
from http import HTTPStatus
from typing import NamedTuple

from plantainstand_catalogue import Service
from plantainstand_core import (
    AvailabilityZoneId,
    ManualClock,
    RequestOutcome,
    ServiceId,
    VmId,
)
from plantainstand_daemon._caller_api import (
    CallerPort,
    ReplyResult,
    RequestRefused,
)
from plantainstand_daemon._messages import (
    Answer,
    Reply,
    SteeredRequest,
    not_run,
    unknown,
)
from result import Err, Ok

from tests.catalogue import examples
from tests.daemon.http_calls import HttpReply, build_test_application, call

_ID = '019b76da-a800-7000-8000-000000000001'
_PATH = '/v1/services/catalogue/dies'
_RECORD = f'/v1/requests/{_ID}'
_VM = VmId('bajio-a-1')
_DEADLINE = timedelta(seconds=2)
"""Deadline of the example service; its requests may have 1,024 bytes."""


def _answered(
    status: int = 200, served_by: str = 'bajio-a-1 t-1'
) -> ReplyResult:
    headers = (('X-Die', '7'), ('request-id', 'of the target'))
    answer = Answer(status, headers, b'bronze')
    return Ok(Reply(RequestOutcome.ANSWERED, answer, served_by=served_by))


def _refused(status: HTTPStatus) -> ReplyResult:
    return Err(RequestRefused(status, 'reason'))


class _FakeDaemon:
    """Caller routes with a fixed reply; records the calls to the port."""

    def __init__(self, reply: ReplyResult) -> None:
        self.served: list[SteeredRequest] = []
        self.calls: list[tuple[str, str]] = []
        self.clock = ManualClock()
        self._reply = reply
        self._application = build_test_application(
            CallerPort(
                _find_service,
                self._serve,
                self._record_call('look up'),
                self._record_call('cancel'),
                self._list_entries,
                _VM,
                self.clock,
            ),
        )

    def call(
        self,
        method: str,
        uri: str,
        body: bytes = b'',
        **headers: str,
    ) -> HttpReply:
        """Call a route; underscores in header names become hyphens."""
        return call(self._application, method, uri, body, headers)

    def _serve(self, request: SteeredRequest) -> ReplyResult:
        self.served.append(request)
        return self._reply

    def _record_call(self, action: str) -> Callable[[str], ReplyResult]:
        def record_call(request_id: str) -> ReplyResult:
            self.calls.append((action, request_id))
            return self._reply

        return record_call

    def _list_entries(self, caller: str, zone: AvailabilityZoneId) -> bytes:
        self.calls.append((caller, zone))
        return b'{"version":1}'


def _find_service(service: ServiceId) -> Service | None:
    return examples.service(service) if service == 'catalogue' else None


class _Case(NamedTuple):
    name: str
    reply: ReplyResult
    status: int
    outcome: str | None
    served_by: str | None = None


_REPLIES = (
    _Case('answer', _answered(), 200, 'answered', 'bajio-a-1 t-1'),
    _Case('created', _answered(201), 201, 'answered', 'bajio-a-1 t-1'),
    _Case('error of the target', _answered(500), 500, 'answered'),
    _Case('503 of the target', _answered(503), 503, 'answered'),
    _Case('unusual status', _answered(299), 299, 'answered'),
    _Case('record', _answered(201, 'record'), 201, 'answered', 'record'),
    _Case('not run', Ok(not_run('no slot')), 503, 'not-run', _VM),
    _Case('unknown', Ok(unknown('silent')), 504, 'unknown', _VM),
    _Case('malformed id', _refused(HTTPStatus.BAD_REQUEST), 400, None),
    _Case('other content', _refused(HTTPStatus.CONFLICT), 409, None),
    _Case('expired id', _refused(HTTPStatus.GONE), 410, None),
)

# Headers and body of a request, the expected status, and the time left if the
# request is steered.
_REQUESTS: tuple[
    tuple[Mapping[str, str], bytes, int, timedelta | None],
    ...,
] = (
    ({'Request_Id': _ID}, b'', 200, _DEADLINE),
    ({'Request_Id': 'x' * 128}, b'', 200, _DEADLINE),
    ({'Request_Id': 'x' * 129}, b'', 400, None),
    ({'Request_Id': ''}, b'', 400, None),
    ({}, b'', 400, None),
    ({'Request_Id': _ID}, b'x' * 1024, 200, _DEADLINE),
    ({'Request_Id': _ID}, b'x' * 1025, 413, None),
)
_DEADLINES = (
    ('1', timedelta(milliseconds=1)),
    ('1999', timedelta(milliseconds=1999)),
    ('2000', _DEADLINE),
    ('2001', _DEADLINE),
    ('9' * 18, _DEADLINE),
    ('0', None),
    ('-1', None),
    ('1.5', None),
    ('1e3', None),
    ('', None),
    (' 1', None),
    ('+1', None),
    ('1_000', None),
    ('²', None),
    ('١', None),
    # Python raises an error for numbers of so many digits.
    ('9' * 5000, None),
)
_WRONG_ROUTES = (
    ('GET', '/', 404),
    ('GET', '/v1', 404),
    ('GET', '/v1/unknown', 404),
    ('GET', '/v1/services', 404),
    ('GET', '/v1/services/unknown/x', 404),
    ('GET', '/v1/requests', 404),
    ('GET', f'{_RECORD}/more', 404),
    ('POST', _RECORD, 405),
    ('POST', '/v1/entries', 405),
)


class ServiceRouteTest(unittest.TestCase):
    """Guards against replies that a caller would misinterpret."""

    def test_replies(self) -> None:
        """Status and headers state the outcome of the request."""
        for case in _REPLIES:
            with self.subTest(case.name):
                daemon = _FakeDaemon(case.reply)
                reply = daemon.call('POST', _PATH, b'body', Request_Id=_ID)
                _check_reply(self, case, reply)

    def test_request_headers(self) -> None:
        """An invalid request is refused before steering."""
        for headers, body, status, time_left in _REQUESTS:
            with self.subTest(headers=headers, size=len(body)):
                self._check_request(headers, body, status, time_left)

    def test_deadlines(self) -> None:
        """The deadline is a whole number, capped by the service's limit."""
        for text, time_left in _DEADLINES:
            with self.subTest(text[:20]):
                headers = {'Request_Id': _ID, 'Request_Deadline_Ms': text}
                status = 400 if time_left is None else 200
                self._check_request(headers, b'', status, time_left)

    def test_unchanged(self) -> None:
        """Method, path, query, headers and body are passed on unchanged."""
        paths = (
            '/dies',
            '/',
            '/dies/',
            '//dies',
            '/a%2Fb',
            '/a%20b/%C3%A7?q=%20&r=a+b',
            '/a:b;c=1,2@x!',
            '/dies?',
        )
        for path in paths:
            for method in ('GET', 'PUT', 'PATCH', 'DELETE', 'HEAD'):
                with self.subTest(path, method=method):
                    daemon = _FakeDaemon(_answered())
                    daemon.call(
                        method,
                        f'/v1/services/catalogue{path}',
                        b'body',
                        Request_Id=_ID,
                        X_Mill='7',
                        traceparent='00-trace',
                    )
                    served = daemon.served[0]
                    self.assertEqual(served.path, path)
                    self.assertEqual(served.method, method)
                    self.assertEqual(served.body, b'body')
                    self.assertEqual(served.traceparent, '00-trace')
                    self.assertIn(('X-Mill', '7'), served.headers)

    def test_no_path(self) -> None:
        """A path that ends with the service means its root."""
        daemon = _FakeDaemon(_answered())
        daemon.call('GET', '/v1/services/catalogue', Request_Id=_ID)
        self.assertEqual(daemon.served[0].path, '/')

    def _check_request(
        self,
        headers: Mapping[str, str],
        body: bytes,
        status: int,
        time_left: timedelta | None,
    ) -> None:
        daemon = _FakeDaemon(_answered())
        reply = daemon.call('POST', _PATH, body, **headers)
        self.assertEqual(reply.status, status)
        deadlines = [served.deadline for served in daemon.served]
        if time_left is None:
            self.assertEqual(deadlines, [])
            self.assertEqual(reply.document.keys(), {'error', 'message'})
        else:
            self.assertEqual(deadlines, [daemon.clock.monotonic() + time_left])


class OtherRouteTest(unittest.TestCase):
    """Guards against routes that differ from docs/interfaces.md."""

    def test_records(self) -> None:
        """Recorded outcomes have the same statuses as the service route."""
        actions = (('GET', 'look up'), ('DELETE', 'cancel'))
        for case in _REPLIES:
            for method, action in actions:
                with self.subTest(case.name, method=method):
                    daemon = _FakeDaemon(case.reply)
                    reply = daemon.call(method, _RECORD)
                    _check_reply(self, case, reply)
                    self.assertEqual(daemon.calls, [(action, _ID)])

    def test_wrong_routes(self) -> None:
        """Unknown paths and methods get an error document."""
        for method, uri, status in _WRONG_ROUTES:
            with self.subTest(uri, method=method):
                daemon = _FakeDaemon(_answered())
                reply = daemon.call(method, uri, Request_Id=_ID)
                self.assertEqual(reply.status, status)
                self.assertEqual(reply.document.keys(), {'error', 'message'})
                self.assertEqual(daemon.served, [])

    def test_entries(self) -> None:
        """A caller without id or zone also gets a list."""
        cases = (
            ('?caller=mill&availability_zone=bajio-a', ('mill', 'bajio-a')),
            ('?caller=mill', ('mill', '')),
            ('', ('', '')),
        )
        for query, expected in cases:
            daemon = _FakeDaemon(_answered())
            reply = daemon.call('GET', f'/v1/entries{query}')
            self.assertEqual(reply.status, 200)
            self.assertEqual(reply.document, {'version': 1})
            self.assertEqual(daemon.calls, [expected])

    def test_status_routes(self) -> None:
        """The health route returns 503 for a VM without authority."""
        daemon = _FakeDaemon(_answered())
        health = daemon.call('GET', '/healthz')
        self.assertEqual(health.status, 503)
        self.assertIs(health.document['has_authority'], False)
        metrics = daemon.call('GET', '/metrics')
        self.assertEqual(metrics.body, b'in_flight 0\n')
        self.assertIn('text/plain', metrics.headers['Content-Type'])


def _check_reply(
    test: unittest.TestCase,
    case: _Case,
    reply: HttpReply,
) -> None:
    test.assertEqual(reply.status, case.status)
    test.assertEqual(reply.headers.get('Request-Outcome'), case.outcome)
    if case.outcome:
        test.assertEqual(reply.headers['Request-Id'], _ID)
    if case.served_by:
        test.assertEqual(reply.headers['Served-By'], case.served_by)
    if case.outcome == 'answered':
        test.assertEqual(reply.body, b'bronze')
        test.assertEqual(reply.headers['X-Die'], '7')
        test.assertNotIn('request-id', reply.headers)
    else:
        test.assertEqual(reply.document.keys(), {'error', 'message'})
