"""Cost of load exchanges by zone size and number of services."""

import asyncio
import time
from collections import defaultdict
from collections.abc import Mapping
from contextlib import ExitStack, closing
from dataclasses import dataclass

from grpclib.server import Server, Stream
from plantainstand_core import Incarnation, RegionId
from plantainstand_daemon._control_messages import encode_vm
from plantainstand_daemon._exchange import Exchange
from plantainstand_daemon._holding import (
    IncarnationState,
    create_incarnation_state,
)
from plantainstand_daemon._instruments import Instruments
from plantainstand_daemon._services import ServiceTable, VmLocation
from plantainstand_protocol import ChannelPool
from plantainstand_protocol.steering_grpc import SteeringBase
from plantainstand_protocol.steering_pb2 import (
    ExchangeReply,
    ExchangeRequest,
    ForwardReply,
    ForwardRequest,
    VmSummary,
)
from plantainstand_shares import SupportTiming, VmIncarnation

from plantainstand_bench._capacity_deployment import (
    ControlModel,
    Size,
    vm_name,
    zone_name,
)
from plantainstand_bench._capacity_statistics import describe_line
from plantainstand_bench._capacity_threads import (
    HOST,
    CountingRelay,
    LoopThread,
    free_port,
    loop_thread,
)
from plantainstand_bench._capacity_voter import make_instruments

_MICROSECONDS = 1_000_000
_REPEATS = 3
_MEMBERS = (1, 10, 52)
_SERVICES = (3, 12)
_ZONES = 2
_MIN_CALLS = 20
_ROUND_S = 1.2
_POLL_S = 0.05
_TARGETS_PER_ZONE = 24


@dataclass(frozen=True)
class _Side:
    """One VM's exchange and what it needs."""

    exchange: Exchange
    channels: ChannelPool


class _Service(SteeringBase):
    """Answers exchanges as the daemon's steering service does."""

    def __init__(self, exchange: Exchange) -> None:
        self._exchange = exchange
        self.calls = 0

    async def Forward(  # noqa: N802
        self,
        stream: Stream[ForwardRequest, ForwardReply],
    ) -> None:
        """Refuse: no request is forwarded here."""
        await stream.send_message(ForwardReply())

    async def Exchange(  # noqa: N802
        self,
        stream: Stream[ExchangeRequest, ExchangeReply],
    ) -> None:
        request = await stream.recv_message()
        if request is not None:
            self.calls += 1
            await stream.send_message(self._exchange.answer(request))


@dataclass(frozen=True)
class _Rig:
    """A VM that calls, one that answers, and the relay between them."""

    calling: Exchange
    service: _Service
    caller: LoopThread
    server: LoopThread
    relay: CountingRelay

    def readings(self) -> Mapping[str, float]:
        """Return processor time of both sides and bytes of both ways."""
        return {
            'caller, us': _MICROSECONDS * self.caller.processor_time(),
            'answering VM, us': _MICROSECONDS * self.server.processor_time(),
            'request, bytes': self.relay.sent,
            'reply, bytes': self.relay.received,
        }


def measure_exchanges(seed: int) -> Mapping[str, float]:
    """Return processor time and bytes of one exchange at each side."""
    figures: dict[str, float] = {}
    for services in _SERVICES:
        samples: dict[str, dict[float, list[float]]] = defaultdict(dict)
        for members in _MEMBERS:
            found = _measure(members, services, seed)
            for name, repeated in found.items():
                samples[name][members] = repeated
        for name, by_size in samples.items():
            title = f'exchange with {services} services, {name}'
            figures.update(describe_line(title, by_size))
    return figures


def _measure(
    members: int,
    services: int,
    seed: int,
) -> Mapping[str, list[float]]:
    samples: dict[str, list[float]] = defaultdict(list)
    with ExitStack() as stack:
        rig = _open_rig(stack, (members, services), seed)
        # The first round opens the connections.
        _round(rig)
        for _ in range(_REPEATS):
            for name, change in _round(rig).items():
                samples[name].append(change)
    return samples


def _open_rig(stack: ExitStack, shape: tuple[int, int], seed: int) -> _Rig:
    port = free_port()
    server = stack.enter_context(loop_thread())
    caller = stack.enter_context(loop_thread())
    relay = stack.enter_context(closing(CountingRelay(port)))
    model = ControlModel(_size(*shape), relay.port)

    async def build(number: int) -> _Side:
        return _side(model, number, make_instruments(seed))

    # Both are in the first zone, unless it has only one member.
    answering = server.run(build(_ZONES if shape[0] > 1 else 1))
    calling = caller.run(build(0))
    stack.callback(lambda: caller.run(_close(calling)))
    service = _Service(answering.exchange)
    server.run(_serve(service, port))
    return _Rig(calling.exchange, service, caller, server, relay)


def _size(members: int, services: int) -> Size:
    targets = _TARGETS_PER_ZONE * _ZONES
    return Size(1, _ZONES, members * _ZONES, targets, services)


def _round(rig: _Rig) -> Mapping[str, float]:
    calls = rig.service.calls
    before = rig.readings()
    rig.caller.run(_exchange_some(rig.calling, rig.service, calls))
    now = rig.readings()
    done = rig.service.calls - calls
    return {name: (now[name] - before[name]) / done for name in before}


async def _exchange_some(
    exchange: Exchange,
    service: _Service,
    calls: int,
) -> None:
    task = asyncio.create_task(exchange.run())
    deadline = time.monotonic() + _ROUND_S
    while service.calls < calls + _MIN_CALLS and time.monotonic() < deadline:
        await asyncio.sleep(_POLL_S)
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)


def _side(model: ControlModel, number: int, instruments: Instruments) -> _Side:
    zone = zone_name(number % model.size.zones)
    place = VmLocation(vm_name(number), zone, RegionId('r0'))
    view = model.state.view()
    holding = create_incarnation_state(
        place.vm,
        Incarnation(1),
        instruments.clock,
        SupportTiming(),
    )
    holding.apply(view.shares, instruments.clock.monotonic())
    table = ServiceTable(place, instruments.clock, instruments.random_source)
    table.apply(view, holding.key, holding.ledger)
    channels = ChannelPool()
    exchange = Exchange(
        place,
        channels,
        lambda: table.runtimes,
        lambda: holding,
        bool,
        instruments,
    )
    exchange.apply(view.shares)
    _fill(exchange, model, number, holding)
    return _Side(exchange, channels)


def _fill(
    exchange: Exchange,
    model: ControlModel,
    number: int,
    holding: IncarnationState,
) -> None:
    """Make the exchange know every other member of its zone."""
    zones = model.size.zones
    for other in range(number % zones, model.size.vms, zones):
        if other != number:
            message = VmSummary()
            message.CopyFrom(exchange.own_summary())
            key = VmIncarnation(vm_name(other), holding.key.incarnation)
            message.vm.CopyFrom(encode_vm(key))
            exchange.accept(message)


async def _serve(service: _Service, port: int) -> None:
    await Server([service]).start(HOST, port)


async def _close(side: _Side) -> None:
    side.channels.close()
