"""Cost of heartbeats and of following the log, over loopback gRPC."""

import asyncio
import statistics
import time
from collections import defaultdict
from collections.abc import Iterator, Mapping, Sequence
from contextlib import ExitStack, closing, contextmanager
from dataclasses import dataclass
from datetime import timedelta
from types import MappingProxyType

from plantainstand_core import Incarnation, VmId
from plantainstand_daemon._control_messages import encode_vm
from plantainstand_daemon._control_state import ControlState
from plantainstand_daemon._follow import Follower
from plantainstand_daemon._settings import VoterAddress
from plantainstand_protocol import ChannelPool, Endpoint
from plantainstand_protocol.steering_grpc import ControlStub
from plantainstand_protocol.steering_pb2 import (
    HeartbeatReply,
    HeartbeatRequest,
)
from plantainstand_shares import VmIncarnation

from plantainstand_bench._capacity_deployment import (
    TODAY,
    ControlModel,
    Size,
    target,
    vm_name,
)
from plantainstand_bench._capacity_statistics import describe_line
from plantainstand_bench._capacity_threads import (
    HOST,
    CountingRelay,
    LoopThread,
    loop_thread,
)
from plantainstand_bench._capacity_voter import (
    Voter,
    make_instruments,
    running_voter,
)

_MICROSECONDS = 1_000_000
_REPEATS = 3
# Links and targets do not enter into a heartbeat.
_HEARTBEAT_SIZES = (
    Size(3, 6, 10, 6, has_links=False),
    Size(27, 64, 825, 64, has_links=False),
    Size(27, 64, 3300, 64, has_links=False),
)
_HEARTBEATS = 400
_IN_PARALLEL = 20
_IDLE_S = 0.5
_TIMEOUT = timedelta(seconds=5)
_FOLLOWERS = (5, 20, 80, 200)
_CHANGES = 8
_BURST = 100
_SLOTS = 5
_MILLISECONDS = 1000
_FOLLOWING = MappingProxyType(
    {
        'voter, us': 'voter, us',
        'others, us': 'all followers, us',
        'reply, bytes': 'bytes to all',
    }
)
_POLL_S = 0.002

Samples = dict[str, dict[float, list[float]]]


@dataclass(frozen=True)
class _Rig:
    """A voter, the thread of its callers, and the relay between them."""

    voter: Voter
    thread: LoopThread
    relay: CountingRelay

    def readings(self) -> Mapping[str, float]:
        """Return processor time of both sides and bytes of both ways."""
        return {
            'voter, us': _MICROSECONDS * self.voter.thread.processor_time(),
            'others, us': _MICROSECONDS * self.thread.processor_time(),
            'request, bytes': self.relay.sent,
            'reply, bytes': self.relay.received,
        }

    def since(self, before: Mapping[str, float]) -> Mapping[str, float]:
        """Return what was used after ``before``."""
        now = self.readings()
        return {name: now[name] - before[name] for name in before}


@contextmanager
def _running_rig(commands: Sequence[bytes], seed: int) -> Iterator[_Rig]:
    with ExitStack() as stack:
        voter = stack.enter_context(running_voter(commands, seed))
        relay = stack.enter_context(closing(CountingRelay(voter.port)))
        yield _Rig(voter, stack.enter_context(loop_thread()), relay)


def measure_heartbeats(seed: int) -> Mapping[str, float]:
    """Return processor time and bytes by number of registered VMs."""
    samples: Samples = defaultdict(lambda: defaultdict(list))
    for size in _HEARTBEAT_SIZES:
        with _running_rig(ControlModel(size).commands, seed) as rig:
            for _ in range(_REPEATS):
                _heartbeat_round(rig, size.vms, samples)
    return _describe(samples)


def _heartbeat_round(rig: _Rig, vms: int, samples: Samples) -> None:
    before = rig.readings()
    time.sleep(_IDLE_S)
    idle = rig.since(before)['voter, us'] / _IDLE_S
    started = time.perf_counter()
    before = rig.readings()
    rig.thread.run(_send_heartbeats(vms, rig.relay.port))
    spent = dict(rig.since(before))
    # The leader's own steps also run while it answers.
    spent['voter, us'] -= idle * (time.perf_counter() - started)
    samples['leader without calls, core'][vms].append(idle / _MICROSECONDS)
    for name, title in (
        ('voter, us', 'heartbeat, leader, us'),
        ('others, us', 'heartbeat, VM, us'),
        ('request, bytes', 'heartbeat request, bytes'),
        ('reply, bytes', 'heartbeat reply, bytes'),
    ):
        samples[title][vms].append(spent[name] / _HEARTBEATS)


async def _send_heartbeats(vms: int, port: int) -> None:
    with closing(ChannelPool()) as channels:
        for start in range(0, _HEARTBEATS, _IN_PARALLEL):
            calls = [
                _heartbeat(channels, port, number % vms)
                for number in range(start, start + _IN_PARALLEL)
            ]
            await asyncio.gather(*calls)


async def _heartbeat(channels: ChannelPool, port: int, number: int) -> None:
    request = HeartbeatRequest(
        sender=encode_vm(VmIncarnation(vm_name(number), Incarnation(1))),
        applied_index=1,
        in_flight=1,
    )
    called = await channels.call(
        Endpoint(HOST, port),
        lambda channel: ControlStub(channel).Heartbeat(request),
        _TIMEOUT,
    )
    reply = called.unwrap()
    if reply.status != HeartbeatReply.SUPPORTED:
        raise RuntimeError(f'heartbeat of {vm_name(number)}: {reply.status}')


def measure_following(seed: int) -> Mapping[str, float]:
    """Return delay, processor time and bytes by number of followers.

    The voter and all followers share one interpreter, which runs one thread
    at a time: the delay grows with the sum of their work.
    """
    samples: Samples = defaultdict(lambda: defaultdict(list))
    for count in _FOLLOWERS:
        model = ControlModel(TODAY)
        with _running_rig(tuple(model.commands), seed) as rig:
            states = rig.thread.run(
                _start_followers(count, rig.relay.port, seed),
            )
            for _ in range(_REPEATS):
                _idle_round(rig, count, samples)
                _change_round(rig, model, states, samples)
                _burst_round(rig, model, states, samples)
    return _describe(samples)


def _idle_round(rig: _Rig, count: int, samples: Samples) -> None:
    before = rig.readings()
    time.sleep(_IDLE_S)
    spent = rig.since(before)
    for name, title in _FOLLOWING.items():
        samples[f'follow without changes, {title}/s'][count].append(
            spent[name] / _IDLE_S,
        )


def _change_round(
    rig: _Rig,
    model: ControlModel,
    states: Sequence[ControlState],
    samples: Samples,
) -> None:
    count = len(states)
    before = rig.readings()
    delays = [_change(rig, model, states) for _ in range(_CHANGES)]
    spent = rig.since(before)
    for name, title in _FOLLOWING.items():
        samples[f'followed change, {title}'][count].append(
            spent[name] / _CHANGES,
        )
    samples['followed change, delay to the last, ms'][count].append(
        _MILLISECONDS * statistics.median(delays),
    )


def _burst_round(
    rig: _Rig,
    model: ControlModel,
    states: Sequence[ControlState],
    samples: Samples,
) -> None:
    """Commit many changes at once, as after a membership event."""
    sent = len(model.commands)
    for number in range(_BURST):
        model.put(target(number % TODAY.targets, TODAY, sent % _SLOTS + 1))
    before = rig.readings()
    rig.voter.thread.run(rig.voter.commit(model.commands[sent:]))
    index = rig.voter.replica.status().commit_index
    rig.thread.run(_reached(index, states))
    spent = rig.since(before)
    for name, title in _FOLLOWING.items():
        samples[f'command in a burst, {title}'][len(states)].append(
            spent[name] / _BURST,
        )


def _change(
    rig: _Rig,
    model: ControlModel,
    states: Sequence[ControlState],
) -> float:
    """Commit a change; return the seconds until every follower has it."""
    model.put(target(0, TODAY, len(model.commands) % _SLOTS + 1))
    started = time.perf_counter()
    rig.voter.thread.run(rig.voter.commit(model.commands[-1:]))
    index = rig.voter.replica.status().commit_index
    rig.thread.run(_reached(index, states))
    return time.perf_counter() - started


async def _start_followers(
    count: int,
    port: int,
    seed: int,
) -> Sequence[ControlState]:
    loop = asyncio.get_running_loop()
    states = [ControlState() for _ in range(count)]
    for number, state in enumerate(states):
        follower = Follower(
            VmId(f'follower{number}'),
            [VoterAddress(VmId('voter'), HOST, port)],
            state,
            make_instruments(seed),
        )
        task = loop.create_task(follower.run())
        _running.add(task)
        task.add_done_callback(_running.discard)
    await _reached(1, states)
    return states


# The loop keeps only weak references to its tasks.
_running: set[asyncio.Task[None]] = set()


async def _reached(index: int, states: Sequence[ControlState]) -> None:
    async with asyncio.timeout(_TIMEOUT.total_seconds()):
        while any(state.index < index for state in states):
            await asyncio.sleep(_POLL_S)


def _describe(samples: Samples) -> Mapping[str, float]:
    figures: dict[str, float] = {}
    for name, by_size in samples.items():
        figures.update(describe_line(name, by_size))
    return figures
