"""Feeds generated requests and responses, valid or not, to the parsers."""

import asyncio
import unittest
from datetime import timedelta

from hypothesis import given, settings
from hypothesis import strategies as st
from plantainstand_core import ManualClock
from plantainstand_http import Request, StreamSource, TargetResponse
from plantainstand_http._answer_reader import ResponseReader
from plantainstand_http._budget import LINE_COST
from plantainstand_http._reader import LONG_PART_BYTES, RequestReader

_EXAMPLES = settings(max_examples=400, deadline=timedelta(seconds=2))
_END = b'\r\n'

_METHODS = st.sampled_from((b'GET', b'POST', b'HEAD', b'FOO', b'', b'get'))
_TARGETS = st.sampled_from((b'/', b'/p/x?y=%00', b'*', b'', b'/\xff', b'a b'))
_VERSIONS = st.sampled_from(
    (b'HTTP/1.1', b'HTTP/1.0', b'HTTP/2.0', b'HTTP/9.9', b'HTTP/', b'')
)
_STATUSES = st.sampled_from(
    (b'200', b'204', b'304', b'000', b'099', b'100', b'101', b'103', b'600')
    + (b'999', b'2', b'20', b'2000', b'', b'-20')
)
_FIELDS = st.one_of(
    st.sampled_from(
        (
            b'content-length: 5',
            b'content-length: 70000',
            b'content-length: -1',
            b'content-length: 18446744073709551617',
            b'transfer-encoding: chunked',
            b'transfer-encoding: chunked, gzip',
            b'connection: close',
            b'expect: 100-continue',
            b'upgrade: h2c',
            b'keep-alive: timeout=9',
            b'x-request-id: a',
            b': empty',
            b'no colon',
            b' folded',
        )
    ),
    st.binary(max_size=12),
)
_BODIES = st.one_of(
    st.sampled_from(
        (
            b'',
            b'hello',
            b'5\r\nhello\r\n0\r\n\r\n',
            b'ffffffffffffffffff\r\n',
            b'-1\r\n\r\n',
            b'0\r\ntrailer: a\r\n\r\n',
            bytes(70_000),
        )
    ),
    st.binary(max_size=20),
)
_CUTS = st.lists(st.integers(1, 40), max_size=8)


def _message(*first: st.SearchStrategy[bytes]) -> st.SearchStrategy[bytes]:
    line = st.tuples(*first).map(b' '.join)
    lines = st.tuples(line, st.lists(_FIELDS, max_size=6)).map(
        lambda parts: _END.join((parts[0], *parts[1], b'', b''))
    )
    return st.tuples(lines, _BODIES).map(b''.join)


_REQUESTS = st.lists(
    _message(_METHODS, _TARGETS, _VERSIONS), min_size=1, max_size=3
).map(b''.join)
_RESPONSES = st.lists(
    _message(_VERSIONS, _STATUSES, st.just(b'Text')), min_size=1, max_size=3
).map(b''.join)


def _split(whole: bytes, cuts: list[int]) -> list[bytes]:
    parts = []
    for size in cuts:
        parts.append(whole[:size])
        whole = whole[size:]
    return [part for part in (*parts, whole) if part]


class GrammarTests(unittest.TestCase):
    """No exception escapes, and nothing is invented."""

    @_EXAMPLES
    @given(_REQUESTS, _CUTS)
    def test_requests(self, sent: bytes, cuts: list[int]) -> None:
        """Guards the process against what a client may send."""
        requests: list[Request] = []
        reader = RequestReader(ManualClock(), requests.append, lambda: None)
        for part in _split(sent, cuts):
            if not reader.feed(part):
                break
            bound = len(sent) + LINE_COST * sent.count(b'\n')
            self.assertLessEqual(reader.held_bytes, bound + LONG_PART_BYTES)
        for request in requests:
            self._check_headers(sent, request.headers)
            self.assertIn(request.request_target, sent)
            self.assertLessEqual(request.body_bytes, len(sent))

    @_EXAMPLES
    @given(_RESPONSES, _CUTS, st.booleans())
    def test_responses(
        self, sent: bytes, cuts: list[int], head_only: bool
    ) -> None:
        """Guards the process and clients against what a target may send."""
        asyncio.run(self._check_responses(sent, cuts, head_only=head_only))

    async def _check_responses(
        self, sent: bytes, cuts: list[int], *, head_only: bool
    ) -> None:
        answers: list[TargetResponse] = []
        reader = ResponseReader(answers.append, lambda: None)
        source = StreamSource(lambda: None, lambda: None, lambda: None)
        reader.expect((b'x-request-id', None), source, head_only=head_only)
        for part in _split(sent, cuts):
            fault = reader.feed(part)
            if fault is not None or not reader.is_expecting:
                break
        reader.end_input()
        self.assertLessEqual(len(answers), 1)
        for answer in answers:
            self.assertIn(answer.status, range(200, 600))
            self._check_headers(sent, answer.headers)
            self.assertLessEqual(len(answer.body), len(sent))

    def _check_headers(
        self, sent: bytes, headers: tuple[tuple[bytes, bytes], ...]
    ) -> None:
        for name, content in headers:
            self.assertIn(name, sent.lower())
            self.assertIn(content, sent)
