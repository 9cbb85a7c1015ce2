"""Guards decisions of a leader that has lost and won elections meanwhile."""

import asyncio
import unittest
from dataclasses import dataclass, field
from datetime import timedelta
from typing import cast

from plantainstand_consensus import LogReplica, NotLeader, Role
from plantainstand_core import (
    AvailabilityZoneId,
    Incarnation,
    LogIndex,
    ManualClock,
    RegionId,
    VmId,
)
from plantainstand_daemon._control_state import (
    CommandKind,
    ControlState,
    wrap_command,
)
from plantainstand_daemon._leader import Leader
from plantainstand_shares import (
    Heartbeat,
    HeartbeatStatus,
    ReclaimVm,
    RegisterVm,
    SupportTiming,
    VmIncarnation,
    decode_command,
    encode_command,
)
from result import Err, Ok, Result

from tests.daemon.fakes import make_instruments

_VM = VmIncarnation(VmId('bajio-a-1'), Incarnation(1))
_LATER_TERM = 3
_LONG = timedelta(hours=9)
_DEADLINE_SECONDS = 5


@dataclass
class _Replica:
    """Replica that leads, and whose proposals wait for ``resumed``."""

    term: int = 1
    role: Role = Role.LEADER
    has_quorum_contact: bool = True
    proposed: list[bytes] = field(default_factory=list)
    resumed: asyncio.Event = field(default_factory=asyncio.Event)

    def status(self) -> '_Replica':
        """Stand in for the status of a replica."""
        return self

    async def read_barrier(self, _timeout: timedelta) -> Ok[LogIndex]:
        """See ``LogReplica.read_barrier``."""
        return Ok(LogIndex(1))

    async def propose(
        self, payload: bytes, _timeout: timedelta
    ) -> Result[bytes, NotLeader]:
        """See ``LogReplica.propose``."""
        self.proposed.append(payload)
        await self.resumed.wait()
        return Err(NotLeader(None))


class LeaderTests(unittest.IsolatedAsyncioTestCase):
    """What was decided in one term must not act in a later one."""

    async def asyncSetUp(self) -> None:
        """Let a leader wait for a proposal, with one VM registered."""
        self.clock = ManualClock()
        self.replica = _Replica()
        state = ControlState()
        command = RegisterVm(
            *_VM, AvailabilityZoneId('a'), RegionId('r'), '127.0.0.1', 1, 2
        )
        payload = wrap_command(CommandKind.SHARES, encode_command(command))
        state.apply(LogIndex(1), payload)
        self.leader = Leader(
            cast(LogReplica, self.replica),
            state,
            make_instruments(self.clock),
            SupportTiming(),
        )
        self.running = asyncio.create_task(self.leader.run())
        while not self.replica.proposed:
            await asyncio.sleep(0)

    async def asyncTearDown(self) -> None:
        """End the leader."""
        self.running.cancel()
        await asyncio.wait((self.running,))

    async def test_proposal_that_outlasts_the_term(self) -> None:
        """Guards against a reclaim that ignores the support of other leaders.

        The VM has been silent in the first term; another leader has heard it
        since.
        """
        self.clock.advance(_LONG)
        self.replica.term = _LATER_TERM
        self.replica.resumed.set()
        async with asyncio.timeout(_DEADLINE_SECONDS):
            while self.leader._term != _LATER_TERM:
                await asyncio.sleep(0.01)
        proposed = [decode_command(each[1:]) for each in self.replica.proposed]
        self.assertFalse(
            [each for each in proposed if isinstance(each.ok(), ReclaimVm)]
        )

    def test_heartbeat_after_the_term(self) -> None:
        """Guards against support for a VM that another leader has reclaimed."""
        heartbeat = Heartbeat(_VM, LogIndex(1))
        for term, expected in (
            (1, HeartbeatStatus.SUPPORTED),
            (_LATER_TERM, HeartbeatStatus.NO_QUORUM),
        ):
            with self.subTest(term=term):
                self.replica.term = term
                answer = self.leader.answer(heartbeat, 0)
                self.assertIs(answer.status, expected)
