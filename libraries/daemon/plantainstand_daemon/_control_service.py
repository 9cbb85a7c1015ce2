"""gRPC services of a voter: consensus messages and the control state."""

import asyncio
from collections.abc import AsyncIterator
from datetime import timedelta

from grpclib.server import Stream
from plantainstand_consensus import (
    EntriesItem,
    LogReplica,
    NotLeader,
    Role,
    SnapshotItem,
    Subscription,
    decode_message,
)
from plantainstand_core import (
    LogIndex,
    RequestId,
    VmId,
)
from plantainstand_protocol.steering_grpc import ConsensusBase, ControlBase
from plantainstand_protocol.steering_pb2 import (
    ConsensusEnvelope,
    Empty,
    FollowItem,
    FollowKeepAlive,
    FollowRequest,
    FollowSnapshot,
    HeartbeatReply,
    HeartbeatRequest,
    LookUpRecordReply,
    LookUpRecordRequest,
    ProposeReply,
    ProposeRequest,
    ProposeResult,
    ReportReply,
    ReportRequest,
    VmReport,
)
from plantainstand_records import decode_command as decode_record_command
from plantainstand_records import encode_command as encode_record_command
from plantainstand_records import encode_outcome, stamp_command
from plantainstand_shares import (
    HeartbeatStatus,
)
from result import Err, Ok

from plantainstand_daemon._control_messages import (
    decode_heartbeat,
    encode_vm,
    entries_item,
    proposal_status,
)
from plantainstand_daemon._control_state import (
    CommandKind,
    ControlState,
    command_kind,
    wrap_command,
)
from plantainstand_daemon._instruments import Instruments
from plantainstand_daemon._leader import Leader

_PROPOSE_TIMEOUT = timedelta(seconds=2)
_READ_TIMEOUT = timedelta(seconds=1)
_KEEP_ALIVE_INTERVAL = timedelta(milliseconds=500)
# A follower that lacks more entries than this gets a snapshot. A snapshot is
# cheaper, because most of the entries are request records.
_MAX_CATCH_UP_ENTRIES = 4096
_MILLISECOND = timedelta(milliseconds=1)


class ConsensusService(ConsensusBase):
    """Receives consensus messages from the other voters."""

    def __init__(self, replica: LogReplica) -> None:
        """Deliver received messages to ``replica``."""
        self._replica = replica

    async def Deliver(  # noqa: N802
        self,
        stream: Stream[ConsensusEnvelope, Empty],
    ) -> None:
        """Receive messages; drop those that cannot be decoded.

        Consensus tolerates lost messages, so a dropped one does no harm.
        """
        envelope = await stream.recv_message()
        if envelope is not None:
            source = VmId(envelope.source)
            for payload in envelope.payloads:
                message = decode_message(payload)
                if isinstance(message, Ok):
                    self._replica.deliver(source, message.ok_value)
        await stream.send_message(Empty())


class ControlService(ControlBase):
    """Accepts commands, answers heartbeats and streams the log."""

    def __init__(
        self,
        replica: LogReplica,
        state: ControlState,
        leader: Leader,
        instruments: Instruments,
    ) -> None:
        """Serve the control state of ``replica``."""
        self._replica = replica
        self._state = state
        self._leader = leader
        self._clock = instruments.clock

    async def Propose(  # noqa: N802
        self,
        stream: Stream[ProposeRequest, ProposeReply],
    ) -> None:
        """Commit commands and return their outcomes."""
        request = await stream.recv_message()
        if request is None:
            return
        proposals = (self._propose(command) for command in request.commands)
        results = await asyncio.gather(*proposals)
        leader = self._replica.status().leader or ''
        await stream.send_message(ProposeReply(results=results, leader=leader))

    async def Follow(  # noqa: N802
        self,
        stream: Stream[FollowRequest, FollowItem],
    ) -> None:
        """Send the control state, then each change, without request records."""
        request = await stream.recv_message()
        if request is None:
            return
        position = LogIndex(request.after_index)
        entries_behind = self._state.index - position
        if entries_behind > _MAX_CATCH_UP_ENTRIES or position == 0:
            position = self._state.index
            await stream.send_message(self._snapshot_item())
        subscription = self._replica.subscribe(position)
        async for item in self._follow_items(subscription):
            await stream.send_message(item)

    async def Heartbeat(  # noqa: N802
        self,
        stream: Stream[HeartbeatRequest, HeartbeatReply],
    ) -> None:
        """Grant or refuse support to an entry VM."""
        request = await stream.recv_message()
        if request is None:
            return
        status = self._replica.status()
        if status.role is Role.LEADER:
            reply = self._heartbeat(request, status.commit_index)
        else:
            reply = HeartbeatReply(
                status=HeartbeatReply.NOT_LEADER,
                leader=status.leader or '',
            )
        await stream.send_message(reply)

    async def Report(  # noqa: N802
        self,
        stream: Stream[ReportRequest, ReportReply],
    ) -> None:
        """Report the log's state and the last heartbeat of each entry VM."""
        await stream.recv_message()
        status = self._replica.status()
        reply = ReportReply(leader=status.leader or '', term=status.term)
        if status.role is not Role.LEADER:
            reply.status = ReportReply.NOT_LEADER
        elif not (status.has_quorum_contact and self._leader.is_active):
            reply.status = ReportReply.NO_QUORUM
        reply.commit_index = status.commit_index
        reply.voters.extend(node.vm for node in status.voters)
        reply.vms.extend(self._vm_reports())
        await stream.send_message(reply)

    async def LookUpRecord(  # noqa: N802
        self,
        stream: Stream[LookUpRecordRequest, LookUpRecordReply],
    ) -> None:
        """Read a request record linearizably, after a read barrier."""
        request = await stream.recv_message()
        if request is None:
            return
        barrier = await self._replica.read_barrier(_READ_TIMEOUT)
        if isinstance(barrier, Err):
            problem = barrier.err_value
            reply = LookUpRecordReply(status=ReportReply.NO_QUORUM)
            if isinstance(problem, NotLeader):
                reply.status = ReportReply.NOT_LEADER
                reply.leader = problem.leader or ''
        else:
            found = self._state.records.lookup(RequestId(request.request_id))
            reply = LookUpRecordReply(outcome=encode_outcome(found))
        await stream.send_message(reply)

    async def _propose(self, command: bytes) -> ProposeResult:
        proposed = await self._replica.propose(
            self._stamp(command),
            _PROPOSE_TIMEOUT,
        )
        if isinstance(proposed, Ok):
            return ProposeResult(outcome=proposed.ok_value)
        return ProposeResult(status=proposal_status(proposed.err_value))

    def _stamp(self, command: bytes) -> bytes:
        if command_kind(command) is not CommandKind.RECORDS:
            return command
        decoded = decode_record_command(command[1:])
        if isinstance(decoded, Err):
            return command
        stamped = stamp_command(decoded.ok_value, self._clock.wall())
        return wrap_command(
            CommandKind.RECORDS,
            encode_record_command(stamped),
        )

    def _heartbeat(
        self,
        request: HeartbeatRequest,
        commit_index: LogIndex,
    ) -> HeartbeatReply:
        answer = self._leader.answer(
            decode_heartbeat(request),
            request.in_flight,
        )
        statuses = {
            HeartbeatStatus.SUPPORTED: HeartbeatReply.SUPPORTED,
            HeartbeatStatus.NO_QUORUM: HeartbeatReply.NO_QUORUM,
            HeartbeatStatus.UNKNOWN_INCARNATION: (
                HeartbeatReply.UNKNOWN_INCARNATION
            ),
        }
        return HeartbeatReply(
            status=statuses[answer.status],
            commit_index=commit_index,
            revoke=[encode_vm(key) for key in answer.revoke],
        )

    def _vm_reports(self) -> list[VmReport]:
        now = self._clock.monotonic()
        return [
            VmReport(
                vm=encode_vm(key),
                applied_index=last.applied_index,
                heartbeat_age_ms=(now - last.received_at) // _MILLISECOND,
                in_flight=last.in_flight,
            )
            for key, last in self._leader.last_heartbeats.items()
        ]

    def _snapshot_item(self) -> FollowItem:
        return FollowItem(
            snapshot=FollowSnapshot(
                index=self._state.index,
                state=self._state.follower_snapshot(),
            ),
        )

    async def _follow_items(
        self,
        subscription: Subscription,
    ) -> AsyncIterator[FollowItem]:
        waiting = asyncio.ensure_future(_next_item(subscription))
        try:
            while True:  # noqa: WPS457
                await asyncio.wait(
                    (waiting,),
                    timeout=_KEEP_ALIVE_INTERVAL.total_seconds(),
                )
                if not waiting.done():
                    yield self._keep_alive()
                    continue
                item = waiting.result()
                if item is None:
                    return
                yield self._follow_item(item)
                waiting = asyncio.ensure_future(_next_item(subscription))
        finally:
            waiting.cancel()

    def _follow_item(self, item: SnapshotItem | EntriesItem) -> FollowItem:
        if isinstance(item, SnapshotItem):
            return self._snapshot_item()
        return entries_item(item.entries, item.through)

    def _keep_alive(self) -> FollowItem:
        index = self._replica.status().commit_index
        return FollowItem(keep_alive=FollowKeepAlive(commit_index=index))


async def _next_item(
    subscription: Subscription,
) -> SnapshotItem | EntriesItem | None:
    """Return the next item, or ``None`` once the replica has stopped."""
    try:
        return await anext(subscription)
    except StopAsyncIteration:
        return None
