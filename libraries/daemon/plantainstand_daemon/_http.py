"""Minimal WSGI layer with typed requests, responses and a route table."""

from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any
from urllib.parse import parse_qsl, quote

import msgspec
import structlog

_log = structlog.get_logger()

_JSON_HEADERS = (('Content-Type', 'application/json'),)
_HEADER_PREFIX = 'HTTP_'
# Numbers of 18 digits fit into 64 bits, and Python raises an error for
# thousands of digits.
_MAX_NUMBER_DIGITS = 18

Environment = Mapping[str, Any]
StartResponse = Callable[[str, list[tuple[str, str]]], object]
Application = Callable[[Environment, StartResponse], Iterable[bytes]]


@dataclass(frozen=True)
class HttpRequest:
    """One HTTP request."""

    method: str
    segments: Sequence[str]
    """Path segments after the prefix of the route."""

    raw_path: str
    """Path and query after the prefix of the route, as received."""

    query: Mapping[str, str]
    environment: Environment

    def header(self, name: str) -> str | None:
        """Return the value of a header, or ``None``."""
        key = name.upper().replace('-', '_')
        if key != 'CONTENT_TYPE':
            key = f'{_HEADER_PREFIX}{key}'
        text = self.environment.get(key)
        return None if text is None else str(text)

    def headers(self) -> list[tuple[str, str]]:
        """Return all headers except ``Content-Length``."""
        found = [
            (key.removeprefix(_HEADER_PREFIX).replace('_', '-').title(), text)
            for key, text in self.environment.items()
            if key.startswith(_HEADER_PREFIX)
        ]
        content_type = self.environment.get('CONTENT_TYPE')
        if content_type:
            found.append(('Content-Type', content_type))
        return found

    def read_body(self, limit_bytes: int) -> bytes | None:
        """Return the body, or ``None`` if it is larger than the limit."""
        length = self.environment.get('CONTENT_LENGTH')
        if length and int(length) > limit_bytes:
            return None
        if not length and not self.environment.get('HTTP_TRANSFER_ENCODING'):
            return b''
        body: bytes = self.environment['wsgi.input'].read(limit_bytes + 1)
        return None if len(body) > limit_bytes else body


@dataclass(frozen=True)
class HttpResponse:
    """One HTTP response."""

    status: int
    headers: Sequence[tuple[str, str]]
    body: bytes


Handler = Callable[[HttpRequest], HttpResponse]


def whole_number(text: str) -> int | None:
    """Parse a number of 1 to 18 ASCII digits; return ``None`` otherwise."""
    if len(text) > _MAX_NUMBER_DIGITS or not (
        text.isascii() and text.isdigit()
    ):
        return None
    return int(text)


def json_response(
    status: HTTPStatus,
    document: object,
    headers: Sequence[tuple[str, str]] = (),
) -> HttpResponse:
    """Build a response with a JSON document."""
    return HttpResponse(
        status,
        (*_JSON_HEADERS, *headers),
        msgspec.json.encode(document),
    )


def error_response(
    status: HTTPStatus,
    message: str,
    headers: Sequence[tuple[str, str]] = (),
) -> HttpResponse:
    """Build a JSON response with an error message."""
    return json_response(
        status,
        {'error': status.phrase.lower(), 'message': message},
        headers,
    )


def build_application(
    routes: Mapping[str, Handler],
    is_leaving: Callable[[], bool],
) -> Application:
    """Build a WSGI application that routes by the longest path prefix.

    An unexpected exception in a handler becomes a 500 response to that request
    only. While the VM is leaving, every response closes its connection, so that
    the caller's next request goes to another VM.
    """
    prefixes = sorted(routes, key=len, reverse=True)

    def application(
        environment: Environment,
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        response = _respond(environment, routes, prefixes)
        headers = [
            *response.headers,
            ('Content-Length', str(len(response.body))),
        ]
        if is_leaving():
            headers.append(('Connection', 'close'))
        start_response(_status_line(response.status), headers)
        return (response.body,)

    return application


def _respond(
    environment: Environment,
    routes: Mapping[str, Handler],
    prefixes: Sequence[str],
) -> HttpResponse:
    path = environment.get('PATH_INFO', '/')
    for prefix in prefixes:
        if path == prefix or path.startswith(f'{prefix}/'):
            return _handle(environment, routes[prefix], path, prefix)
    return error_response(
        HTTPStatus.NOT_FOUND,
        f'no route for {path}; docs/interfaces.md lists the routes',
    )


def _handle(
    environment: Environment,
    handler: Handler,
    path: str,
    prefix: str,
) -> HttpResponse:
    rest = path.removeprefix(prefix)
    query = environment.get('QUERY_STRING', '')
    request = HttpRequest(
        environment['REQUEST_METHOD'],
        [segment for segment in rest.split('/') if segment],
        _raw_path(environment, prefix, rest),
        dict(parse_qsl(query)),
        environment,
    )
    try:
        return handler(request)
    except Exception:
        _log.exception('request handler failed', path=path)
        return error_response(
            HTTPStatus.INTERNAL_SERVER_ERROR,
            'internal error; the log of this VM has the details',
        )


def _raw_path(environment: Environment, prefix: str, rest: str) -> str:
    uri: str = environment.get('REQUEST_URI', '')
    if uri.startswith(prefix):
        return uri.removeprefix(prefix) or '/'
    # The request target is an absolute URL or has an escaped prefix. WSGI
    # passes the path decoded as Latin-1.
    query = environment.get('QUERY_STRING', '')
    path = quote(rest.encode('latin-1')) or '/'
    return f'{path}?{query}' if query else path


def _status_line(status: int) -> str:
    try:
        return f'{status} {HTTPStatus(status).phrase}'
    except ValueError:
        return f'{status} Unknown'
