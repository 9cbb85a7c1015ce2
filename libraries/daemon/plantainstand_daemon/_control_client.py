"""Calls to the leader of the replicated log, whoever that is."""

from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass
from datetime import timedelta
from enum import Enum
from typing import TypeVar

from grpclib.client import Channel
from plantainstand_core import Clock, VmId
from plantainstand_protocol import (
    CallFailure,
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

from plantainstand_daemon._settings import VoterAddress
from plantainstand_daemon._tasks import pause

# A leader commits in one round trip between regions and two disk syncs; a
# longer silence is more likely a lost call than a slow one.
_ATTEMPT_TIMEOUT = timedelta(milliseconds=1500)
_HEARTBEAT_TIMEOUT = timedelta(milliseconds=1500)
_READ_ATTEMPTS = 8
_RETRY_PAUSE = timedelta(milliseconds=50)

ReadReplyT = TypeVar('ReadReplyT', LookUpRecordReply, ReportReply)


class ControlFailure(Enum):
    """Why a command has no outcome."""

    NOT_PROPOSED = 'not-proposed'
    """No voter took the command; it has no effect, also not later."""

    OUTCOME_UNKNOWN = 'outcome-unknown'
    """A voter may have taken the command; sending it again is safe."""


@dataclass(frozen=True)
class ControlProblem:
    """Why a command has no outcome."""

    failure: ControlFailure
    message: str


class ControlClient:
    """Finds the leader and sends it commands; owned by one event loop."""

    def __init__(
        self,
        voters: Sequence[VoterAddress],
        channels: ChannelPool,
        clock: Clock,
    ) -> None:
        """Use ``channels`` to reach ``voters``."""
        self._endpoints = {voter.vm: voter.endpoint for voter in voters}
        self._order = [voter.vm for voter in voters]
        self._channels = channels
        self._clock = clock
        self._guess = self._order[0]

    @property
    def leader_guess(self) -> VmId:
        """Voter that is asked first."""
        return self._guess

    async def propose(
        self,
        command: bytes,
        timeout: timedelta,
    ) -> Result[bytes, ControlProblem]:
        """Commit a command and return its encoded outcome.

        The command is sent again after a lost reply, so it must carry an id
        that makes the second one harmless.
        """
        deadline = self._clock.monotonic() + timeout
        may_be_taken = False
        message = 'no voter was asked'
        while self._clock.monotonic() < deadline:
            time_left = deadline - self._clock.monotonic()
            asked = self._guess
            called = await self._propose_once(command, time_left)
            if isinstance(called, Ok):
                reply = called.ok_value
                if reply.status == ProposeReply.COMMITTED:
                    return Ok(reply.outcome)
                may_be_taken |= reply.status != ProposeReply.NOT_LEADER
                message = _status_text(asked, reply)
                self._note_leader(asked, VmId(reply.leader))
            else:
                problem = called.err_value
                may_be_taken |= problem.failure is not CallFailure.NOT_SENT
                message = str(problem)
                self._note_leader(asked, VmId(''))
            await pause(_RETRY_PAUSE)
        return Err(_control_problem(may_be_taken, message))

    async def heartbeat(
        self,
        request: HeartbeatRequest,
    ) -> Result[HeartbeatReply, CallProblem]:
        """Send one heartbeat to the voter believed to lead."""
        asked = self._guess
        called: Result[
            HeartbeatReply,
            CallProblem,
        ] = await self._channels.call(
            self._endpoint(),
            lambda channel: ControlStub(channel).Heartbeat(request),
            _HEARTBEAT_TIMEOUT,
        )
        if isinstance(called, Err):
            self._note_leader(asked, VmId(''))
        elif called.ok_value.status == HeartbeatReply.NOT_LEADER:
            self._note_leader(asked, VmId(called.ok_value.leader))
        elif called.ok_value.status == HeartbeatReply.NO_QUORUM:
            self._note_leader(asked, VmId(''))
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
        """Ask the leader how far each entry VM has come."""
        return await self._ask_leader(
            lambda channel: ControlStub(channel).Report(ReportRequest()),
        )

    async def _ask_leader(
        self,
        method: Callable[[Channel], Awaitable[ReadReplyT]],
    ) -> Result[ReadReplyT, ControlProblem]:
        message = 'no voter was asked'
        for _ in range(_READ_ATTEMPTS):
            asked = self._guess
            called = await self._channels.call(
                self._endpoint(),
                method,
                _ATTEMPT_TIMEOUT,
            )
            if isinstance(called, Err):
                message = str(called.err_value)
                self._note_leader(asked, VmId(''))
                continue
            if called.ok_value.status == ReportReply.OK:
                return Ok(called.ok_value)
            message = f'voter {asked} does not lead'
            self._note_leader(asked, VmId(called.ok_value.leader))
            await pause(_RETRY_PAUSE)
        return Err(ControlProblem(ControlFailure.NOT_PROPOSED, message))

    async def _propose_once(
        self,
        command: bytes,
        time_left: timedelta,
    ) -> Result[ProposeReply, CallProblem]:
        request = ProposeRequest(command=command)
        return await self._channels.call(
            self._endpoint(),
            lambda channel: ControlStub(channel).Propose(request),
            min(time_left, _ATTEMPT_TIMEOUT),
        )

    def _endpoint(self) -> Endpoint:
        return self._endpoints[self._guess]

    def _note_leader(self, asked: VmId, named: VmId) -> None:
        if self._guess != asked:
            # Another task has learned of a leader in the meantime.
            return
        if named in self._endpoints and named != asked:
            self._guess = named
            return
        place = self._order.index(asked)
        self._guess = self._order[(place + 1) % len(self._order)]


def _status_text(asked: VmId, reply: ProposeReply) -> str:
    name = ProposeReply.Status.Name(reply.status)
    return f'voter {asked} answered {name}'


def _control_problem(may_be_taken: bool, message: str) -> ControlProblem:
    failure = ControlFailure.NOT_PROPOSED
    if may_be_taken:
        failure = ControlFailure.OUTCOME_UNKNOWN
    return ControlProblem(failure, message)
