"""The asyncio task around the protocol core."""

import asyncio
from collections.abc import Sequence
from contextlib import ExitStack
from datetime import timedelta
from typing import TypeVar

from plantainstand_core import LogIndex, VmId
from result import Err, Result

from plantainstand_consensus._applying import Applier
from plantainstand_consensus._core import ReplicaCore
from plantainstand_consensus._effects import Effects
from plantainstand_consensus._entries import Command
from plantainstand_consensus._interfaces import (
    ReplicaOptions,
    ReplicaStatus,
    StateMachine,
    Transport,
)
from plantainstand_consensus._messages import Message
from plantainstand_consensus._problems import (
    NotLeader,
    ProposeProblem,
    Stopped,
    StorageFailed,
    TimedOut,
)
from plantainstand_consensus._state import HEARTBEAT_INTERVAL
from plantainstand_consensus._status import describe_status
from plantainstand_consensus._storage import VoterStorage
from plantainstand_consensus._subscription import Subscription
from plantainstand_consensus._waiting import Waiting
from plantainstand_consensus._writer import Writer

ValueT = TypeVar('ValueT')

_TICK_INTERVAL = HEARTBEAT_INTERVAL / 5


class LogReplica:
    """A replica of the log that owns its core, storage and state machine.

    All methods are to be called in the event loop of :meth:`run`.
    """

    def __init__(
        self,
        storage: VoterStorage,
        state_machine: StateMachine,
        transport: Transport,
        options: ReplicaOptions,
    ):
        """Restore the state machine from the stored snapshot."""
        self._options = options
        self._transport = transport
        self._storage = storage
        self._core = ReplicaCore(
            storage.node,
            storage.state.log,
            storage.state.hard_state,
            peers=options.peers,
            founding_members=storage.identity.founding_members,
            random_source=options.random_source,
            now=options.clock.monotonic(),
        )
        self._writer = Writer(storage, options.run_blocking)
        self._waiting = Waiting()
        self._applier = Applier(
            self._core,
            state_machine,
            self._waiting,
            options,
        )
        self._running = False
        self._inbox: list[tuple[VmId, Message]] = []
        self._wake = asyncio.Event()

    async def run(self) -> None:
        """Take part until cancelled, or until the disk fails.

        A failed disk is reported by :meth:`status`; the other voters go on.
        """
        with ExitStack() as stack:
            stack.callback(self._storage.close)
            stack.callback(self._stop)
            self._running = True
            async with asyncio.TaskGroup() as group:
                flushing = group.create_task(self._flush_forever())
                ticking = group.create_task(self._tick_forever())
                await self._writer.run(self._written)
                flushing.cancel()
                ticking.cancel()

    def deliver(self, source: VmId, message: Message) -> None:
        """Take a message that ``source`` sent."""
        if self._running:
            self._inbox.append((source, message))
            self._wake.set()

    async def propose(
        self,
        payload: bytes,
        timeout: timedelta,
    ) -> Result[bytes, ProposeProblem]:
        """Append a command; return the outcome of its application."""
        if not self._running:
            return Err(self._stop_reason())
        return await self._outcome(
            self._core.propose(Command(payload)),
            timeout,
        )

    async def change_members(
        self,
        members: Sequence[VmId],
        timeout: timedelta,
    ) -> Result[None, ProposeProblem]:
        """Set which VMs are meant to be voters; returns once committed.

        The voter set follows one change at a time, see :meth:`status`.
        """
        if not self._running:
            return Err(self._stop_reason())
        accepted = self._core.change_members(members)
        outcome = await self._outcome(accepted, timeout)
        return outcome.map(_nothing)

    def replace_peers(self, peers: Sequence[VmId]) -> None:
        """Set the VMs to ask for admission while this disk is no voter."""
        self._core.replace_peers(peers)

    async def read_barrier(
        self,
        timeout: timedelta,
    ) -> Result[LogIndex, ProposeProblem]:
        """Wait until the state machine is current; leader only.

        On return it holds every command that was acknowledged, by any
        leader, before the call.
        """
        if not self._running:
            return Err(self._stop_reason())
        leadership = self._core.leadership
        if leadership is None or not leadership.may_serve:
            return Err(NotLeader(self.status().leader))
        read = self._waiting.add_read(leadership)
        self._wake.set()
        return await self._until(read, timeout)

    def status(self) -> ReplicaStatus:
        """Return the state at this moment."""
        return describe_status(
            self._core,
            self._options.clock.monotonic(),
            self._writer.problem,
            running=self._running,
        )

    def subscribe(self, after: LogIndex) -> Subscription:
        """Follow the committed commands after an index.

        A subscriber below the compacted part gets a snapshot first. Nothing
        is buffered for a subscriber: a slow one gets a snapshot again.
        """
        return Subscription(self._core.state, self._waiting.applied, after)

    async def _tick_forever(self) -> None:
        while True:
            self._core.tick(self._options.clock.monotonic())
            self._wake.set()
            await asyncio.sleep(_TICK_INTERVAL.total_seconds())

    async def _flush_forever(self) -> None:
        # Everything that arrives in one turn of the loop shares one batch.
        while True:
            await self._wake.wait()
            self._wake.clear()
            inbox = self._inbox
            self._inbox = []
            for source, message in inbox:
                self._core.receive(source, message)
            self._flush()

    def _flush(self) -> None:
        effects = self._core.take_effects()
        for destination, message in effects.messages:
            self._transport.send(destination, message)
        if effects.sequence:
            self._writer.add(effects)
        if self._applier.apply(effects):
            self._wake.set()

    def _written(self, batches: Sequence[Effects]) -> None:
        self._core.synced(batches[-1].sequence)
        for batch in batches:
            for destination, message in batch.held_messages:
                self._transport.send(destination, message)
        self._wake.set()

    async def _outcome(
        self,
        accepted: Result[int, ProposeProblem],
        timeout: timedelta,
    ) -> Result[bytes, ProposeProblem]:
        if isinstance(accepted, Err):
            return accepted
        waiter = self._waiting.add_proposal(
            accepted.ok_value,
            self._core.state.term,
        )
        self._wake.set()
        return await self._until(waiter, timeout)

    async def _until(
        self,
        waiter: 'asyncio.Future[Result[ValueT, ProposeProblem]]',
        timeout: timedelta,
    ) -> 'Result[ValueT, ProposeProblem]':
        done, _pending = await asyncio.wait(
            (waiter,),
            timeout=timeout.total_seconds(),
        )
        if done:
            return waiter.result()
        waiter.cancel()
        return Err(TimedOut())

    def _stop(self) -> None:
        self._running = False
        self._waiting.stop(self._stop_reason())

    def _stop_reason(self) -> ProposeProblem:
        problem = self._writer.problem
        return Stopped() if problem is None else StorageFailed(problem)


def _nothing(_outcome: bytes) -> None:
    """Drop the value of a result."""
