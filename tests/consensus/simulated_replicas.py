"""Replicas that run as tasks with simulated time, disks and links."""

import asyncio
import random
from collections.abc import Callable, Coroutine, Sequence
from dataclasses import dataclass
from datetime import timedelta
from pathlib import Path
from typing import Any

from plantainstand_consensus import (
    LogReplica,
    Message,
    ReplicaOptions,
    encode_message,
    format_voter,
    open_voter,
)
from plantainstand_core import LogIndex, VmId

from tests.consensus.simulated_loop import (
    SimulatedLoop,
    run_simulated,
    run_without_thread,
)
from tests.storage.simulated_file_system import SimulatedFileSystem

VMS = tuple(VmId(name) for name in 'abc')
TIMEOUT = timedelta(seconds=3)
FOLDER = Path('/voter')
_LATENCY_SECONDS = 0.001


LINK_UNSENT_BYTES = 8 * 1024 * 1024
_RECONNECT_SECONDS = 0.3


class LastCommandStateMachine:
    """State machine whose state is no longer than one command."""

    def __init__(self) -> None:
        """Start without a command."""
        self.last = b''

    def apply(self, _index: LogIndex, payload: bytes) -> bytes:
        """See ``StateMachine``."""
        self.last = payload
        return b''

    def snapshot(self) -> bytes:
        """See ``StateMachine``."""
        return self.last

    def restore(self, snapshot: bytes) -> None:
        """See ``StateMachine``."""
        self.last = snapshot


class RecordingStateMachine:
    """State machine that records every command."""

    def __init__(self) -> None:
        """Start without commands."""
        self.items: list[bytes] = []

    def apply(self, index: LogIndex, payload: bytes) -> bytes:
        self.items.append(payload)
        return b'applied %s' % payload

    def snapshot(self) -> bytes:
        return b' '.join(self.items)

    def restore(self, snapshot: bytes) -> None:
        self.items = snapshot.split()


@dataclass
class _SimulatedLink:
    free_at: float = 0
    """Time at which all queued bytes are sent."""

    connection: int = 0


class _SimulatedTransport:
    """Transport of one replica, with a constant latency and bandwidth.

    A connection with too many unsent bytes is lost with all of them.
    """

    def __init__(self, cluster: 'SimulatedReplicas', source: VmId):
        self._cluster = cluster
        self._source = source
        self._links: dict[VmId, _SimulatedLink] = {}

    def send(self, destination: VmId, message: Message) -> None:
        loop = asyncio.get_running_loop()
        link = self._links.setdefault(destination, _SimulatedLink())
        rate = self._cluster.link_bytes_per_second
        start = max(link.free_at, loop.time())
        if (start - loop.time()) * (rate or 0) > LINK_UNSENT_BYTES:
            link.connection += 1
            link.free_at = loop.time() + _RECONNECT_SECONDS
            return
        if rate is not None:
            start += len(encode_message(message)) / rate
        link.free_at = start
        loop.call_at(
            link.free_at + _LATENCY_SECONDS,
            self._deliver,
            destination,
            message,
            link.connection,
        )

    def _deliver(
        self, destination: VmId, message: Message, connection: int
    ) -> None:
        if connection == self._links[destination].connection:
            self._cluster.deliver(self._source, destination, message)


class SimulatedReplicas:
    """Three voters in one simulated loop."""

    def __init__(self) -> None:
        self.disks = {vm: SimulatedFileSystem() for vm in VMS}
        self.replicas: dict[VmId, LogReplica] = {}
        self.state_machines: dict[VmId, Any] = {}
        self.new_state_machine: Callable[[], Any] = RecordingStateMachine
        self.snapshot_interval_entries = 50
        self.retained_entries = 10
        self.link_bytes_per_second: float | None = None
        self.tasks: dict[VmId, asyncio.Task[None]] = {}
        self.disconnected: set[VmId] = set()
        self.sync_seconds: float = 0
        self.slow_disks: set[VmId] = set(VMS)

    def start(self, vm: VmId) -> None:
        loop = asyncio.get_running_loop()
        assert isinstance(loop, SimulatedLoop)
        storage = open_voter(FOLDER, vm, file_system=self.disks[vm])
        self.state_machines[vm] = self.new_state_machine()
        options = ReplicaOptions(
            peers=VMS,
            clock=loop,
            random_source=random.Random(vm),
            snapshot_interval_entries=self.snapshot_interval_entries,
            retained_entries=self.retained_entries,
            run_blocking=lambda action: self.run_slowly(vm, action),
        )
        self.replicas[vm] = LogReplica(
            storage.unwrap(),
            self.state_machines[vm],
            _SimulatedTransport(self, vm),
            options,
        )
        self.tasks[vm] = asyncio.create_task(self.replicas[vm].run())

    async def run_slowly(self, vm: VmId, action: Callable[[], None]) -> None:
        if vm in self.slow_disks:
            await asyncio.sleep(self.sync_seconds)
        await run_without_thread(action)

    async def stop(self, vm: VmId) -> None:
        self.tasks[vm].cancel()
        await asyncio.wait((self.tasks[vm],))

    def deliver(self, source: VmId, destination: VmId, message: Any) -> None:
        if not self.disconnected & {source, destination}:
            self.replicas[destination].deliver(source, message)

    async def leader(self, among: Sequence[VmId] = VMS) -> LogReplica:
        return await self.until(lambda: self._find_leader(among))

    async def until(
        self,
        find: Callable[[], LogReplica | None],
    ) -> LogReplica:
        async with asyncio.timeout(TIMEOUT.total_seconds() * 3):
            found = find()
            while found is None:
                await asyncio.sleep(0.01)
                found = find()
        return found

    def _find_leader(self, among: Sequence[VmId]) -> LogReplica | None:
        for vm in among:
            status = self.replicas[vm].status()
            if status.formed and status.has_quorum_contact:
                return self.replicas[vm]
        return None


def run_with_replicas(
    test: Callable[[SimulatedReplicas], Coroutine[Any, Any, None]],
    replicas: SimulatedReplicas | None = None,
) -> None:
    async def main() -> None:
        cluster = replicas or SimulatedReplicas()
        for vm in VMS:
            format_voter(
                FOLDER,
                vm,
                VMS,
                file_system=cluster.disks[vm],
            ).unwrap()
            cluster.start(vm)
        await cluster.leader()
        await test(cluster)
        for vm in VMS:
            await cluster.stop(vm)

    run_simulated(main())
