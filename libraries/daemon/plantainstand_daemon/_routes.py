"""HTTP routes of the daemon."""

from collections.abc import Callable, Mapping
from functools import partial
from http import HTTPStatus

from plantainstand_daemon._caller_api import (
    CallerPort,
    handle_record,
    list_entries,
    serve_request,
)
from plantainstand_daemon._http import (
    Handler,
    HttpRequest,
    HttpResponse,
    json_response,
)
from plantainstand_daemon._operator_api import (
    OperatorPort,
    handle_changes,
    handle_drains,
    handle_entries,
    handle_vms,
)

_METRICS_TYPE = ('Content-Type', 'text/plain; version=0.0.4; charset=utf-8')


def build_routes(
    caller: CallerPort,
    operator: OperatorPort,
    render_metrics: Callable[[], bytes],
    health: Callable[[], tuple[bool, Mapping[str, object]]],
) -> Mapping[str, Handler]:
    """Return the handler of each path prefix."""

    def serve_metrics(_request: HttpRequest) -> HttpResponse:
        return HttpResponse(HTTPStatus.OK, (_METRICS_TYPE,), render_metrics())

    def serve_health(_request: HttpRequest) -> HttpResponse:
        is_ready, document = health()
        status = HTTPStatus.SERVICE_UNAVAILABLE
        if is_ready:
            status = HTTPStatus.OK
        return json_response(status, document)

    return {
        '/v1/entries': partial(list_entries, caller),
        '/v1/services': partial(serve_request, caller),
        '/v1/requests': partial(handle_record, caller),
        '/operator/v1/entries': partial(handle_entries, operator),
        '/operator/v1/drains': partial(handle_drains, operator),
        '/operator/v1/vms': partial(handle_vms, operator),
        '/operator/v1/changes': partial(handle_changes, operator),
        '/operator/v1/requests': partial(handle_record, caller),
        '/metrics': serve_metrics,
        '/healthz': serve_health,
    }
