"""Acceptance of load summaries and zone support."""

import asyncio
import unittest
from datetime import timedelta
from threading import Event
from typing import Any, cast

from plantainstand_core import VmId
from plantainstand_daemon._exchange import Exchange
from plantainstand_protocol import ChannelPool
from plantainstand_protocol.steering_pb2 import ExchangeReply, VmSummary
from result import Ok

from tests.consensus.simulated_loop import SimulatedLoop, run_simulated
from tests.daemon.deployment import Deployment
from tests.daemon.dispatching import PLACE, DispatchFixture
from tests.daemon.fakes import make_instruments

_VMS = ('bajio-a-1', 'bajio-a-2', 'bajio-b-1')
_DELAY = timedelta(seconds=1)
_LEASE = timedelta(seconds=3)


class _FakeChannels:
    """Grants zone support in each call, after a delay."""

    async def call(self, *_arguments: Any) -> Any:
        """Stand in for :meth:`ChannelPool.call`."""
        await asyncio.sleep(_DELAY.total_seconds())
        return Ok(ExchangeReply(zone_support=ExchangeReply.GIVEN))


def _exchange(fixture: DispatchFixture) -> Exchange:
    exchange = Exchange(
        PLACE,
        cast(ChannelPool, _FakeChannels()),
        dict,
        lambda: fixture.incarnation_state,
        Event().is_set,
        make_instruments(fixture.loop),
    )
    exchange.apply(Deployment((), _VMS).view.shares)
    return exchange


def _summary(vm: str, sequence: int) -> VmSummary:
    message = VmSummary(availability_zone='bajio-a', sequence=sequence)
    message.vm.vm = vm
    message.vm.incarnation = 1
    return message


def _known_summaries(exchange: Exchange) -> list[tuple[str, int]]:
    return [
        (found.vm.vm, found.sequence) for found in exchange._zone_summaries()
    ]


async def _accept_summaries() -> list[tuple[str, int]]:
    fixture = DispatchFixture(
        cast(SimulatedLoop, asyncio.get_running_loop()), vms=_VMS[:2]
    )
    exchange = _exchange(fixture)
    for vm, sequence in (
        ('bajio-a-2', 5),
        ('bajio-a-2', 4),
        ('bajio-a-1', 9),
        ('stranger', 1),
    ):
        exchange.accept(_summary(vm, sequence))
    return _known_summaries(exchange)


async def _request_zone_support(peer: str) -> tuple[timedelta, timedelta]:
    loop = cast(SimulatedLoop, asyncio.get_running_loop())
    fixture = DispatchFixture(loop, vms=_VMS[:2])
    exchange = _exchange(fixture)
    await asyncio.sleep(2)
    sent_at = loop.monotonic()
    await exchange._exchange(exchange._members[VmId(peer)])
    return sent_at, fixture.incarnation_state.support.authority_until


class ExchangeTest(unittest.TestCase):
    """Guards against stale summaries and authority without support."""

    def test_summaries(self) -> None:
        """Summaries of this VM, older ones and unregistered VMs are ignored."""
        summaries = run_simulated(_accept_summaries())
        self.assertEqual(summaries, [('bajio-a-1', 1), ('bajio-a-2', 5)])

    def test_zone_support(self) -> None:
        """Support counts from the send time, and only within the own zone."""
        sent_at, authority_until = run_simulated(
            _request_zone_support('bajio-a-2')
        )
        self.assertEqual(authority_until, sent_at + _LEASE)
        _sent_at, authority_until = run_simulated(
            _request_zone_support('bajio-b-1')
        )
        self.assertEqual(authority_until, _LEASE)
