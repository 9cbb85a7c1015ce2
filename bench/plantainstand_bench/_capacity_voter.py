"""A voter with the daemon's own parts, in its own thread."""

import asyncio
import tempfile
from collections.abc import Iterable, Iterator, Sequence
from contextlib import ExitStack, contextmanager
from datetime import timedelta
from pathlib import Path
from random import Random

from grpclib.server import Server
from plantainstand_consensus import (
    LogReplica,
    Message,
    ReplicaOptions,
    format_voter,
    open_voter,
)
from plantainstand_core import SystemClock, VmId
from plantainstand_daemon._control_service import ControlService
from plantainstand_daemon._control_state import ControlState
from plantainstand_daemon._instruments import Instruments
from plantainstand_daemon._leader import Leader
from plantainstand_daemon._metrics import HELP_TEXTS
from plantainstand_shares import SupportTiming
from plantainstand_telemetry import Metrics
from plantainstand_telemetry.traces import Tracing

from plantainstand_bench._capacity_threads import (
    HOST,
    LoopThread,
    free_port,
    loop_thread,
)

_VOTER = VmId('voter')
_PROPOSE_TIMEOUT = timedelta(seconds=30)
_POLL_S = 0.005
_BATCH = 200


class NoPeers:
    """Transport of a voter that has no other voters."""

    def send(self, destination: VmId, message: Message) -> None:
        """Drop the message."""


def make_instruments(seed: int) -> Instruments:
    """Build the instruments of one daemon."""
    return Instruments(
        SystemClock(),
        Metrics(HELP_TEXTS),
        Tracing('capacity'),
        Random(seed),
    )


class Voter:
    """The only voter of a log, and so its leader."""

    def __init__(self, thread: LoopThread, folder: Path, seed: int) -> None:
        """Use real files in ``folder``."""
        self.thread = thread
        self.port = free_port()
        self.state = ControlState()
        instruments = make_instruments(seed)
        format_voter(folder, _VOTER, [_VOTER]).unwrap()
        self.replica = LogReplica(
            open_voter(folder, _VOTER).unwrap(),
            self.state,
            NoPeers(),
            ReplicaOptions(peers=(_VOTER,)),
        )
        self.leader = Leader(
            self.replica,
            self.state,
            instruments,
            SupportTiming(),
        )
        self._server = Server(
            [
                ControlService(
                    self.replica,
                    self.state,
                    self.leader,
                    instruments,
                ),
            ],
        )
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self, commands: Sequence[bytes]) -> None:
        """Commit ``commands``, then lead and serve."""
        self._tasks.append(asyncio.create_task(self.replica.run()))
        while not self.replica.status().has_quorum_contact:
            await asyncio.sleep(_POLL_S)
        for start in range(0, len(commands), _BATCH):
            await self.commit(commands[start : start + _BATCH])
        self._tasks.append(asyncio.create_task(self.leader.run()))
        while not self.leader.is_active:
            await asyncio.sleep(_POLL_S)
        await self._server.start(HOST, self.port)

    async def commit(self, commands: Iterable[bytes]) -> None:
        """Commit commands in their order."""
        proposals = [
            self.replica.propose(command, _PROPOSE_TIMEOUT)
            for command in commands
        ]
        for proposed in await asyncio.gather(*proposals):
            proposed.unwrap()

    async def stop(self) -> None:
        """Close the server and end the tasks."""
        self._server.close()
        await self._server.wait_closed()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)


@contextmanager
def running_voter(commands: Sequence[bytes], seed: int) -> Iterator[Voter]:
    """Run a voter that has committed ``commands``."""
    with ExitStack() as stack:
        folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        thread = stack.enter_context(loop_thread())

        async def build() -> Voter:
            return Voter(thread, folder, seed)

        voter = thread.run(build())
        stack.callback(lambda: thread.run(voter.stop()))
        thread.run(voter.start(commands))
        yield voter
