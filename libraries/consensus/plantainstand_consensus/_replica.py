"""Replica that runs the protocol core in asyncio tasks."""

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
from plantainstand_consensus._waiting import PendingCalls
from plantainstand_consensus._writer import Writer

ValueT = TypeVar('ValueT')

_TICK_INTERVAL = HEARTBEAT_INTERVAL / 5


class LogReplica:
    """Replica of the log with its core, storage and state machine.

    All methods must be called in the event loop of :meth:`run`.
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
            limits=options.limits,
        )
        self._writer = Writer(storage, options.run_blocking)
        self._pending_calls = PendingCalls()
        self._applier = Applier(
            self._core,
            state_machine,
            self._pending_calls,
            options,
        )
        self._running = False
        self._inbox: list[tuple[VmId, Message]] = []
        self._wake = asyncio.Event()

    async def run(self) -> None:
        """Run the replica until cancelled, or until the disk fails.

        :meth:`status` reports a failed disk; the other voters continue.
        """
        with ExitStack() as stack:
            stack.callback(self._storage.close)
            stack.callback(self._stop)
            self._running = True
            async with asyncio.TaskGroup() as group:
                flushing = group.create_task(self._flush_forever())
                ticking = group.create_task(self._tick_forever())
                await self._writer.run(self._handle_written)
                flushing.cancel()
                ticking.cancel()

    def deliver(self, source: VmId, message: Message) -> None:
        """Queue a message from ``source``; ignored if not running."""
        if self._running:
            self._inbox.append((source, message))
            self._wake.set()

    async def propose(
        self,
        payload: bytes,
        timeout: timedelta,
    ) -> Result[bytes, ProposeProblem]:
        """Propose a command; return its outcome from the state machine."""
        if not self._running:
            return Err(self._stop_reason())
        return await self._await_proposal(
            self._core.propose(Command(payload)),
            timeout,
        )

    async def change_members(
        self,
        members: Sequence[VmId],
        timeout: timedelta,
    ) -> Result[None, ProposeProblem]:
        """Set which VMs are to be voters, and wait until this is committed.

        The voter set is then changed one voter at a time; see :meth:`status`.
        """
        if not self._running:
            return Err(self._stop_reason())
        proposed = self._core.change_members(members)
        outcome = await self._await_proposal(proposed, timeout)
        return outcome.map(_discard_value)

    def replace_peers(self, peers: Sequence[VmId]) -> None:
        """Set the VMs that get join requests while no leader sends the log."""
        self._core.replace_peers(peers)

    async def read_barrier(
        self,
        timeout: timedelta,
    ) -> Result[LogIndex, ProposeProblem]:
        """Wait until the state machine is current; only on the leader.

        On return, every command that any leader acknowledged before the call
        has been applied. Return the applied index.
        """
        if not self._running:
            return Err(self._stop_reason())
        leadership = self._core.leadership
        if leadership is None or not leadership.accepts_requests:
            return Err(NotLeader(self.status().leader))
        read = self._pending_calls.add_read(leadership)
        self._wake.set()
        return await self._await_call(read, timeout)

    def status(self) -> ReplicaStatus:
        """Return the current status."""
        return describe_status(
            self._core,
            self._options.clock.monotonic(),
            self._writer.problem,
            self._storage.journal_bytes,
            running=self._running,
        )

    def subscribe(self, after: LogIndex) -> Subscription:
        """Follow the committed commands after an index.

        A subscriber that needs compacted entries gets a snapshot first. Nothing
        is buffered for subscribers, so a slow one may get a snapshot again.
        """
        return Subscription(
            self._core.state, self._pending_calls.applied, after
        )

    async def _tick_forever(self) -> None:
        while True:
            self._core.tick(self._options.clock.monotonic())
            self._wake.set()
            await asyncio.sleep(_TICK_INTERVAL.total_seconds())

    async def _flush_forever(self) -> None:
        # All messages of one iteration of the event loop share one batch.
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

    def _handle_written(self, batches: Sequence[Effects]) -> None:
        self._core.record_synced(batches[-1].sequence)
        for batch in batches:
            for destination, message in batch.messages_after_sync:
                self._transport.send(destination, message)
        self._wake.set()

    async def _await_proposal(
        self,
        proposed: Result[int, ProposeProblem],
        timeout: timedelta,
    ) -> Result[bytes, ProposeProblem]:
        if isinstance(proposed, Err):
            return proposed
        waiter = self._pending_calls.add_proposal(
            proposed.ok_value,
            self._core.state.term,
        )
        self._wake.set()
        return await self._await_call(waiter, timeout)

    async def _await_call(
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
        self._pending_calls.stop(self._stop_reason())

    def _stop_reason(self) -> ProposeProblem:
        problem = self._writer.problem
        return Stopped() if problem is None else StorageFailed(problem)


def _discard_value(_outcome: bytes) -> None:
    """Replace the value of a result by None."""
