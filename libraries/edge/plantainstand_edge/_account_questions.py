"""Questions to the leader on accounts, sent through one control VM.

One message asks for the newest change of accounts and for allotments of their
limits. A control VM that is not the leader forwards it.
"""

import asyncio
from collections.abc import Callable, Mapping, Sequence
from contextlib import suppress
from datetime import timedelta
from typing import Protocol

import structlog
from plantainstand_core import Clock, VmId
from plantainstand_fleet import (
    AccountAnswer,
    AccountQuestion,
    encode_fleet_message,
)

from plantainstand_edge._key_proofs import KeyProofs

_log = structlog.get_logger()

QUESTION_INTERVAL = timedelta(milliseconds=500)
"""Interval of the questions while there are accounts."""

ANSWER_TIMEOUT = timedelta(milliseconds=400)
"""Time without an answer after which the next control VM is asked."""

MIN_QUESTION_INTERVAL = timedelta(milliseconds=50)
"""Shortest interval of questions that requests wait for."""

MAX_URGENT_INTERVAL = timedelta(milliseconds=100)
"""Interval to which that one is doubled while requests keep waiting. With 87
accounts, a question and its answer have about 1,350 bytes and take the leader
0.2 ms. Every 50 ms, they would take a tenth of a link of 2 Mbit/s and, from 88
VMs, a third of a processor at the leader. At 200 ms, some requests get no
answer within the time for which they wait."""


class QuestionSource(Protocol):
    """Numbers the questions, and takes their answers."""

    def next_question(self, now: timedelta) -> AccountQuestion:
        """Return the next question of this process."""

    def apply(self, answer: AccountAnswer, now: timedelta) -> bool:
        """Apply an answer; return whether it was of use."""


class QuestionLink(Protocol):
    """Link to a control VM."""

    def send(self, frame: bytes) -> None:
        """Send a frame; drop it if the link is closed."""


OpenLinks = Callable[[], Mapping[VmId, QuestionLink]]
"""Returns the open links in a fixed order."""


class KeyQuestions:
    """Questions of a VM that enforces no limits of accounts."""

    def __init__(self, incarnation: int):
        """``incarnation`` identifies this process."""
        self._incarnation = incarnation
        self._number = 0

    def next_question(self, _now: timedelta) -> AccountQuestion:
        """See :meth:`QuestionSource.next_question`."""
        self._number += 1
        return AccountQuestion(self._number, self._incarnation)

    def apply(self, _answer: AccountAnswer, _now: timedelta) -> bool:
        """See :meth:`QuestionSource.apply`."""
        return True


class AccountQuestions:
    """Asks on an interval, at once when needed, and on each new link."""

    def __init__(
        self,
        source: QuestionSource,
        incarnation: int,
        proofs: KeyProofs,
        is_needed: Callable[[], bool],
        clock: Clock,
    ):
        """``is_needed`` tells whether there is anything to ask."""
        self._source = source
        self._incarnation = incarnation
        self._proofs = proofs
        self._is_needed = is_needed
        self._clock = clock
        self._wake = asyncio.Event()
        self._answered = asyncio.Event()
        self._control: VmId | None = None
        self._asked_at = timedelta.min
        self._silent_since: timedelta | None = None
        self._is_urgent = False
        self._urgent_interval = MIN_QUESTION_INTERVAL
        self._was_current: bool | None = None

    async def run(self, open_links: OpenLinks) -> None:
        """Ask until cancelled."""
        while True:
            self._wake.clear()
            now = self._clock.monotonic()
            if self._is_needed() and now >= self._due_at():
                if self._asked_at != timedelta.min:
                    self._log_change(now)
                self._ask(open_links(), now)
            await self._sleep(now)

    def check(self) -> None:
        """Start to ask if the desired state now has accounts."""
        if self._asked_at == timedelta.min and self._is_needed():
            self._wake.set()

    def ask_soon(self) -> None:
        """Ask as soon as the shortest interval allows."""
        self._is_urgent = True
        self._wake.set()

    async def wait_for_answer(self, time_limit: timedelta) -> bool:
        """Wait for an answer of use; return whether one has arrived."""
        with suppress(TimeoutError):
            async with asyncio.timeout(time_limit.total_seconds()):
                return await self._answered.wait()
        return False

    def link_opened(self, control: VmId, send: Callable[[bytes], None]) -> None:
        """Ask on a new link."""
        if self._is_needed():
            now = self._clock.monotonic()
            self._control = self._control or control
            if self._control == control and self._silent_since is None:
                self._silent_since = now
            send(self._next_frame(now))

    def link_closed(self, control: VmId) -> None:
        """Ask another control VM if this one was to answer."""
        if control == self._control:
            self._silent_since = None
            self.ask_soon()

    def receive(self, answer: AccountAnswer) -> None:
        """Take an answer from any control VM."""
        if answer.incarnation != self._incarnation:
            # A process that ran before on this VM had asked.
            return
        now = self._clock.monotonic()
        self._silent_since = None
        self._proofs.record_answer(answer.number, answer.accounts_index)
        if self._source.apply(answer, now):
            self._answered.set()
            self._answered = asyncio.Event()
        self._log_change(now)

    async def _sleep(self, now: timedelta) -> None:
        """Wait until the next question is due, or something has changed."""
        time_limit = None
        if self._is_needed():
            time_limit = (self._due_at() - now).total_seconds()
        with suppress(TimeoutError):
            async with asyncio.timeout(time_limit):
                await self._wake.wait()

    def _due_at(self) -> timedelta:
        if self._asked_at == timedelta.min:
            return self._asked_at
        due = self._asked_at + QUESTION_INTERVAL
        if self._silent_since is not None:
            due = min(due, self._silent_since + ANSWER_TIMEOUT)
        if self._is_urgent:
            due = min(due, self._asked_at + self._urgent_interval)
        return due

    def _ask(self, links: Mapping[VmId, QuestionLink], now: timedelta) -> None:
        if self._is_urgent:
            doubled = self._urgent_interval * 2
            self._urgent_interval = min(doubled, MAX_URGENT_INTERVAL)
        else:
            self._urgent_interval = MIN_QUESTION_INTERVAL
        self._is_urgent = False
        self._choose(tuple(links), now)
        if self._control is None:
            self._asked_at = now
            return
        if self._silent_since is None:
            self._silent_since = now
        links[self._control].send(self._next_frame(now))

    def _choose(self, controls: Sequence[VmId], now: timedelta) -> None:
        silent_since = self._silent_since
        is_silent = silent_since is not None and (
            now - silent_since >= ANSWER_TIMEOUT
        )
        if self._control in controls and not is_silent:
            return
        self._silent_since = None
        # Those after the silent one come first, then those before it.
        later = [vm for vm in controls if vm > (self._control or '')]
        self._control = next(iter((*later, *controls)), None)

    def _next_frame(self, now: timedelta) -> bytes:
        question = self._source.next_question(now)
        self._asked_at = now
        self._proofs.record_question(question.number, now)
        return encode_fleet_message(question)

    def _log_change(self, now: timedelta) -> None:
        is_current = self._proofs.is_current(now)
        if not self._proofs.is_required or is_current == self._was_current:
            return
        self._was_current = is_current
        age_seconds = round(self._proofs.age(now).total_seconds(), 3)
        if is_current:
            _log.info('keys confirmed', age_s=age_seconds)
        else:
            _log.warning(
                'keys not confirmed',
                age_s=age_seconds,
                control=self._control,
            )
