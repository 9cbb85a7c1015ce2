"""Voter role: this VM's replica of the log and its transport."""

import asyncio
from collections.abc import Mapping, Sequence
from datetime import timedelta
from pathlib import Path

from plantainstand_consensus import (
    LogLimits,
    LogReplica,
    Message,
    ReplicaOptions,
    encode_message,
    open_voter,
)
from plantainstand_core import VmId
from plantainstand_protocol import ChannelPool, Endpoint
from plantainstand_protocol.steering_grpc import ConsensusStub
from plantainstand_protocol.steering_pb2 import ConsensusEnvelope
from plantainstand_storage import StorageProblem
from result import Err, Ok, Result

from plantainstand_daemon._control_state import ControlState
from plantainstand_daemon._instruments import Instruments
from plantainstand_daemon._settings import VoterAddress

_SEND_TIMEOUT = timedelta(milliseconds=1500)
# Limits on calls and messages that wait for a slow or silent voter. Further
# messages are dropped; the consensus protocol resends them.
_MAX_CONCURRENT_CALLS = 64
_MAX_WAITING_MESSAGES = 256
_MAX_WAITING_BYTES = 2_097_152
_MAX_CALL_BYTES = 8_388_608
MAX_COMMAND_BYTES = 1_048_576
"""Longest command: with the messages that wait before it, it must fit into one
call, which gRPC limits to 4 MiB."""

# Messages of this interval are sent in one call, because each call costs a
# voter about a millisecond of processor time.
_BATCH_WINDOW_SECONDS = 0.002


class RpcTransport:
    """Sends consensus messages over gRPC."""

    def __init__(
        self,
        own: VmId,
        endpoints: Mapping[VmId, Endpoint],
        channels: ChannelPool,
    ) -> None:
        """Send messages with ``own`` as their source."""
        self._senders = {
            destination: _VoterSender(own, endpoint, channels)
            for destination, endpoint in endpoints.items()
        }

    def send(self, destination: VmId, message: Message) -> None:
        """Send a message without blocking, or drop it."""
        sender = self._senders.get(destination)
        if sender is not None:
            sender.send(encode_message(message))


class _VoterSender:
    """Sends messages to one voter, batched by time."""

    def __init__(
        self,
        own: VmId,
        endpoint: Endpoint,
        channels: ChannelPool,
    ) -> None:
        self._own = own
        self._endpoint = endpoint
        self._channels = channels
        self._waiting: list[bytes] = []
        self._waiting_bytes = 0
        self._calls: set[asyncio.Task[None]] = set()
        self._call_bytes = 0
        self._is_flush_scheduled = False

    def send(self, payload: bytes) -> None:
        if (
            len(self._waiting) >= _MAX_WAITING_MESSAGES
            or self._waiting_bytes > _MAX_WAITING_BYTES
        ):
            return
        self._waiting.append(payload)
        self._waiting_bytes += len(payload)
        if not self._is_flush_scheduled:
            self._is_flush_scheduled = True
            asyncio.get_running_loop().call_later(
                _BATCH_WINDOW_SECONDS, self._flush
            )

    def _flush(self) -> None:
        self._is_flush_scheduled = False
        payloads = self._waiting
        self._waiting = []
        size = self._waiting_bytes
        self._waiting_bytes = 0
        if (
            len(self._calls) >= _MAX_CONCURRENT_CALLS
            or self._call_bytes > _MAX_CALL_BYTES
        ):
            return
        self._call_bytes += size
        envelope = ConsensusEnvelope(source=self._own, payloads=payloads)
        task = asyncio.ensure_future(self._deliver(envelope))
        self._calls.add(task)
        task.add_done_callback(lambda done: self._end_call(done, size))

    def _end_call(self, call: 'asyncio.Task[None]', size: int) -> None:
        self._calls.discard(call)
        self._call_bytes -= size

    async def _deliver(self, envelope: ConsensusEnvelope) -> None:
        # A failed call is ignored: the consensus protocol resends messages.
        await self._channels.call(
            self._endpoint,
            lambda channel: ConsensusStub(channel).Deliver(envelope),
            _SEND_TIMEOUT,
        )


def open_replica(
    vm: VmId,
    folder: Path,
    voters: Sequence[VoterAddress],
    state: ControlState,
    channels: ChannelPool,
    instruments: Instruments,
) -> Result[LogReplica, StorageProblem]:
    """Open the data folder and create the replica of this VM."""
    opened = open_voter(folder, vm)
    if isinstance(opened, Err):
        return opened
    endpoints = {voter.vm: voter.endpoint for voter in voters if voter.vm != vm}
    return Ok(
        LogReplica(
            opened.ok_value,
            state,
            RpcTransport(vm, endpoints, channels),
            ReplicaOptions(
                peers=tuple(endpoints),
                clock=instruments.clock,
                random_source=instruments.random_source,
                limits=LogLimits(entry_bytes=MAX_COMMAND_BYTES),
            ),
        ),
    )
