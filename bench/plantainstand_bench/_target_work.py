"""Slots, waiting work and cancellation of one target."""

import threading
from collections import deque
from collections.abc import Callable
from datetime import timedelta
from enum import Enum

from plantainstand_core import Clock, RequestId
from result import Err, Ok, Result

from plantainstand_bench._journal import (
    JournalEvent,
    JournalKind,
    JournalWriter,
)
from plantainstand_bench._target_settings import TargetFaults, TargetSettings

# States of finished requests are kept so that a cancel can report them.
_STATES_KEPT = 50_000


class WorkState(Enum):
    """State of a request at a target."""

    WAITING = 'waiting'
    RUNNING = 'running'
    DONE = 'done'
    CANCELLED = 'cancelled'


class Refusal(Enum):
    """Why work is refused before it starts."""

    DRAINING = 'draining'
    SHED = 'shed'
    DEADLINE = 'deadline'
    CANCELLED = 'cancelled'


class Ticket:
    """One accepted request; the same id may hold several tickets."""

    def __init__(self, request_id: RequestId, deadline: timedelta):
        """Hold ``deadline`` on the monotonic clock."""
        self.request_id = request_id
        self.deadline = deadline
        self.state = WorkState.WAITING


class TargetWork:
    """Accepts, starts and ends work; every step goes to the journal.

    Work above the slots waits in order of arrival, so the number of running
    requests stays at or below the slots; the journal shows the overrun.
    """

    def __init__(
        self,
        settings: TargetSettings,
        clock: Clock,
        journal: JournalWriter,
    ):
        """Start with free slots and write the boot event."""
        self._settings = settings
        self._clock = clock
        self._journal = journal
        self._changed = threading.Condition()
        self._running = 0
        self._waiting: deque[Ticket] = deque()
        self._states: dict[RequestId, WorkState] = {}
        self._faults = TargetFaults()
        self._write(JournalKind.BOOT, RequestId(''))

    @property
    def in_use(self) -> int:
        """Requests running and waiting."""
        return self._running + len(self._waiting)

    @property
    def faults(self) -> TargetFaults:
        """Faults in force."""
        return self._faults

    def replace_faults(self, faults: TargetFaults) -> None:
        """Replace the faults."""
        with self._changed:
            if faults.draining and not self._faults.draining:
                self._write(JournalKind.DRAIN, RequestId(''))
            self._faults = faults

    def accept(
        self,
        request_id: RequestId,
        deadline: timedelta,
    ) -> Result[Ticket, Refusal]:
        """Accept work, or refuse it because of drain, load or a cancel."""
        with self._changed:
            refusal = self._find_refusal(request_id, deadline)
            if refusal is not None:
                self._write(JournalKind.REFUSE, request_id, refusal.value)
                return Err(refusal)
            ticket = Ticket(request_id, deadline)
            self._enqueue(ticket)
            return Ok(ticket)

    def wait_for_slot(self, ticket: Ticket) -> Result[None, Refusal]:
        """Block until the work may start, its deadline or its cancel."""
        with self._changed:
            self._changed.wait_for(
                lambda: ticket.state is not WorkState.WAITING,
                self.time_left(ticket).total_seconds(),
            )
            if ticket.state is WorkState.RUNNING:
                return Ok(None)
            if ticket.state is WorkState.CANCELLED:
                return Err(Refusal.CANCELLED)
            self._waiting.remove(ticket)
            self._states.pop(ticket.request_id, None)
            refusal = Refusal.DEADLINE
            self._write(JournalKind.REFUSE, ticket.request_id, refusal.value)
            return Err(refusal)

    def finish(self, ticket: Ticket, detail: str) -> None:
        """Free the slot of running work and start the next."""
        with self._changed:
            self._running -= 1
            self._set_state(ticket, WorkState.DONE)
            self._write(JournalKind.END, ticket.request_id, detail)
            self._start_waiting()
            self._changed.notify_all()

    def cancel(self, request_id: RequestId) -> WorkState:
        """Cancel work that has not started; return the state.

        An id that never arrived is cancelled too, and refused later.
        """
        with self._changed:
            state = self._states.get(request_id, WorkState.CANCELLED)
            if state in {WorkState.RUNNING, WorkState.DONE}:
                return state
            self._remember(request_id, WorkState.CANCELLED)
            self._drop_waiting(request_id)
            self._write(JournalKind.CANCEL, request_id)
            self._changed.notify_all()
            return WorkState.CANCELLED

    def time_left(self, ticket: Ticket) -> timedelta:
        """Return the time until the deadline; zero when it has passed."""
        left = ticket.deadline - self._clock.monotonic()
        return max(left, timedelta())

    def _find_refusal(
        self,
        request_id: RequestId,
        deadline: timedelta,
    ) -> Refusal | None:
        checks: tuple[tuple[Refusal, Callable[[], bool]], ...] = (
            (Refusal.CANCELLED, lambda: self._is_cancelled(request_id)),
            (Refusal.DRAINING, lambda: self._faults.draining),
            (Refusal.SHED, lambda: self.in_use >= self._shed_limit()),
            (Refusal.DEADLINE, lambda: deadline <= self._clock.monotonic()),
        )
        return next((refusal for refusal, holds in checks if holds()), None)

    def _is_cancelled(self, request_id: RequestId) -> bool:
        return self._states.get(request_id) is WorkState.CANCELLED

    def _shed_limit(self) -> int:
        limit = self._faults.shed_limit
        return self._settings.effective_shed_limit if limit is None else limit

    def _enqueue(self, ticket: Ticket) -> None:
        self._waiting.append(ticket)
        self._set_state(ticket, WorkState.WAITING)
        if self.in_use > self._settings.slots:
            self._write(JournalKind.QUEUE, ticket.request_id)
        self._start_waiting()

    def _start_waiting(self) -> None:
        while self._waiting and self._running < self._settings.slots:
            ticket = self._waiting.popleft()
            self._running += 1
            self._set_state(ticket, WorkState.RUNNING)
            self._write(JournalKind.START, ticket.request_id)

    def _drop_waiting(self, request_id: RequestId) -> None:
        dropped = [
            ticket
            for ticket in self._waiting
            if ticket.request_id == request_id
        ]
        for ticket in dropped:
            ticket.state = WorkState.CANCELLED
            self._waiting.remove(ticket)

    def _set_state(self, ticket: Ticket, state: WorkState) -> None:
        ticket.state = state
        self._remember(ticket.request_id, state)

    def _remember(self, request_id: RequestId, state: WorkState) -> None:
        self._states.pop(request_id, None)
        self._states[request_id] = state
        if len(self._states) > _STATES_KEPT:
            self._states.pop(next(iter(self._states)))

    def _write(
        self,
        kind: JournalKind,
        request_id: RequestId,
        detail: str = '',
    ) -> None:
        self._journal.write(
            JournalEvent(
                event=kind,
                time=self._clock.wall().timestamp(),
                target=self._settings.id,
                service=self._settings.service,
                request_id=request_id,
                in_use=self.in_use,
                slots=self._settings.slots,
                detail=detail,
            ),
        )
