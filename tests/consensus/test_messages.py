"""Tests of the decoding of messages."""

import unittest

from plantainstand_consensus import decode_message, encode_message
from plantainstand_consensus._messages import JoinRequest
from plantainstand_core import DiskId

_MESSAGE = JoinRequest(DiskId('1'), founding=False)
_BROKEN = (
    ('empty', b''),
    ('truncated', encode_message(_MESSAGE)[:-1]),
    ('unknown tag', encode_message(_MESSAGE).replace(b'Join', b'Jump')),
    ('not a message', b'\x93\x01\x02\x03'),
    ('invalid UTF-8', b'\x93\xabJoinRequest\xa1\xff\xc2'),
)


class DecodeTest(unittest.TestCase):
    """Guards against a process that stops because of a broken message."""

    def test_broken_message(self) -> None:
        """Broken payloads return a problem; a complete one is decoded."""
        whole = decode_message(encode_message(_MESSAGE))
        self.assertEqual(whole.unwrap(), _MESSAGE)
        for name, payload in _BROKEN:
            with self.subTest(name):
                self.assertTrue(decode_message(payload).is_err())
