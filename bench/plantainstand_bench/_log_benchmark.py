"""Figures of the replicated log with real files and an in-memory transport.

The replicas share one process and one event loop, so the proposal rates are a
lower bound for voters that have a core each.
"""

import asyncio
import time
import tracemalloc
from collections.abc import Callable, Mapping, Sequence
from contextlib import AsyncExitStack
from dataclasses import dataclass, field
from datetime import timedelta
from pathlib import Path

from plantainstand_consensus import (
    Command,
    Entry,
    Log,
    LogReplica,
    Message,
    ReplicaOptions,
    decode_message,
    encode_message,
    format_voter,
    open_voter,
)
from plantainstand_core import LogIndex, VmId
from plantainstand_storage import Journal

_PAYLOAD = bytes(200)
_APPENDS = 1000
_BATCH = 100
_PROPOSALS = 10_000
_CALLERS = 200
_SEQUENTIAL_PROPOSALS = 300
_MISSED = 1000
_MEMORY_ENTRIES = 20_000
_TIMEOUT = timedelta(seconds=10)


class _Counter:
    """State machine that only counts."""

    def __init__(self) -> None:
        self.count = 0

    def apply(self, index: LogIndex, payload: bytes) -> bytes:
        self.count += 1
        return b''

    def snapshot(self) -> bytes:
        return str(self.count).encode()

    def restore(self, snapshot: bytes) -> None:
        self.count = int(snapshot)


@dataclass
class _Fleet:
    """Replicas that reach each other through the event loop."""

    folder: Path
    vms: Sequence[VmId]
    replicas: dict[VmId, LogReplica] = field(default_factory=dict)
    tasks: dict[VmId, asyncio.Task[None]] = field(default_factory=dict)

    def start(self, vm: VmId) -> None:
        storage = open_voter(self.folder / vm, vm).unwrap()
        options = ReplicaOptions(peers=self.vms)
        replica = LogReplica(storage, _Counter(), _Link(self, vm), options)
        self.replicas[vm] = replica
        self.tasks[vm] = asyncio.create_task(replica.run())

    async def stop(self, vm: VmId) -> None:
        task = self.tasks.pop(vm)
        self.replicas.pop(vm)
        task.cancel()
        await asyncio.wait((task,))

    async def stop_all(self) -> None:
        for vm in tuple(self.tasks):
            await self.stop(vm)

    def leader(self) -> LogReplica | None:
        for replica in self.replicas.values():
            status = replica.status()
            if status.formed and status.has_quorum_contact:
                return replica
        return None


class _Link:
    """Transport that encodes as a network transport would."""

    def __init__(self, fleet: _Fleet, source: VmId):
        self._fleet = fleet
        self._source = source

    def send(self, destination: VmId, message: Message) -> None:
        encoded = encode_message(message)
        asyncio.get_running_loop().call_soon(
            self._arrive,
            destination,
            encoded,
        )

    def _arrive(self, destination: VmId, encoded: bytes) -> None:
        replica = self._fleet.replicas.get(destination)
        if replica is not None:
            replica.deliver(self._source, decode_message(encoded).unwrap())


def measure_log(folder: Path) -> Mapping[str, float]:
    """Return rates in 1/s, times in ms and memory in bytes.

    ``folder`` has to be empty and on the disk to be measured.
    """
    figures = dict(_measure_journal(folder / 'journal'))
    figures['memory_bytes_per_entry'] = _measure_memory()
    for voters in (3, 5):
        measured = asyncio.run(_measure_fleet(folder / str(voters), voters))
        figures.update(measured)
    return figures


def _measure_journal(folder: Path) -> Mapping[str, float]:
    journal = Journal.open(folder).unwrap()
    figures = {
        f'appends_per_second_synced_by_{size}': _append_rate(journal, size)
        for size in (1, _BATCH)
    }
    journal.close()
    return figures


def _append_rate(journal: Journal, batch_size: int) -> float:
    records = (_PAYLOAD,) * batch_size
    goal = journal.last_index + _APPENDS * batch_size
    started = time.perf_counter()
    while journal.last_index < goal:
        journal.append(records).unwrap()
        journal.sync().unwrap()
    return _APPENDS * batch_size / (time.perf_counter() - started)


def _measure_memory() -> float:
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    log = Log()
    for index in range(1, _MEMORY_ENTRIES + 1):
        payload = index.to_bytes(len(_PAYLOAD), 'big')
        log.append((Entry(index, 1, Command(payload)),))
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return (after - before) / log.last_index


async def _measure_fleet(folder: Path, voters: int) -> Mapping[str, float]:
    vms = [VmId(f'voter{number}') for number in range(voters)]
    fleet = _Fleet(folder, vms)
    async with AsyncExitStack() as stack:
        stack.push_async_callback(fleet.stop_all)
        for vm in vms:
            format_voter(folder / vm, vm, vms).unwrap()
            fleet.start(vm)
        await _until(lambda: fleet.leader() is not None)
        rate = await _proposal_rate(fleet, _PROPOSALS, _CALLERS)
        single = await _proposal_rate(fleet, _SEQUENTIAL_PROPOSALS, 1)
        return {
            f'proposals_per_second_{voters}_voters': rate,
            f'proposal_ms_{voters}_voters_one_caller': 1000 / single,
            f'catch_up_ms_{voters}_voters': await _catch_up_ms(fleet),
        }


async def _proposal_rate(fleet: _Fleet, count: int, callers: int) -> float:
    leader = fleet.leader()
    if leader is None:
        raise RuntimeError('the leader was lost during the measurement')

    async def call() -> None:
        remaining = count // callers
        while remaining:
            (await leader.propose(_PAYLOAD, _TIMEOUT)).unwrap()
            remaining -= 1

    started = time.perf_counter()
    await asyncio.gather(*(call() for _caller in range(callers)))
    return count / (time.perf_counter() - started)


async def _catch_up_ms(fleet: _Fleet) -> float:
    """Return the time from the start of a voter until it has all entries."""
    leader = fleet.leader()
    missing = next(
        vm for vm, replica in fleet.replicas.items() if replica is not leader
    )
    await fleet.stop(missing)
    await _proposal_rate(fleet, _MISSED, _CALLERS)
    goal = max(
        replica.status().commit_index for replica in fleet.replicas.values()
    )
    started = time.perf_counter()
    fleet.start(missing)
    replica = fleet.replicas[missing]
    await _until(lambda: replica.status().applied_index >= goal)
    return (time.perf_counter() - started) * 1000


async def _until(reached: Callable[[], bool]) -> None:
    async with asyncio.timeout(_TIMEOUT.total_seconds()):
        while not reached():
            await asyncio.sleep(0.001)
