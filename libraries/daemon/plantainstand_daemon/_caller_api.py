"""HTTP routes for callers."""

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from http import HTTPStatus
from types import MappingProxyType

from plantainstand_catalogue import Service
from plantainstand_core import (
    AvailabilityZoneId,
    Clock,
    RequestId,
    RequestOutcome,
    ServiceId,
    VmId,
)
from result import Err, Ok, Result

from plantainstand_daemon._dispatch import (
    DEADLINE_HEADER,
    OUTCOME_HEADER,
    REQUEST_ID_HEADER,
)
from plantainstand_daemon._http import (
    HttpRequest,
    HttpResponse,
    error_response,
    json_response,
    whole_number,
)
from plantainstand_daemon._messages import Reply, SteeredRequest

SERVED_BY_HEADER = 'Served-By'

_MAX_REQUEST_ID_LENGTH = 128
_OUTCOME_STATUS = MappingProxyType(
    {
        RequestOutcome.NOT_RUN: HTTPStatus.SERVICE_UNAVAILABLE,
        RequestOutcome.UNKNOWN: HTTPStatus.GATEWAY_TIMEOUT,
    }
)


@dataclass(frozen=True)
class RequestRefused:
    """Why a request is refused, with the status of the response."""

    status: HTTPStatus
    message: str


ReplyResult = Result[Reply, RequestRefused]


@dataclass(frozen=True)
class CallerPort:
    """Functions of the daemon that the caller routes use.

    All of them are thread-safe.
    """

    find_service: Callable[[ServiceId], Service | None]
    serve: Callable[[SteeredRequest], ReplyResult]
    """Steers a request; blocks until the reply."""

    lookup: Callable[[str], ReplyResult]
    """Reads the recorded outcome of a non-idempotent request."""

    cancel: Callable[[str], ReplyResult]
    """Cancels a non-idempotent request that was not admitted yet."""

    list_entries: Callable[[str, AvailabilityZoneId], bytes]
    """Returns the JSON list of entry VMs for a caller id and its zone."""

    vm: VmId
    clock: Clock


def serve_request(port: CallerPort, request: HttpRequest) -> HttpResponse:
    """Handle ``/v1/services/<service>/<path>``."""
    if not request.segments:
        return error_response(HTTPStatus.NOT_FOUND, 'the path names no service')
    service_id = ServiceId(request.segments[0])
    service = port.find_service(service_id)
    if service is None:
        return error_response(
            HTTPStatus.NOT_FOUND,
            f'the catalogue has no service `{service_id}`',
        )
    parsed = _parse(port, request, service)
    if isinstance(parsed, Err):
        return _refusal_response(parsed.err_value)
    steered = parsed.ok_value
    return _reply_response(port, steered.request_id, port.serve(steered))


def list_entries(port: CallerPort, request: HttpRequest) -> HttpResponse:
    """Handle ``GET /v1/entries``."""
    if request.method != 'GET':
        return error_response(HTTPStatus.METHOD_NOT_ALLOWED, 'use GET')
    zone = AvailabilityZoneId(request.query.get('availability_zone', ''))
    body = port.list_entries(request.query.get('caller', ''), zone)
    headers = (('Content-Type', 'application/json'),)
    return HttpResponse(HTTPStatus.OK, headers, body)


def handle_record(port: CallerPort, request: HttpRequest) -> HttpResponse:
    """Handle ``GET`` and ``DELETE /v1/requests/<id>``."""
    actions = {'GET': port.lookup, 'DELETE': port.cancel}
    action = actions.get(request.method)
    if action is None:
        return error_response(
            HTTPStatus.METHOD_NOT_ALLOWED,
            'use GET for the outcome or DELETE to cancel',
        )
    if len(request.segments) != 1:
        return error_response(
            HTTPStatus.NOT_FOUND,
            'the path must be /v1/requests/<request id>',
        )
    request_id = RequestId(request.segments[0])
    return _reply_response(port, request_id, action(request_id))


def _parse(
    port: CallerPort,
    request: HttpRequest,
    service: Service,
) -> Result[SteeredRequest, RequestRefused]:
    request_id = request.header(REQUEST_ID_HEADER) or ''
    if not request_id or len(request_id) > _MAX_REQUEST_ID_LENGTH:
        return _bad_request(
            f'`{REQUEST_ID_HEADER}` is missing or longer than '
            f'{_MAX_REQUEST_ID_LENGTH} characters; send a UUID version 7',
        )
    time_left = _parse_time_left(request, service)
    if isinstance(time_left, Err):
        return time_left
    body = request.read_body(service.limits.request_bytes)
    if body is None:
        return Err(
            RequestRefused(
                HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
                f'the body is larger than the {service.limits.request_bytes} '
                f'bytes that the catalogue allows for `{service.id}`',
            ),
        )
    return Ok(
        SteeredRequest(
            RequestId(request_id),
            service.service_id,
            request.method,
            request.raw_path.removeprefix(f'/{service.id}') or '/',
            request.headers(),
            body,
            port.clock.monotonic() + time_left.ok_value,
            request.header('traceparent') or '',
        ),
    )


def _parse_time_left(
    request: HttpRequest,
    service: Service,
) -> Result[timedelta, RequestRefused]:
    longest = service.limits.deadline_ms
    text = request.header(DEADLINE_HEADER)
    if text is None:
        return Ok(timedelta(milliseconds=longest))
    milliseconds = whole_number(text)
    if not milliseconds:
        return _bad_request(
            f'`{DEADLINE_HEADER}` must be a whole number of milliseconds '
            f'above zero, not `{text}`',
        )
    return Ok(timedelta(milliseconds=min(milliseconds, longest)))


def _bad_request(message: str) -> Err[RequestRefused]:
    return Err(RequestRefused(HTTPStatus.BAD_REQUEST, message))


def _refusal_response(refused: RequestRefused) -> HttpResponse:
    return error_response(refused.status, refused.message)


def _reply_response(
    port: CallerPort,
    request_id: RequestId,
    outcome: ReplyResult,
) -> HttpResponse:
    if isinstance(outcome, Err):
        return _refusal_response(outcome.err_value)
    reply = outcome.ok_value
    headers = [
        (REQUEST_ID_HEADER, request_id),
        (OUTCOME_HEADER, reply.outcome.value),
        (SERVED_BY_HEADER, reply.served_by or port.vm),
        *reply.headers,
    ]
    if reply.answer is None:
        return json_response(
            _OUTCOME_STATUS[reply.outcome],
            {'error': reply.outcome.value, 'message': reply.reason},
            headers,
        )
    answer = reply.answer
    own_names = {name.lower() for name, _text in headers}
    target_headers = [
        pair for pair in answer.headers if pair[0].lower() not in own_names
    ]
    return HttpResponse(answer.status, (*target_headers, *headers), answer.body)
