"""Client for the leader of the replicated log."""

from collections.abc import Awaitable, Callable, Sequence
from datetime import timedelta
from random import Random
from typing import TypeVar

from grpclib.client import Channel
from plantainstand_core import Clock, VmId
from plantainstand_protocol import (
    CallProblem,
    ChannelPool,
    Endpoint,
)
from plantainstand_protocol.steering_grpc import ControlStub
from plantainstand_protocol.steering_pb2 import (
    HeartbeatReply,
    HeartbeatRequest,
    LookUpRecordReply,
    LookUpRecordRequest,
    ProposeReply,
    ProposeRequest,
    ReportReply,
    ReportRequest,
)
from result import Err, Ok, Result

from plantainstand_daemon._control_problems import (
    ControlFailure,
    ControlProblem,
)
from plantainstand_daemon._proposer import Proposer
from plantainstand_daemon._settings import VoterAddress
from plantainstand_daemon._tasks import sleep

_READ_TIMEOUT = timedelta(milliseconds=1500)
# Longer than the voter's own timeout, so that its reply can arrive.
_PROPOSE_TIMEOUT = timedelta(seconds=2.5)
_HEARTBEAT_TIMEOUT = timedelta(milliseconds=1500)
_MAX_READ_ATTEMPTS = 8
_RETRY_DELAY = timedelta(milliseconds=50)

ReadReplyT = TypeVar('ReadReplyT', LookUpRecordReply, ReportReply)


class ControlClient:
    """Finds the leader and calls it.

    Not thread-safe: used on one event loop only.
    """

    def __init__(
        self,
        voters: Sequence[VoterAddress],
        channels: ChannelPool,
        clock: Clock,
        random_source: Random,
    ) -> None:
        """Use ``channels`` to reach ``voters``."""
        self._endpoints = {voter.vm: voter.endpoint for voter in voters}
        self._voter_order = [voter.vm for voter in voters]
        self._channels = channels
        self._presumed_leader = self._voter_order[0]
        self._proposer = Proposer(self._send_commands, clock, random_source)

    @property
    def presumed_leader(self) -> VmId:
        """Voter that is called first."""
        return self._presumed_leader

    async def propose(
        self,
        command: bytes,
        timeout: timedelta,
    ) -> Result[bytes, ControlProblem]:
        """Commit a command and return its encoded outcome.

        The command is sent again after a lost reply, so applying it twice must
        have no further effect, for example because it carries an id.
        """
        return await self._proposer.propose(command, timeout)

    async def heartbeat(
        self,
        request: HeartbeatRequest,
    ) -> Result[HeartbeatReply, CallProblem]:
        """Send one heartbeat to the presumed leader."""
        asked_voter = self._presumed_leader
        called: Result[
            HeartbeatReply,
            CallProblem,
        ] = await self._channels.call(
            self._endpoint(),
            lambda channel: ControlStub(channel).Heartbeat(request),
            _HEARTBEAT_TIMEOUT,
        )
        if isinstance(called, Err):
            self._update_leader(asked_voter, VmId(''))
        elif called.ok_value.status == HeartbeatReply.NOT_LEADER:
            self._update_leader(asked_voter, VmId(called.ok_value.leader))
        elif called.ok_value.status == HeartbeatReply.NO_QUORUM:
            self._update_leader(asked_voter, VmId(''))
        return called

    async def look_up_record(
        self,
        request_id: str,
    ) -> Result[bytes, ControlProblem]:
        """Read the record of a non-idempotent request at the leader."""
        request = LookUpRecordRequest(request_id=request_id)
        reply = await self._ask_leader(
            lambda channel: ControlStub(channel).LookUpRecord(request),
        )
        if isinstance(reply, Err):
            return reply
        return Ok(reply.ok_value.outcome)

    async def report(self) -> Result[ReportReply, ControlProblem]:
        """Ask the leader for the last heartbeat of each entry VM."""
        return await self._ask_leader(
            lambda channel: ControlStub(channel).Report(ReportRequest()),
        )

    async def _ask_leader(
        self,
        method: Callable[[Channel], Awaitable[ReadReplyT]],
    ) -> Result[ReadReplyT, ControlProblem]:
        message = 'no voter was asked'
        for _ in range(_MAX_READ_ATTEMPTS):
            asked_voter = self._presumed_leader
            called = await self._channels.call(
                self._endpoint(),
                method,
                _READ_TIMEOUT,
            )
            if isinstance(called, Err):
                message = str(called.err_value)
                self._update_leader(asked_voter, VmId(''))
                continue
            if called.ok_value.status == ReportReply.OK:
                return Ok(called.ok_value)
            message = f'voter {asked_voter} does not lead'
            self._update_leader(asked_voter, VmId(called.ok_value.leader))
            await sleep(_RETRY_DELAY)
        return Err(ControlProblem(ControlFailure.NOT_PROPOSED, message))

    async def _send_commands(
        self,
        commands: Sequence[bytes],
    ) -> Result[ProposeReply, CallProblem]:
        asked_voter = self._presumed_leader
        request = ProposeRequest(commands=commands)
        # Heartbeats detect a silent channel. A slow commit does not indicate
        # one, and replacing the channel would break other calls.
        called: Result[ProposeReply, CallProblem] = await self._channels.call(
            self._endpoint(),
            lambda channel: ControlStub(channel).Propose(request),
            _PROPOSE_TIMEOUT,
            replace_on_timeout=False,
        )
        if isinstance(called, Err):
            self._update_leader(asked_voter, VmId(''))
        elif called.ok_value.leader != asked_voter:
            self._update_leader(asked_voter, VmId(called.ok_value.leader))
        return called

    def _endpoint(self) -> Endpoint:
        return self._endpoints[self._presumed_leader]

    def _update_leader(self, asked_voter: VmId, named_leader: VmId) -> None:
        if self._presumed_leader != asked_voter:
            # Another task has changed the presumed leader in the meantime.
            return
        if named_leader in self._endpoints and named_leader != asked_voter:
            self._presumed_leader = named_leader
            return
        position = self._voter_order.index(asked_voter)
        self._presumed_leader = self._voter_order[
            (position + 1) % len(self._voter_order)
        ]
