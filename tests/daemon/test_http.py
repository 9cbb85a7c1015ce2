"""Routing, paths and bodies in the WSGI layer."""

import io
import unittest

from plantainstand_daemon._http import (
    HttpRequest,
    HttpResponse,
    build_application,
)


def _environment(path: str, **environment_entries: object) -> dict[str, object]:
    return {
        'REQUEST_METHOD': 'GET',
        'PATH_INFO': path,
        'wsgi.input': io.BytesIO(b'12345'),
        **environment_entries,
    }


def _echo_path(request: HttpRequest) -> HttpResponse:
    return HttpResponse(200, (), request.raw_path.encode())


def _fail(_request: HttpRequest) -> HttpResponse:
    raise RuntimeError('fault of a handler')


class ApplicationTest(unittest.TestCase):
    """Guards against requests that stop the daemon or reach a wrong route."""

    def setUp(self) -> None:
        """Build an application with one working and one failing route."""
        self.leaving = False
        self.application = build_application(
            {'/v1': _echo_path, '/v1/deeper': _fail},
            lambda: self.leaving,
        )
        self.headers: list[tuple[str, str]] = []

    def test_routes(self) -> None:
        """The longest prefix wins and unknown paths get 404."""
        cases = (
            ('/v1/a/b', '200 OK'),
            ('/v1', '200 OK'),
            ('/v10', '404 Not Found'),
            ('/v1/deeper/x', '500 Internal Server Error'),
        )
        for path, expected in cases:
            with self.subTest(path):
                self.assertEqual(self._get(path)[0], expected)

    def test_path_survives(self) -> None:
        """Escapes and the query are preserved."""
        _status, body = self._get('/v1/a b', QUERY_STRING='q=%20')
        self.assertEqual(body, b'/a%20b?q=%20')

    def test_leaving_closes_connections(self) -> None:
        """A leaving VM closes connections, so callers use another VM."""
        self._get('/v1')
        self.assertNotIn(('Connection', 'close'), self.headers)
        self.leaving = True
        self._get('/v1')
        self.assertIn(('Connection', 'close'), self.headers)

    def test_body_limit(self) -> None:
        """A body above the limit is not read into memory."""
        cases: tuple[tuple[dict[str, str], int, bytes | None], ...] = (
            ({'CONTENT_LENGTH': '5'}, 5, b'12345'),
            ({'CONTENT_LENGTH': '6'}, 5, None),
            ({'HTTP_TRANSFER_ENCODING': 'chunked'}, 4, None),
            ({'HTTP_TRANSFER_ENCODING': 'chunked'}, 5, b'12345'),
            ({}, 5, b''),
        )
        for environment_entries, limit, expected in cases:
            with self.subTest(
                environment_entries=environment_entries, limit=limit
            ):
                environment = _environment('/v1', **environment_entries)
                request = HttpRequest('POST', (), '/', {}, environment)
                self.assertEqual(request.read_body(limit), expected)

    def _get(
        self, path: str, **environment_entries: object
    ) -> tuple[str, bytes]:
        statuses: list[str] = []

        def start(status: str, headers: list[tuple[str, str]]) -> None:
            statuses.append(status)
            self.headers = headers

        body = b''.join(
            self.application(_environment(path, **environment_entries), start)
        )
        return statuses[0], body
