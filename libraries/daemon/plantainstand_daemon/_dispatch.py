"""HTTP client for attempts at targets; its calls block a worker thread."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from datetime import timedelta
from enum import Enum
from http import HTTPStatus

import msgspec
import urllib3
from plantainstand_core import RequestOutcome, TargetId
from urllib3.exceptions import (
    ClosedPoolError,
    ConnectTimeoutError,
    HTTPError,
    NewConnectionError,
)

from plantainstand_daemon._messages import Answer, SteeredRequest
from plantainstand_daemon._target_connection import TargetPool, read_body

REQUEST_ID_HEADER = 'Request-Id'
DEADLINE_HEADER = 'Request-Deadline-Ms'
OUTCOME_HEADER = 'Request-Outcome'

_CONNECT_TIMEOUT_SECONDS = 0.5
_SHORT_CALL_TIMEOUT_SECONDS = 1.0
# The target stops at the request's deadline; the margin lets its refusal or
# answer arrive before reading stops.
_READ_MARGIN_SECONDS = 0.2
_SHORT_BODY_BYTES = 65536
_NO_TIME = timedelta(0)
_MILLISECOND = timedelta(milliseconds=1)
_NOT_SENT_ERRORS = (NewConnectionError, ConnectTimeoutError, ClosedPoolError)
_UNFORWARDED_HEADERS = frozenset(
    (
        'connection',
        'content-length',
        'host',
        'keep-alive',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    )
)


class DispatchOutcome(Enum):
    """Outcome of one attempt at a target."""

    ANSWERED = 'answered'
    REFUSED = 'refused'
    """The target reports that the request did not run."""

    UNREACHABLE = 'unreachable'
    """The request was not sent, so it did not run."""

    UNKNOWN = 'unknown'
    """The target may have run the request or may still run it."""


@dataclass(frozen=True)
class DispatchReport:
    """Outcome of one attempt at a target, with its answer or reason."""

    outcome: DispatchOutcome
    answer: Answer | None = None
    reason: str = ''


@dataclass(frozen=True)
class TargetAddress:
    """Network address of a target and the limit on connections to it."""

    target: TargetId
    host: str
    port: int
    max_connections: int


@dataclass(frozen=True)
class AttemptLimits:
    """Limits of one attempt."""

    response_bytes: int
    """Largest response body."""

    may_reuse_connection: bool
    """Whether the attempt may use a pooled connection.

    A non-idempotent request gets a new connection: on a pooled connection
    that has gone silent, its outcome would be unknown.
    """


class TargetClient:
    """HTTP client for targets; thread-safe."""

    def __init__(self) -> None:
        """Start without open connections."""
        self._pools: dict[TargetAddress, TargetPool] = {}

    def close(self) -> None:
        """Close the pooled connections."""
        for pool in self._pools.values():
            pool.close()
        self._pools = {}

    def send(
        self,
        address: TargetAddress,
        request: SteeredRequest,
        time_left: Callable[[], timedelta],
        limits: AttemptLimits,
    ) -> DispatchReport:
        """Make one attempt; blocks until its end or its deadline.

        ``time_left`` is called just before sending and returns zero or less if
        the VM may no longer send: the process may have been paused since the
        request was admitted.
        """
        left = time_left()
        if left <= _NO_TIME:
            return DispatchReport(
                DispatchOutcome.UNREACHABLE,
                reason='the time to send the request has passed',
            )
        return self._send_request(address, request, left, limits)

    def cancel(self, address: TargetAddress, request_id: str) -> str:
        """Ask the target to cancel a request; return the state it reports.

        Returns an empty string without a readable reply. The pooled connections
        are closed: an attempt that needs to be cancelled is late, possibly
        because established connections to this target have gone silent.
        """
        self.close_connections(address)
        pool = _new_pool(address)
        document = _call_json(pool, 'DELETE', f'/requests/{request_id}')
        return '' if document is None else str(document.get('state', ''))

    def read_json(
        self,
        address: TargetAddress,
        path: str,
    ) -> Mapping[str, object] | None:
        """Read a small JSON object, such as a health report.

        Returns ``None`` without a readable reply.
        """
        return _call_json(self._pool(address), 'GET', path)

    def close_connections(self, address: TargetAddress) -> None:
        """Close the pooled connections to a target."""
        pool = self._pools.pop(address, None)
        if pool is not None:
            pool.close()

    def _send_request(
        self,
        address: TargetAddress,
        request: SteeredRequest,
        time_left: timedelta,
        limits: AttemptLimits,
    ) -> DispatchReport:
        may_reuse = limits.may_reuse_connection
        pool = self._pool(address) if may_reuse else _new_pool(address)
        try:
            response = pool.urlopen(
                request.method,
                request.path,
                body=request.body or None,
                headers=_target_headers(request, time_left),
                timeout=_timeout(time_left),
                retries=False,
                redirect=False,
                preload_content=False,
            )
        except _NOT_SENT_ERRORS as problem:
            return DispatchReport(
                DispatchOutcome.UNREACHABLE,
                reason=f'no connection to {address.target}: {problem}',
            )
        except (HTTPError, OSError) as problem:
            return _unknown(f'{address.target}: {problem!r}')
        report = _read_report(response, request, address, limits)
        if not may_reuse:
            pool.close()
        return report

    def _pool(self, address: TargetAddress) -> TargetPool:
        pool = self._pools.get(address)
        if pool is None:
            pool = _new_pool(address)
            pool = self._pools.setdefault(address, pool)
        return pool


def _new_pool(address: TargetAddress) -> TargetPool:
    return TargetPool(
        address.host, address.port, maxsize=address.max_connections
    )


def _call_json(
    pool: TargetPool,
    method: str,
    path: str,
) -> Mapping[str, object] | None:
    try:
        response = pool.urlopen(
            method,
            path,
            timeout=_SHORT_CALL_TIMEOUT_SECONDS,
            retries=False,
            preload_content=False,
        )
    except (HTTPError, OSError):
        return None
    body = read_body(response, _SHORT_BODY_BYTES)
    try:
        document = msgspec.json.decode(body or b'')
    except (msgspec.DecodeError, RecursionError):
        return None
    return document if isinstance(document, dict) else None


def _timeout(time_left: timedelta) -> urllib3.Timeout:
    return urllib3.Timeout(
        connect=min(_CONNECT_TIMEOUT_SECONDS, time_left.total_seconds()),
        read=time_left.total_seconds() + _READ_MARGIN_SECONDS,
    )


def _target_headers(
    request: SteeredRequest,
    time_left: timedelta,
) -> dict[str, str]:
    headers = {
        name: text
        for name, text in request.headers
        if name.lower() not in _UNFORWARDED_HEADERS
    }
    headers[REQUEST_ID_HEADER] = request.request_id
    headers[DEADLINE_HEADER] = str(max(time_left // _MILLISECOND, 1))
    if request.traceparent:
        headers['traceparent'] = request.traceparent
    return headers


def _read_report(
    response: urllib3.BaseHTTPResponse,
    request: SteeredRequest,
    address: TargetAddress,
    limits: AttemptLimits,
) -> DispatchReport:
    if response.headers.get(REQUEST_ID_HEADER) != request.request_id:
        # The response on this connection belongs to another request.
        response.close()
        return _unknown(f'{address.target} answered another request')
    if _reports_not_run(response):
        read_body(response, _SHORT_BODY_BYTES)
        return DispatchReport(
            DispatchOutcome.REFUSED,
            reason=f'{address.target} refused the request',
        )
    body = read_body(response, limits.response_bytes)
    if body is None:
        return _unknown(f'the answer of {address.target} was cut or too large')
    return DispatchReport(
        DispatchOutcome.ANSWERED,
        Answer(response.status, _answer_headers(response), body),
    )


def _reports_not_run(response: urllib3.BaseHTTPResponse) -> bool:
    outcome = response.headers.get(OUTCOME_HEADER)
    return (
        response.status == HTTPStatus.SERVICE_UNAVAILABLE
        and outcome == RequestOutcome.NOT_RUN.value
    )


def _answer_headers(
    response: urllib3.BaseHTTPResponse,
) -> list[tuple[str, str]]:
    return [
        (name, text)
        for name, text in response.headers.items()
        if name.lower() not in _UNFORWARDED_HEADERS
    ]


def _unknown(reason: str) -> DispatchReport:
    return DispatchReport(DispatchOutcome.UNKNOWN, reason=reason)
