"""The channel pool tells what a failed call proves."""

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
_LONG = timedelta(seconds=5)
_SHORT = timedelta(milliseconds=100)

Method = Callable[[Channel], Awaitable[ExchangeReply]]


class _Service(SteeringBase):
    def __init__(self) -> None:
        self.silent = False

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
        if self.silent:
            await asyncio.sleep(_LONG.total_seconds())
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
    """Guards against a false "not run" and against dead connections."""

    async def asyncSetUp(self) -> None:
        """Start a server on a port of its own."""
        self.service = _Service()
        self.server = Server([self.service])
        await self.server.start(_HOST, 0)
        sockets = self.server._server.sockets
        self.endpoint = Endpoint(_HOST, sockets[0].getsockname()[1])
        self.pool = ChannelPool()

    async def asyncTearDown(self) -> None:
        """Stop the server."""
        self.pool.close()
        self.server.close()
        await self.server.wait_closed()

    async def test_reply(self) -> None:
        """A reply is handed over."""
        called = await self.pool.call(self.endpoint, _exchange, _LONG)
        self.assertEqual(called.unwrap(), ExchangeReply())

    async def test_refused(self) -> None:
        """Without a connection, nothing was sent."""
        self.server.close()
        called = await self.pool.call(self.endpoint, _exchange, _LONG)
        self.assertIs(called.unwrap_err().failure, CallFailure.NOT_SENT)

    async def test_silence_replaces_the_channel(self) -> None:
        """The call after a silent one gets a connection of its own."""
        self.service.silent = True
        called = await self.pool.call(self.endpoint, _exchange, _SHORT)
        self.assertIs(called.unwrap_err().failure, CallFailure.TIMED_OUT)
        self.assertEqual(self.pool.replaced_count, 1)
        self.service.silent = False
        again = await self.pool.call(self.endpoint, _exchange, _LONG)
        self.assertTrue(again.is_ok())

    async def test_slow_by_design(self) -> None:
        """A call that may be slow does not cost others their channel."""
        self.service.silent = True
        await self.pool.call(
            self.endpoint,
            _exchange,
            _SHORT,
            replace_on_timeout=False,
        )
        self.assertEqual(self.pool.replaced_count, 0)

    async def test_replacement_breaks_calls_in_flight(self) -> None:
        """Calls on a silent channel end when another one gives it up."""
        self.service.silent = True
        waiting = asyncio.ensure_future(
            self.pool.call(self.endpoint, _exchange, _LONG),
        )
        await self.pool.call(self.endpoint, _exchange, _SHORT)
        called = await waiting
        self.assertIs(called.unwrap_err().failure, CallFailure.BROKEN)

    async def test_broken_calls(self) -> None:
        """Whatever breaks a call after its connection leaves it unknown."""
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
                    _LONG,
                )
                failure = called.unwrap_err().failure
                self.assertIs(failure, CallFailure.BROKEN)
