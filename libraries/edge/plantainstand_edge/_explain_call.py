"""The call ``GET /explain`` of operators."""

from collections.abc import Callable
from http import HTTPStatus
from urllib.parse import parse_qs

import msgspec
from plantainstand_desired import AccountName
from plantainstand_http import Response

from plantainstand_edge._explanation import ExplainQuestion, Explanation

EXPLAIN_PATH = b'/explain'

_JSON_HEADERS = ((b'content-type', b'application/json'),)


def answer_explain(
    query: bytes, explain: Callable[[ExplainQuestion], Explanation]
) -> Response:
    """Answer with the explanation as JSON; 400 without host or path."""
    stated = {name: given[-1] for name, given in parse_qs(query).items()}
    host = _text(stated.get(b'host', b''))
    path = _text(stated.get(b'path', b''))
    if not host or not path.startswith('/'):
        problem = {
            'error': 'invalid query',
            'message': 'host, and a path that begins with /, are required',
        }
        return _json(HTTPStatus.BAD_REQUEST, problem)
    account = stated.get(b'account')
    question = ExplainQuestion(
        host=host,
        path=path.partition('?')[0],
        object_key=stated.get(b'object'),
        account=None if account is None else AccountName(_text(account)),
    )
    return _json(HTTPStatus.OK, explain(question))


def _text(encoded: bytes) -> str:
    return encoded.decode(errors='replace')


def _json(status: HTTPStatus, document: object) -> Response:
    return Response(status, _JSON_HEADERS, msgspec.json.encode(document))
