"""Joining, departure and return of a VM."""

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
from plantainstand_daemon._activity import RequestTracker
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


class _FakeLeader(FakeLog):
    """Answers heartbeats and commits the commands that they request."""

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
        """Mark the VM as leaving, as a leader does for an announced drain."""
        record = self.state.view().shares.registry.newest[_VM]
        command = MarkLeaving(record.vm, record.incarnation)
        self.commit(wrap_command(CommandKind.SHARES, encode_command(command)))


class PresenceTest(unittest.IsolatedAsyncioTestCase):
    """Guards against cut requests and VMs that do not return."""

    def setUp(self) -> None:
        """Create the presence of one VM and its leader."""
        self.clock = ManualClock()
        self.leader = _FakeLeader()
        self.activity = RequestTracker()
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
            self._record_change,
        )

    async def test_joining(self) -> None:
        """A VM uses no share before it is registered and supported."""
        self.assertFalse(self._has_authority())
        await self._steps(3)
        self.assertIs(self.presence.status, PresenceState.SERVING)
        self.assertTrue(self._has_authority())

    async def test_planned_stop(self) -> None:
        """New requests are refused only once no valid list has the VM."""
        await self._steps(3)
        stopping = self.presence.leave(timedelta(seconds=15))
        with self.activity.track():
            self._request_stop()
            await self._steps(7)
            self.assertIs(self.presence.status, PresenceState.LEAVING)
            self.assertTrue(self.activity.is_accepting)
            await self._steps(4)
            self.assertIs(self.presence.status, PresenceState.CLOSING)
            self.assertFalse(self.activity.is_accepting)
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
        """An idle VM stops waiting for an unreachable leader."""
        await self._steps(3)
        stopping = self.presence.leave(timedelta(seconds=60))
        self._request_stop()
        await self._steps(2)
        self.leader.reachable = False
        await self._steps(20)
        self.assertIs(self.presence.status, PresenceState.CLOSING)
        self.assertFalse(await stopping)

    async def test_withdrawn_drain(self) -> None:
        """After a withdrawn drain, a VM returns under a new incarnation."""
        await self._steps(3)
        first = self.presence.incarnation_state.key
        kind = DrainSubjectKind.VM
        self.leader.change(AnnounceDrain(OperationId('1'), kind, _VM))
        self.leader.mark_leaving()
        await self._steps(12)
        self.assertIs(self.presence.status, PresenceState.DEPARTED)
        self.leader.change(WithdrawDrain(OperationId('2'), kind, _VM))
        await self._steps(4)
        self.assertIs(self.presence.status, PresenceState.SERVING)
        self.assertTrue(self.activity.is_accepting)
        self.assertGreater(self.presence.incarnation_state.key, first)

    async def test_registers_again_after_unknown_incarnation(self) -> None:
        """A VM with an unknown incarnation registers a new one."""
        await self._steps(3)
        first = self.presence.incarnation_state.key
        self.leader.status = HeartbeatReply.UNKNOWN_INCARNATION
        await self._steps(1)
        self.leader.status = HeartbeatReply.SUPPORTED
        await self._steps(4)
        self.assertGreater(self.presence.incarnation_state.key, first)
        self.assertIs(self.presence.status, PresenceState.SERVING)

    async def test_authority_without_leader(self) -> None:
        """A zone's only VM serves without a leader for its grace period."""
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
        # leave() sets this first and then only waits.
        self.presence._stopping = True

    def _has_authority(self) -> bool:
        return self.presence.incarnation_state.support.has_authority()

    def _record_change(self) -> None:
        self.changes.append(self.presence.status)
