"""Replication of the control state to an entry VM that is not a voter."""

import asyncio
from collections.abc import Sequence
from datetime import timedelta

import structlog
from grpclib.client import Channel
from grpclib.exceptions import GRPCError, StreamTerminatedError
from plantainstand_core import LogIndex, VmId
from plantainstand_protocol.steering_grpc import ControlStub
from plantainstand_protocol.steering_pb2 import FollowItem, FollowRequest

from plantainstand_daemon._control_state import ControlState
from plantainstand_daemon._instruments import Instruments
from plantainstand_daemon._settings import VoterAddress
from plantainstand_daemon._tasks import sleep

_log = structlog.get_logger()

# A voter sends an item at least every 0.5 s. A longer silence means that the
# connection or the voter is lost, even if the kernel reports no error.
_SILENCE_TIMEOUT = timedelta(seconds=1.5)
_RECONNECT_DELAY = timedelta(milliseconds=100)


class Follower:
    """Keeps a copy of the control state up to date from a voter's stream."""

    def __init__(
        self,
        vm: VmId,
        voters: Sequence[VoterAddress],
        state: ControlState,
        instruments: Instruments,
    ) -> None:
        """Try the voters in random order, to spread the VMs over them."""
        self._vm = vm
        self._voters = list(voters)
        instruments.random_source.shuffle(self._voters)
        self._state = state
        self._clock = instruments.clock
        self._expected_index = LogIndex(0)
        self._expected_since = self._clock.monotonic()

    def record_commit_index(self, index: LogIndex) -> None:
        """Record the leader's commit index, to detect a voter that lags.

        A partitioned voter keeps sending keep-alives although it does not
        receive new entries.
        """
        if self._state.index >= self._expected_index:
            self._expected_index = index
            self._expected_since = self._clock.monotonic()

    async def run(self) -> None:
        """Follow one voter after another, until cancelled."""
        while True:  # noqa: WPS457
            for voter in self._voters:
                await self._follow(voter)
                await sleep(_RECONNECT_DELAY)

    async def _follow(self, voter: VoterAddress) -> None:
        channel = Channel(voter.host, voter.rpc_port)
        try:
            await self._read(channel)
        except (OSError, GRPCError, StreamTerminatedError) as problem:
            _log.info('log stream lost', voter=voter.vm, problem=repr(problem))
        finally:
            channel.close()

    async def _read(self, channel: Channel) -> None:
        seconds = _SILENCE_TIMEOUT.total_seconds()
        # Each voter gets the full timeout to reach the expected index.
        self._expected_since = self._clock.monotonic()
        await asyncio.wait_for(channel.__connect__(), seconds)
        async with ControlStub(channel).Follow.open() as stream:
            request = FollowRequest(
                vm=self._vm,
                after_index=self._state.index,
            )
            await stream.send_message(request, end=True)
            item = await asyncio.wait_for(stream.recv_message(), seconds)
            while item is not None and not self._is_voter_behind():
                self._apply_item(item)
                item = await asyncio.wait_for(stream.recv_message(), seconds)

    def _is_voter_behind(self) -> bool:
        if self._state.index >= self._expected_index:
            return False
        waited = self._clock.monotonic() - self._expected_since
        return waited > _SILENCE_TIMEOUT

    def _apply_item(self, item: FollowItem) -> None:
        kind = item.WhichOneof('item')
        if kind == 'snapshot':
            # An older snapshot from a voter that lags must not revert changes.
            if item.snapshot.index > self._state.index:
                self._state.restore(item.snapshot.state)
        elif kind == 'entries':
            for command in item.entries.commands:
                if command.index > self._state.index:
                    self._state.apply(
                        LogIndex(command.index),
                        command.command,
                    )
            self._state.advance(LogIndex(item.entries.through_index))
