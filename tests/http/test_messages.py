"""Guards which header fields are forwarded."""

import unittest
from datetime import timedelta

from plantainstand_http import Request, Response, encode_request
from plantainstand_http._messages import encode_response


class EncodeTests(unittest.TestCase):
    """Framing headers of one connection must not reach another."""

    def test_request(self) -> None:
        """Chunked bodies get a length; hop-by-hop headers are removed."""
        request = Request(
            b'POST',
            b'/orders?x=1',
            (
                (b'host', b'shop'),
                (b'connection', b'keep-alive, X-Hop'),
                (b'x-hop', b'1'),
                (b'transfer-encoding', b'chunked'),
                (b'x-deadline-ms', b'900'),
            ),
            b'body',
            timedelta(),
        )
        encoded = encode_request(request, ((b'x-deadline-ms', b'100'),))
        self.assertEqual(
            encoded,
            b'POST /orders?x=1 HTTP/1.1\r\nhost: shop\r\nx-deadline-ms: 100'
            b'\r\ncontent-length: 4\r\n\r\nbody',
        )

    def test_response(self) -> None:
        """Bodiless responses have no length; HEAD keeps the stated one."""
        length = ((b'content-length', b'9'),)
        cases = (
            (Response(204), False, b''),
            (Response(200, (), b'ok'), False, b'content-length: 2\r\n'),
            (Response(200, length), True, b'content-length: 9\r\n'),
        )
        for response, head_only, expected in cases:
            with self.subTest(response):
                encoded = encode_response(
                    response,
                    close=False,
                    head_only=head_only,
                )
                head = encoded.partition(b'\r\n')[2]
                self.assertTrue(head.startswith(expected))
