"""HTTP/1.1 server and pooled client on one event loop."""

from plantainstand_http._client import (
    Answer,
    ExchangeFailure,
    FailureKind,
    TargetPool,
)
from plantainstand_http._messages import (
    Headers,
    Request,
    Response,
    encode_request,
    header_value,
    json_response,
)
from plantainstand_http._server import (
    ClientLimits,
    Handler,
    HttpServer,
)

__all__ = (
    'Answer',
    'ClientLimits',
    'ExchangeFailure',
    'FailureKind',
    'Handler',
    'Headers',
    'HttpServer',
    'Request',
    'Response',
    'TargetPool',
    'encode_request',
    'header_value',
    'json_response',
)
