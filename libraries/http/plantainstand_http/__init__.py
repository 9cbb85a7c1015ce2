"""HTTP/1.1 server and pooled client on one event loop."""

from plantainstand_http._answer_reader import TargetResponse
from plantainstand_http._budget import (
    BudgetLimits,
    ClientBudget,
    MemoryAccount,
    budget_help,
    process_budget,
)
from plantainstand_http._client import (
    CONNECT_TIMEOUT,
    TargetConnectionPool,
    read_whole,
)
from plantainstand_http._messages import (
    Headers,
    Request,
    Response,
    encode_request,
    header_value,
    json_response,
)
from plantainstand_http._pipeline import SHORT_CALLS, ClientLimits, Handler
from plantainstand_http._server import HttpServer
from plantainstand_http._stream import (
    BodyStream,
    ExchangeFailure,
    FailureKind,
    StreamEnd,
    StreamSource,
)

__all__ = (
    'CONNECT_TIMEOUT',
    'SHORT_CALLS',
    'TargetResponse',
    'BodyStream',
    'BudgetLimits',
    'ClientBudget',
    'ClientLimits',
    'ExchangeFailure',
    'FailureKind',
    'Handler',
    'Headers',
    'HttpServer',
    'MemoryAccount',
    'Request',
    'Response',
    'StreamEnd',
    'StreamSource',
    'TargetConnectionPool',
    'budget_help',
    'encode_request',
    'header_value',
    'json_response',
    'process_budget',
    'read_whole',
)
