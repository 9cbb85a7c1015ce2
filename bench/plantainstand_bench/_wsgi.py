"""Small helpers for WSGI callables."""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any, TypeAlias

import msgspec

Environment: TypeAlias = dict[str, Any]
StartResponse: TypeAlias = Callable[[str, list[tuple[str, str]]], object]
WsgiCallable: TypeAlias = Callable[
    [Environment, StartResponse],
    Iterable[bytes],
]


@dataclass(frozen=True)
class Answer:
    """Status, headers and JSON body of an HTTP answer."""

    status: HTTPStatus
    document: object
    headers: Mapping[str, str]
    padded_bytes: int = 0
    """Length that the body is padded to with spaces."""


def make_answer(
    status: HTTPStatus,
    document: object,
    padded_bytes: int = 0,
    **headers: str,
) -> Answer:
    """Build an answer; underscores in header names become hyphens."""
    named = {name.replace('_', '-'): text for name, text in headers.items()}
    return Answer(status, document, named, padded_bytes)


def send_answer(answer: Answer, start_response: StartResponse) -> list[bytes]:
    """Start the response and return the body."""
    body = msgspec.json.encode(answer.document).ljust(answer.padded_bytes)
    headers = [
        ('Content-Type', 'application/json'),
        ('Content-Length', str(len(body))),
        *answer.headers.items(),
    ]
    status = f'{answer.status.value} {answer.status.phrase}'
    start_response(status, headers)
    return [body]


def read_body(environment: Environment) -> bytes:
    """Read the request body by its stated length."""
    length = int(environment.get('CONTENT_LENGTH') or 0)
    body: bytes = environment['wsgi.input'].read(length) if length else b''
    return body
