"""A VM joins, leaves and comes back in the right order."""

import unittest
from datetime import timedelta
from typing import cast

from plantainstand_catalogue import (
    AnnounceDrain,
    CatalogueCommand,
    DrainSubjectKind,
    WithdrawDrain,
)
from plantainstand_catalogue import encode_command as encode_change
from plantainstand_core import (
    AvailabilityZoneId,
    ManualClock,
    OperationId,
    RegionId,
    VmId,
)
from plantainstand_daemon import DaemonSettings, Role
from plantainstand_daemon._activity import Activity
from plantainstand_daemon._control_client import ControlClient
from plantainstand_daemon._control_messages import decode_heartbeat
from plantainstand_daemon._control_state import CommandKind, wrap_command
from plantainstand_daemon._presence import (
    Presence,
    PresencePort,
    PresenceState,
)
from plantainstand_daemon._settings import (
    HttpSettings,
    RpcSettings,
    VoterAddress,
)
from plantainstand_protocol import CallFailure, CallProblem, Endpoint
from plantainstand_protocol.steering_pb2 import (
    HeartbeatReply,
    HeartbeatRequest,
)
from plantainstand_shares import MarkLeaving, encode_command, heartbeat_commands
from result import Err, Ok, Result

from tests.daemon.fakes import FakeLog, make_instruments

_VM = VmId('bajio-a-1')
_HOST = '127.0.0.1'
_SECOND = timedelta(seconds=1)
_SETTINGS = DaemonSettings(
    vm=_VM,
    availability_zone=AvailabilityZoneId('bajio-a'),
    region=RegionId('bajio'),
    roles=frozenset((Role.ENTRY,)),
    http=HttpSettings(_HOST, 8080),
    rpc=RpcSettings(_HOST, 8081),
    voters=(VoterAddress(_VM, _HOST, 8081),),
)


class _Leader(FakeLog):
    """Answers heartbeats and does what they ask for."""

    def __init__(self) -> None:
        super().__init__()
        self.status = HeartbeatReply.SUPPORTED

    async def heartbeat(
        self,
        request: HeartbeatRequest,
    ) -> Result[HeartbeatReply, CallProblem]:
        """Stand in for :meth:`ControlClient.heartbeat`."""
        if not self.reachable:
            endpoint = Endpoint(_HOST, 1)
            return Err(CallProblem(CallFailure.TIMED_OUT, endpoint, 'cut'))
        heartbeat = decode_heartbeat(request)
        for command in heartbeat_commands(heartbeat, self.state.view().shares):
            self.commit(
                wrap_command(CommandKind.SHARES, encode_command(command)),
            )
        return Ok(HeartbeatReply(status=self.status))

    def change(self, command: CatalogueCommand) -> None:
        """Commit a catalogue change."""
        self.commit(
            wrap_command(CommandKind.CATALOGUE, encode_change(command)),
        )

    def mark_leaving(self) -> None:
        """Do what a leader does about an announced drain of the VM."""
        record = self.state.view().shares.registry.newest[_VM]
        command = MarkLeaving(record.vm, record.incarnation)
        self.commit(wrap_command(CommandKind.SHARES, encode_command(command)))


class PresenceTest(unittest.IsolatedAsyncioTestCase):
    """Guards against cut requests and against VMs that stay away."""

    def setUp(self) -> None:
        """Set up one VM before a leader."""
        self.clock = ManualClock()
        self.leader = _Leader()
        self.activity = Activity()
        self.unrecorded = 0
        self.changes: list[PresenceState] = []
        port = PresencePort(
            self.leader.state,
            cast(ControlClient, self.leader),
            self.activity,
            lambda: self.unrecorded,
            None,
        )
        self.presence = Presence(
            _SETTINGS,
            port,
            make_instruments(self.clock),
            self._note_change,
        )

    async def test_joining(self) -> None:
        """A VM uses no share before it is registered and supported."""
        self.assertFalse(self._has_authority())
        await self._steps(3)
        self.assertIs(self.presence.status, PresenceState.SERVING)
        self.assertTrue(self._has_authority())

    async def test_planned_stop(self) -> None:
        """New requests are refused only when no list names the VM."""
        await self._steps(3)
        stopping = self.presence.leave(timedelta(seconds=15))
        with self.activity.track():
            self._request_stop()
            await self._steps(7)
            self.assertIs(self.presence.status, PresenceState.LEAVING)
            self.assertTrue(self.activity.accepts)
            await self._steps(4)
            self.assertIs(self.presence.status, PresenceState.CLOSING)
            self.assertFalse(self.activity.accepts)
            # The request in flight still holds its shares.
            self.assertTrue(self._has_authority())
        self.unrecorded = 1
        await self._steps(2)
        self.assertIs(self.presence.status, PresenceState.CLOSING)
        self.unrecorded = 0
        await self._steps(3)
        self.assertIs(self.presence.status, PresenceState.DEPARTED)
        self.assertTrue(await stopping)

    async def test_stop_without_leader(self) -> None:
        """An idle VM does not wait for a leader that cannot be reached."""
        await self._steps(3)
        stopping = self.presence.leave(timedelta(seconds=60))
        self._request_stop()
        await self._steps(2)
        self.leader.reachable = False
        await self._steps(20)
        self.assertIs(self.presence.status, PresenceState.CLOSING)
        self.assertFalse(await stopping)

    async def test_withdrawn_drain(self) -> None:
        """A drained VM comes back under a new incarnation."""
        await self._steps(3)
        first = self.presence.holding.key
        kind = DrainSubjectKind.VM
        self.leader.change(AnnounceDrain(OperationId('1'), kind, _VM))
        self.leader.mark_leaving()
        await self._steps(12)
        self.assertIs(self.presence.status, PresenceState.DEPARTED)
        self.leader.change(WithdrawDrain(OperationId('2'), kind, _VM))
        await self._steps(4)
        self.assertIs(self.presence.status, PresenceState.SERVING)
        self.assertTrue(self.activity.accepts)
        self.assertGreater(self.presence.holding.key, first)

    async def test_given_up(self) -> None:
        """A VM whose incarnation was given up registers anew."""
        await self._steps(3)
        first = self.presence.holding.key
        self.leader.status = HeartbeatReply.UNKNOWN_INCARNATION
        await self._steps(1)
        self.leader.status = HeartbeatReply.SUPPORTED
        await self._steps(4)
        self.assertGreater(self.presence.holding.key, first)
        self.assertIs(self.presence.status, PresenceState.SERVING)

    async def test_cut_off(self) -> None:
        """Without a leader the only VM of a zone goes on for its grace."""
        await self._steps(3)
        self.leader.reachable = False
        await self._steps(20)
        self.assertTrue(self._has_authority())
        self.clock.advance(_SETTINGS.sole_member_grace_s * _SECOND)
        self.assertFalse(self._has_authority())

    async def _steps(self, count: int) -> None:
        for _ in range(count):
            await self.presence._step()
            self.clock.advance(_SECOND / 2)

    def _request_stop(self) -> None:
        # What leave() notes first; it then only waits.
        self.presence._stopping = True

    def _has_authority(self) -> bool:
        return self.presence.holding.support.has_authority()

    def _note_change(self) -> None:
        self.changes.append(self.presence.status)
