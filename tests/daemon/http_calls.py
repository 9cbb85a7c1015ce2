"""Calls to a WSGI application without a server."""

import io
from collections.abc import Mapping
from dataclasses import dataclass
from threading import Event
from types import MappingProxyType
from typing import Any, cast
from urllib.parse import unquote_to_bytes

import msgspec
from plantainstand_daemon._caller_api import CallerPort
from plantainstand_daemon._http import Application, build_application
from plantainstand_daemon._operator_api import OperatorPort
from plantainstand_daemon._routes import build_routes

_Start = tuple[str, list[tuple[str, str]]]
_NO_HEADERS: Mapping[str, str] = MappingProxyType({})


@dataclass(frozen=True)
class HttpReply:
    """Response as a caller receives it."""

    status: int
    headers: Mapping[str, str]
    body: bytes

    @property
    def document(self) -> Any:
        """Decoded JSON body."""
        return msgspec.json.decode(self.body)


def call(
    application: Application,
    method: str,
    uri: str,
    body: bytes = b'',
    headers: Mapping[str, str] = _NO_HEADERS,
) -> HttpReply:
    """Call an application with the environment that CherryPy builds."""
    path, _mark, query = uri.partition('?')
    environment: dict[str, Any] = {
        'REQUEST_METHOD': method,
        'REQUEST_URI': uri,
        'PATH_INFO': '%2F'.join(
            unquote_to_bytes(part).decode('latin-1')
            for part in path.split('%2F')
        ),
        'QUERY_STRING': query,
        'wsgi.input': io.BytesIO(body),
    }
    if body:
        environment['CONTENT_LENGTH'] = str(len(body))
    for name, text in headers.items():
        key = name.upper().replace('-', '_')
        environment[f'HTTP_{key}'] = text
    started: list[_Start] = []
    chunks = application(
        environment,
        lambda line, found: started.append((line, found)),
    )
    status, found = started[0]
    return HttpReply(int(status[:3]), dict(found), b''.join(chunks))


def _render_metrics() -> bytes:
    return b'in_flight 0\n'


def _health() -> tuple[bool, Mapping[str, object]]:
    return False, {'vm': 'bajio-a-1', 'has_authority': False}


def build_test_application(
    caller: CallerPort | None = None,
    operator: OperatorPort | None = None,
) -> Application:
    """Build all routes; those without a port must not be called."""
    routes = build_routes(
        cast(CallerPort, caller),
        cast(OperatorPort, operator),
        _render_metrics,
        _health,
    )
    return build_application(routes, Event().is_set)
