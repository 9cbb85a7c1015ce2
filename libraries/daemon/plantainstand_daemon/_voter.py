"""The voter role: this VM's replica of the log."""

import asyncio
from collections.abc import Mapping, Sequence
from datetime import timedelta
from pathlib import Path

from plantainstand_consensus import (
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
# Messages that wait for a slow or silent voter; the log resends what is lost.
_MAX_IN_FLIGHT = 64


class RpcTransport:
    """Delivers consensus messages, one call each."""

    def __init__(
        self,
        own: VmId,
        endpoints: Mapping[VmId, Endpoint],
        channels: ChannelPool,
    ) -> None:
        """Send as ``own``."""
        self._own = own
        self._endpoints = endpoints
        self._channels = channels
        self._calls: dict[VmId, set[asyncio.Task[None]]] = {}

    def send(self, destination: VmId, message: Message) -> None:
        """Send without blocking, or drop the message."""
        endpoint = self._endpoints.get(destination)
        calls = self._calls.setdefault(destination, set())
        if endpoint is None or len(calls) >= _MAX_IN_FLIGHT:
            return
        envelope = ConsensusEnvelope(
            source=self._own,
            payload=encode_message(message),
        )
        task = asyncio.ensure_future(self._deliver(endpoint, envelope))
        calls.add(task)
        task.add_done_callback(calls.discard)

    async def _deliver(
        self,
        endpoint: Endpoint,
        envelope: ConsensusEnvelope,
    ) -> None:
        # A lost message needs nothing here: the log sends it again.
        await self._channels.call(
            endpoint,
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
    """Open the data folder and build the replica of this VM."""
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
            ),
        ),
    )
