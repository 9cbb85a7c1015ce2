"""Tests of the channel pool: results of failed calls, and replacement."""

import asyncio
import unittest
from collections.abc import Awaitable, Callable
from datetime import timedelta

from grpclib.client import Channel
from grpclib.exceptions import GRPCError, StreamTerminatedError
from grpclib.server import Server, Stream
from plantainstand_protocol import CallFailure, ChannelPool, Endpoint
from plantainstand_protocol.steering_grpc import SteeringBase, SteeringStub
from plantainstand_protocol.steering_pb2 import (
    ExchangeReply,
    ExchangeRequest,
    ForwardReply,
    ForwardRequest,
)

_HOST = '127.0.0.1'
_LONG_TIMEOUT = timedelta(seconds=5)
_SHORT_TIMEOUT = timedelta(milliseconds=100)

Method = Callable[[Channel], Awaitable[ExchangeReply]]


class _Service(SteeringBase):
    def __init__(self) -> None:
        self.is_unresponsive = False

    async def Forward(  # noqa: N802
        self,
        stream: Stream[ForwardRequest, ForwardReply],
    ) -> None:
        raise NotImplementedError

    async def Exchange(  # noqa: N802
        self,
        stream: Stream[ExchangeRequest, ExchangeReply],
    ) -> None:
        await stream.recv_message()
        if self.is_unresponsive:
            await asyncio.sleep(_LONG_TIMEOUT.total_seconds())
        await stream.send_message(ExchangeReply())


async def _exchange(channel: Channel) -> ExchangeReply:
    stub = SteeringStub(channel)
    reply: ExchangeReply = await stub.Exchange(ExchangeRequest())
    return reply


def _raising(problem: Exception) -> Method:
    async def method(_channel: Channel) -> ExchangeReply:
        raise problem

    return method


class ChannelPoolTest(unittest.IsolatedAsyncioTestCase):
    """Guards against false ``NOT_SENT`` results and dead connections."""

    async def asyncSetUp(self) -> None:
        """Start a server on a free port."""
        self.service = _Service()
        self.server = Server([self.service])
        await self.server.start(_HOST, 0)
        sockets = self.server._server.sockets
        self.endpoint = Endpoint(_HOST, sockets[0].getsockname()[1])
        self.pool = ChannelPool()

    async def asyncTearDown(self) -> None:
        """Close the pool and the server."""
        self.pool.close()
        self.server.close()
        await self.server.wait_closed()

    async def test_reply(self) -> None:
        """A call returns the reply of the server."""
        called = await self.pool.call(self.endpoint, _exchange, _LONG_TIMEOUT)
        self.assertEqual(called.unwrap(), ExchangeReply())

    async def test_refused(self) -> None:
        """A refused connection results in ``NOT_SENT``."""
        self.server.close()
        called = await self.pool.call(self.endpoint, _exchange, _LONG_TIMEOUT)
        self.assertIs(called.unwrap_err().failure, CallFailure.NOT_SENT)

    async def test_timeout_replaces_the_channel(self) -> None:
        """The call after a timeout uses a new connection."""
        self.service.is_unresponsive = True
        called = await self.pool.call(self.endpoint, _exchange, _SHORT_TIMEOUT)
        self.assertIs(called.unwrap_err().failure, CallFailure.TIMED_OUT)
        self.assertEqual(self.pool.replaced_count, 1)
        self.service.is_unresponsive = False
        again = await self.pool.call(self.endpoint, _exchange, _LONG_TIMEOUT)
        self.assertTrue(again.is_ok())

    async def test_slow_call_keeps_the_channel(self) -> None:
        """The timeout of a call that may be slow replaces no channel."""
        self.service.is_unresponsive = True
        await self.pool.call(
            self.endpoint,
            _exchange,
            _SHORT_TIMEOUT,
            replace_on_timeout=False,
        )
        self.assertEqual(self.pool.replaced_count, 0)

    async def test_replacement_breaks_calls_in_flight(self) -> None:
        """Calls in flight end when another call replaces their channel."""
        self.service.is_unresponsive = True
        waiting = asyncio.ensure_future(
            self.pool.call(self.endpoint, _exchange, _LONG_TIMEOUT),
        )
        await self.pool.call(self.endpoint, _exchange, _SHORT_TIMEOUT)
        called = await waiting
        self.assertIs(called.unwrap_err().failure, CallFailure.BROKEN)

    async def test_failure_after_the_connect(self) -> None:
        """Any failure after the connect results in ``BROKEN``."""
        problems = (
            ConnectionResetError(),
            StreamTerminatedError(),
            GRPCError.__new__(GRPCError),
            AttributeError('_transport'),
        )
        for problem in problems:
            with self.subTest(problem=type(problem)):
                called = await self.pool.call(
                    self.endpoint,
                    _raising(problem),
                    _LONG_TIMEOUT,
                )
                failure = called.unwrap_err().failure
                self.assertIs(failure, CallFailure.BROKEN)
