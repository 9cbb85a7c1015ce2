"""What the authority knows of one process of an entry VM."""

from collections import deque
from datetime import timedelta
from typing import Final

from plantainstand_core import VmId
from plantainstand_desired import AccountName
from plantainstand_fleet import AccountQuestion, Allotment

from plantainstand_allotments._books import Holding
from plantainstand_allotments._terms import (
    CLOCK_MARGIN,
    LEASE,
    SEASONED_NUMBER,
)

_ANSWERED_LIMIT: Final = 64
"""Answers that may be under way: a VM asks up to twenty times a second and
ignores an answer after two seconds."""


class Periods:
    """Periods to wait for VMs whose clocks may be slow."""

    def __init__(self, holder_window: timedelta) -> None:
        """Compute the periods for the length of a holder's window."""
        self.window = holder_window * CLOCK_MARGIN
        """Until the runs of a process that ended have left each window."""

        self.lease = (LEASE + holder_window) * CLOCK_MARGIN
        """Until the same holds for a process that does not report."""


class ProcessRecord:
    """Reports of one process, and what it was given."""

    __slots__ = (
        '_answered',
        'first_heard_at',
        'heard_at',
        'holdings',
        'incarnation',
        'is_confirmed',
        'is_lost',
        'last_number',
        'position',
        'released_at',
        'vm',
    )

    def __init__(
        self, vm: VmId, incarnation: int, position: int, now: timedelta
    ) -> None:
        """Record a process that asks for the first time."""
        self.vm = vm
        self.incarnation = incarnation
        self.position = position
        self.first_heard_at = now
        self.heard_at = now
        self.last_number = 0
        self.is_lost = False
        self.released_at = now
        """When nothing is reserved any more, if it is lost."""

        self.is_confirmed = False
        """Whether a report covers all that leaders before have given."""

        self.holdings: dict[AccountName, Holding] = {}
        self._answered: deque[int] = deque(maxlen=_ANSWERED_LIMIT)

    def hear(
        self, question: AccountQuestion, periods: Periods, now: timedelta
    ) -> None:
        """Take note of a question.

        A report is complete if it was sent after an answer of this term was
        applied: from then on, the process ignores answers of earlier terms.
        The runs of a process before it are not in its reports.
        """
        self.heard_at = now
        self.last_number = question.number
        if self.is_confirmed:
            return
        is_seasoned = (
            question.number >= SEASONED_NUMBER
            or now - self.first_heard_at >= periods.window
        )
        self.is_confirmed = is_seasoned and question.applied in self._answered
        self._answered.append(question.number)

    def newest_answer(self) -> tuple[Allotment, ...]:
        """Return the allotments of the answer to the newest question."""
        return tuple(
            holding.given
            for holding in self.holdings.values()
            if holding.given is not None
        )
