"""Responses that an entry VM makes itself."""

from dataclasses import replace
from datetime import timedelta
from http import HTTPStatus
from types import MappingProxyType

import structlog
from plantainstand_desired import DesiredView, RouteMatch
from plantainstand_http import Response
from plantainstand_telemetry import Metrics

from plantainstand_edge._access import AccessDenial
from plantainstand_edge._header_codec import (
    MAX_LOGGED_BYTES,
    HeaderCodec,
    RequestMetadata,
)

_log = structlog.get_logger()

NOT_READY_RETRY_AFTER = timedelta(milliseconds=500)
"""Retry-After of a VM that has no desired state yet."""

DENIAL_RESPONSES = MappingProxyType(
    {
        AccessDenial.UNKNOWN_KEY: (HTTPStatus.UNAUTHORIZED, None),
        AccessDenial.UNCONFIRMED_KEYS: (
            HTTPStatus.SERVICE_UNAVAILABLE,
            NOT_READY_RETRY_AFTER,
        ),
        AccessDenial.NO_HOME_REGION: (HTTPStatus.SERVICE_UNAVAILABLE, None),
    }
)


class LocalResponses:
    """Builds responses, and logs and counts those to denied requests."""

    def __init__(
        self,
        header_codec: HeaderCodec,
        desired_view: DesiredView,
        metrics: Metrics,
    ):
        """Log the index of ``desired_view`` with each denied request."""
        self._header_codec = header_codec
        self._desired_view = desired_view
        self._metrics = metrics

    def denied(
        self, metadata: RequestMetadata, match: RouteMatch, denial: AccessDenial
    ) -> Response:
        """Respond to a request that may not run for its key."""
        status, retry_after = DENIAL_RESPONSES[denial]
        _log.info(
            'request denied',
            request=metadata.log_id,
            route=match.name,
            desired_index=self._desired_view.index,
            status=int(status),
            outcome=denial.value,
        )
        self._metrics.count(
            'plantainstand_entry_requests_total',
            outcome=denial.value,
        )
        response = self.local(metadata, status, denial.value, retry_after)
        if status is HTTPStatus.UNAUTHORIZED:
            headers = (*response.headers, *self._header_codec.key_challenge)
            return replace(response, headers=headers)
        return response

    def unmatched(self, metadata: RequestMetadata) -> Response:
        """Respond to a request that no route matches."""
        status, retry_after = unmatched_response(self._desired_view)
        _log.info(
            'request without a route',
            request=metadata.log_id,
            host=metadata.host[:MAX_LOGGED_BYTES],
            path=metadata.path[:MAX_LOGGED_BYTES],
            desired_index=self._desired_view.index,
            status=int(status),
        )
        self._metrics.count(
            'plantainstand_entry_requests_total',
            outcome='no route',
        )
        return self.local(metadata, status, 'no route', retry_after)

    def local(
        self,
        metadata: RequestMetadata | None,
        status: HTTPStatus,
        reason: str,
        retry_after: timedelta | None = None,
    ) -> Response:
        """Respond with a text, and the time after which to retry, if any."""
        request_id = b'' if metadata is None else metadata.request_id
        headers = self._header_codec.local_response_headers(
            request_id, retry_after
        )
        return Response(status, headers, reason.encode())


def unmatched_response(
    view: DesiredView,
) -> tuple[HTTPStatus, timedelta | None]:
    """Return status and Retry-After for a request that no route matches."""
    if view.has_routes:
        return HTTPStatus.NOT_FOUND, None
    return HTTPStatus.SERVICE_UNAVAILABLE, NOT_READY_RETRY_AFTER
