"""Encoding of replies between entry VMs."""

import unittest

from plantainstand_core import RequestOutcome
from plantainstand_daemon._forward import decode_reply, encode_reply
from plantainstand_daemon._messages import Answer, Reply, not_run, unknown
from plantainstand_protocol.steering_pb2 import ForwardReply, VmSummary

_REPLIES = (
    Reply(
        RequestOutcome.ANSWERED,
        Answer(201, [('Content-Type', 'text/plain')], b'order 7'),
        served_by='bajio-a-1 target/order-1',
    ),
    Reply(RequestOutcome.ANSWERED, Answer(204, [], b'')),
    not_run('no slot'),
    unknown('the connection went silent'),
)


class ForwardReplyTest(unittest.TestCase):
    """Guards against outcomes that change when they are encoded."""

    def test_round_trip(self) -> None:
        """Outcome, answer and reason are preserved."""
        for reply in _REPLIES:
            with self.subTest(reply=reply):
                message = encode_reply(reply, VmSummary())
                read = ForwardReply.FromString(message.SerializeToString())
                self.assertEqual(decode_reply(read), reply)

    def test_empty_message(self) -> None:
        """A message without an outcome is read as unknown."""
        read = decode_reply(ForwardReply())
        self.assertIs(read.outcome, RequestOutcome.UNKNOWN)
