"""Callers that wait for a proposal, a read or newly applied entries."""

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
    """Wakes every task that waits for a change."""

    def __init__(self) -> None:
        """Start without waiting tasks."""
        self._event = asyncio.Event()
        self.closed = False

    def notify(self) -> None:
        """Wake the tasks that wait now."""
        self._event.set()
        self._event = asyncio.Event()

    def close(self) -> None:
        """Wake all tasks; there will be no further change."""
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


class Waiting:
    """Futures of calls in progress."""

    def __init__(self) -> None:
        """Start without calls."""
        self.applied = Notifier()
        self._proposals: dict[int, tuple[int, ProposalWaiter]] = {}
        self._reads: list[_Read] = []

    def add_proposal(self, index: int, term: int) -> ProposalWaiter:
        """Return a future for the outcome of an entry."""
        waiter: ProposalWaiter = asyncio.get_running_loop().create_future()
        # The index is used again only if its earlier entry was truncated.
        displaced = self._proposals.pop(index, None)
        if displaced:
            _settle(displaced[1], Err(NotLeader(None)))
        self._proposals[index] = (term, waiter)
        return waiter

    def settle_proposal(
        self,
        entry: Entry,
        outcome: bytes,
        replaced: NotLeader,
    ) -> None:
        """Answer the caller whose proposal had this entry's index."""
        proposal = self._proposals.pop(entry.index, None)
        if proposal is not None:
            term, waiter = proposal
            kept = term == entry.term
            _settle(waiter, Ok(outcome) if kept else Err(replaced))

    def skip_through(self, index: int) -> None:
        """Give up on outcomes that a received snapshot has swallowed."""
        for position in sorted(self._proposals):
            if position <= index:
                _term, waiter = self._proposals.pop(position)
                _settle(waiter, Err(TimedOut()))

    def add_read(self, leadership: Leadership) -> ReadWaiter:
        """Return a future for a read in the leader's next round."""
        waiter: ReadWaiter = asyncio.get_running_loop().create_future()
        read = _Read(
            leadership,
            leadership.start_round(),
            leadership.read_index,
            waiter,
        )
        self._reads.append(read)
        return waiter

    def settle_reads(
        self,
        leadership: Leadership | None,
        applied_index: LogIndex,
    ) -> None:
        """Answer the reads that are confirmed, or can never be."""
        remaining = []
        for read in self._reads:
            ended = read.leadership is not leadership
            if ended:
                _settle(read.waiter, Err(NotLeader(None)))
            elif _is_current(read, applied_index):
                _settle(read.waiter, Ok(applied_index))
            else:
                remaining.append(read)
        self._reads = remaining

    def stop(self, reason: ProposeProblem) -> None:
        """Answer every call with ``reason``."""
        waiters = [waiter for _term, waiter in self._proposals.values()]
        for proposal_waiter in waiters:
            _settle(proposal_waiter, Err(reason))
        for read in self._reads:
            _settle(read.waiter, Err(reason))
        self._proposals.clear()
        self._reads.clear()
        self.applied.close()


def _is_current(read: _Read, applied_index: LogIndex) -> bool:
    confirmed = read.leadership.confirms(read.round_number)
    return confirmed and applied_index >= read.read_index


def _settle(
    waiter: 'asyncio.Future[Result[ValueT, ProposeProblem]]',
    outcome: 'Result[ValueT, ProposeProblem]',
) -> None:
    # A caller that ran out of time has cancelled its future.
    if not waiter.done():
        waiter.set_result(outcome)
