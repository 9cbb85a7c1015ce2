"""Calls that wait for a proposal, a read or newly applied entries."""

import asyncio
from dataclasses import dataclass
from typing import TypeVar

from plantainstand_core import LogIndex
from result import Err, Ok, Result

from plantainstand_consensus._entries import Entry
from plantainstand_consensus._leading import Leadership
from plantainstand_consensus._problems import (
    NotLeader,
    ProposeProblem,
    TimedOut,
)

ValueT = TypeVar('ValueT')

ProposalWaiter = asyncio.Future[Result[bytes, ProposeProblem]]
ReadWaiter = asyncio.Future[Result[LogIndex, ProposeProblem]]


class Notifier:
    """Wakes all tasks that wait for a change."""

    def __init__(self) -> None:
        """Start open, without waiting tasks."""
        self._event = asyncio.Event()
        self.closed = False

    def notify(self) -> None:
        """Wake the tasks that are waiting."""
        self._event.set()
        self._event = asyncio.Event()

    def close(self) -> None:
        """Wake all tasks; later waits return at once."""
        self.closed = True
        self.notify()

    async def wait(self) -> None:
        """Wait for the next change."""
        if not self.closed:
            await self._event.wait()


@dataclass(frozen=True)
class _Read:
    leadership: Leadership
    round_number: int
    read_index: int
    waiter: ReadWaiter


class PendingCalls:
    """Futures of pending calls."""

    def __init__(self) -> None:
        """Start without calls."""
        self.applied = Notifier()
        self._proposals: dict[int, tuple[int, ProposalWaiter]] = {}
        self._reads: list[_Read] = []

    def add_proposal(self, index: int, term: int) -> ProposalWaiter:
        """Return a future for the outcome of an entry."""
        waiter: ProposalWaiter = asyncio.get_running_loop().create_future()
        # An index is reused only after the earlier entry was truncated.
        truncated_proposal = self._proposals.pop(index, None)
        if truncated_proposal:
            _complete(truncated_proposal[1], Err(NotLeader(None)))
        self._proposals[index] = (term, waiter)
        return waiter

    def complete_proposal(
        self,
        entry: Entry,
        outcome: bytes,
        replaced: NotLeader,
    ) -> None:
        """Complete the proposal that waits for this entry's index.

        The result is ``outcome`` if the entry is the proposed one, and
        ``replaced`` if an entry of another term took its place.
        """
        proposal = self._proposals.pop(entry.index, None)
        if proposal is not None:
            term, waiter = proposal
            is_proposed_entry = term == entry.term
            _complete(
                waiter, Ok(outcome) if is_proposed_entry else Err(replaced)
            )

    def time_out_through(self, index: int) -> None:
        """Fail proposals whose outcome is unknown after a received snapshot.

        Entries that the snapshot includes are not applied one by one.
        """
        for position in sorted(self._proposals):
            if position <= index:
                _term, waiter = self._proposals.pop(position)
                _complete(waiter, Err(TimedOut()))

    def add_read(self, leadership: Leadership) -> ReadWaiter:
        """Return a future for a read in a new read barrier round."""
        waiter: ReadWaiter = asyncio.get_running_loop().create_future()
        read = _Read(
            leadership,
            leadership.start_round(),
            leadership.read_index,
            waiter,
        )
        self._reads.append(read)
        return waiter

    def complete_reads(
        self,
        leadership: Leadership | None,
        applied_index: LogIndex,
    ) -> None:
        """Complete reads that are confirmed, or whose leadership has ended."""
        remaining = []
        for read in self._reads:
            leadership_ended = read.leadership is not leadership
            if leadership_ended:
                _complete(read.waiter, Err(NotLeader(None)))
            elif _is_current(read, applied_index):
                _complete(read.waiter, Ok(applied_index))
            else:
                remaining.append(read)
        self._reads = remaining

    def stop(self, reason: ProposeProblem) -> None:
        """Fail all pending calls with ``reason``."""
        waiters = [waiter for _term, waiter in self._proposals.values()]
        for proposal_waiter in waiters:
            _complete(proposal_waiter, Err(reason))
        for read in self._reads:
            _complete(read.waiter, Err(reason))
        self._proposals.clear()
        self._reads.clear()
        self.applied.close()


def _is_current(read: _Read, applied_index: LogIndex) -> bool:
    confirmed = read.leadership.is_round_confirmed(read.round_number)
    return confirmed and applied_index >= read.read_index


def _complete(
    waiter: 'asyncio.Future[Result[ValueT, ProposeProblem]]',
    outcome: 'Result[ValueT, ProposeProblem]',
) -> None:
    # A call that timed out has cancelled its future.
    if not waiter.done():
        waiter.set_result(outcome)
