"""Pool of gRPC channels that replaces a connection that has gone silent."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from datetime import timedelta
from enum import Enum
from typing import TypeVar

from grpclib.client import Channel
from grpclib.exceptions import GRPCError, StreamTerminatedError
from result import Err, Ok, Result

ReplyT = TypeVar('ReplyT')

# grpclib raises AttributeError when another task closes the channel between
# the start of a call and the sending of its headers.
_BROKEN_CALL = (OSError, GRPCError, StreamTerminatedError, AttributeError)


@dataclass(frozen=True)
class Endpoint:
    """Address of one process."""

    host: str
    """IP address."""

    port: int


class CallFailure(Enum):
    """Why a call has no reply."""

    NOT_SENT = 'not-sent'
    """No connection could be made, so the other side saw nothing."""

    TIMED_OUT = 'timed-out'
    """No reply in time; the call may have taken effect."""

    BROKEN = 'broken'
    """The connection or the other side failed in the middle of the call."""


@dataclass(frozen=True)
class CallProblem:
    """Outcome of a call without a reply."""

    failure: CallFailure
    endpoint: Endpoint
    message: str

    def __str__(self) -> str:
        """Return the text for logs."""
        where = f'{self.endpoint.host}:{self.endpoint.port}'
        return f'call to {where} {self.failure.value}: {self.message}'


class ChannelPool:
    """One channel for each endpoint; owned by one event loop."""

    def __init__(self) -> None:
        """Start with no channels; they connect on first use."""
        self._channels: dict[Endpoint, Channel] = {}
        self._replaced = 0

    @property
    def replaced_count(self) -> int:
        """Channels given up because a call on them got no reply."""
        return self._replaced

    def close(self) -> None:
        """Close every channel; calls in flight end as broken."""
        for channel in self._channels.values():
            channel.close()
        self._channels.clear()

    def discard(self, endpoint: Endpoint) -> None:
        """Close the channel to an endpoint that is no longer used."""
        channel = self._channels.pop(endpoint, None)
        if channel is not None:
            channel.close()

    async def call(
        self,
        endpoint: Endpoint,
        method: Callable[[Channel], Awaitable[ReplyT]],
        timeout: timedelta,
        *,
        replace_on_timeout: bool = True,
    ) -> Result[ReplyT, CallProblem]:
        """Run one unary call with a deadline.

        ``method`` gets the channel and makes the call. When the call times
        out the channel is replaced, because an established connection can go
        silent for good while new ones work; a call that waits for slow work
        by design passes ``replace_on_timeout=False``.
        """
        channel = self._channel(endpoint)
        try:
            # The attribute access connects, so that a refused connection can
            # be told from a call that broke after it was sent.
            await asyncio.wait_for(
                channel.__connect__(),
                timeout.total_seconds(),
            )
        except (OSError, TimeoutError) as problem:
            self._replace(endpoint, channel)
            return Err(_problem(CallFailure.NOT_SENT, endpoint, problem))
        return await self._call_connected(
            endpoint,
            channel,
            method,
            (timeout, replace_on_timeout),
        )

    async def _call_connected(
        self,
        endpoint: Endpoint,
        channel: Channel,
        method: Callable[[Channel], Awaitable[ReplyT]],
        limits: tuple[timedelta, bool],
    ) -> Result[ReplyT, CallProblem]:
        timeout, replace_on_timeout = limits
        try:
            reply = await asyncio.wait_for(
                method(channel),
                timeout.total_seconds(),
            )
        except TimeoutError as problem:
            if replace_on_timeout:
                self._replace(endpoint, channel)
            return Err(_problem(CallFailure.TIMED_OUT, endpoint, problem))
        except _BROKEN_CALL as problem:
            return Err(_problem(CallFailure.BROKEN, endpoint, problem))
        return Ok(reply)

    def _channel(self, endpoint: Endpoint) -> Channel:
        channel = self._channels.get(endpoint)
        if channel is None:
            channel = Channel(endpoint.host, endpoint.port)
            self._channels[endpoint] = channel
        return channel

    def _replace(self, endpoint: Endpoint, channel: Channel) -> None:
        if self._channels.get(endpoint) is channel:
            self._channels.pop(endpoint)
            self._replaced += 1
        channel.close()


def _problem(
    failure: CallFailure,
    endpoint: Endpoint,
    problem: BaseException,
) -> CallProblem:
    return CallProblem(failure, endpoint, str(problem) or repr(problem))
