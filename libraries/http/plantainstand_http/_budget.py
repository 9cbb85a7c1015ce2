"""One budget of memory and connections for all clients of a process."""

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from enum import IntEnum
from heapq import nsmallest
from typing import Protocol

import structlog

from plantainstand_http._process_memory import (
    ProcessMemory,
    own_resident_bytes,
)

_log = structlog.get_logger()

CONNECTION_COST = 16 * 1024
"""Bytes that an idle connection takes: socket, transport, parser and buffers (8
KiB, measured with 600), and headers of the request answered last."""

LINE_COST = 208
"""Bytes that a header line takes beside its own length: two bytes objects (33
bytes each, rounded up to 16), a tuple (72), and slots in a list and a tuple."""

REQUEST_COST = 1024
"""Bytes that a request takes beside its headers and its body."""

RUN_COST = 24 * 1024
"""Bytes that a request takes while it runs: its task, the encoded head, and the
connection to its target."""

STREAM_COST = 128 * 1024
"""Bytes that a streamed response takes: its buffer of 64 KiB, and as much that
has been read from the target and waits for the buffer."""

SMALL_BYTES = 64 * 1024
"""Holding of a connection up to which it is not paused and is cut off after
larger ones: more than nearly all ordinary requests take."""

PAUSE_FRACTION = 0.75
"""Part of the limit above which large requests are read in turn."""

LARGE_FRACTION = 15 / 16
"""Part of the limit that large requests may take; the rest is kept for small
ones. A body of 64 MiB fits with a process of 62 MB within 152 MB."""

RESERVED_DESCRIPTORS = 200
"""Descriptors for files, listening sockets, and links to other VMs."""

CONNECTION_FRACTION = 1 / 3
"""Part of the other descriptors that connections of clients may take. Requests
that run need one each, those that run beside another one of their connection
half as many again, and idle connections to targets the other half."""

OVERLAP_FRACTION = 1 / 2
"""Running requests, as a part of the connections, above which a connection's
requests run one after the other."""

RELIEF_FRACTION = 1 / 64
"""Part of the limit that is freed beyond need, so that the search among all
connections is rare."""

EVICTED_FRACTION = 1 / 32
"""Part of the connections that are closed at once for new ones, so that the
search among all of them is rare."""

TURN = timedelta(seconds=1)
"""Time for which one large request is read while others wait."""

MAX_LOGGED_CUTS = 20
"""Log lines about connections that were cut off, in one second."""

_SECOND = timedelta(seconds=1)
_MIN_CONNECTIONS = 16


class Stage(IntEnum):
    """What a connection is doing, in the order of cutting off."""

    READING_LARGE = 0
    """A large request is arriving, so it has not run."""

    PIPELINING = 1
    """Several requests have no response, and take much together."""

    UNREAD = 2
    """The client does not read its last response."""

    IDLE = 3
    READING = 4
    ANSWERING = 5


class BudgetedConnection(Protocol):
    """Interface of a connection to the budget."""

    @property
    def stage(self) -> Stage:
        """What the connection is doing."""

    @property
    def held_bytes(self) -> int:
        """Memory that is held for it."""

    @property
    def recent_bytes(self) -> int:
        """Bytes received lately; unchanged while reading is paused."""

    @property
    def idle_since(self) -> tuple[bool, timedelta]:
        """Whether it has carried a request, and its last activity."""

    def cut_off(self) -> str:
        """Reject the request that arrives, or close; return which."""

    def continue_reading(self) -> None:
        """End a pause."""


@dataclass(frozen=True, slots=True)
class BudgetLimits:
    """What all clients of a process may take."""

    memory_bytes: int = 80 * 1024 * 1024
    connections: int = 65_536


class ClientBudget:
    """Memory and connections that all servers of a process share.

    Each item is counted once, by an estimate of what it costs. While memory is
    short, large requests are read in turn; beyond the limit, the connections
    that progress least are cut off; at the limit of connections, idle ones are
    closed for new ones.
    """

    def __init__(
        self, limits: BudgetLimits, process: ProcessMemory | None = None
    ):
        """Hold nothing.

        The limit on memory is lowered while ``process`` takes more itself than
        was left for it.
        """
        self.limits = limits
        self._process = process
        self.held_bytes = 0
        self.cut_count = 0
        self.refused_count = 0
        self._set_memory_limit(limits.memory_bytes)
        self._connections: set[BudgetedConnection] = set()
        self._running_count = 0
        self._is_relieved = False
        self._turn = _ReadingTurn()
        self._cut_log = _CutLog()

    @property
    def connection_count(self) -> int:
        """Number of open connections."""
        return len(self._connections)

    @property
    def paused_count(self) -> int:
        """Number of connections that are not read for lack of memory."""
        return self._turn.waiting_count

    @property
    def may_overlap(self) -> bool:
        """Whether a connection may run a request beside another one."""
        limit = self.limits.connections * OVERLAP_FRACTION
        return self._running_count < limit

    @property
    def max_idle_target_connections(self) -> int:
        """Connections to targets that may stay open without a request."""
        return int(self.limits.connections * OVERLAP_FRACTION)

    def readings(self) -> dict[str, int]:
        """Return what is held, by the names of :func:`budget_help`."""
        return {
            'client_memory_bytes': self.held_bytes,
            'client_memory_limit_bytes': self._memory_limit,
            'client_connections': self.connection_count,
            'client_connections_limit': self.limits.connections,
            'clients_paused': self.paused_count,
            'clients_cut': self.cut_count,
            'clients_refused': self.refused_count,
        }

    def begin_run(self) -> None:
        """Count a request that runs from now on."""
        self._running_count += 1

    def end_run(self) -> None:
        """Count a request that runs no longer."""
        self._running_count -= 1

    def try_open(self, connection: BudgetedConnection) -> bool:
        """Count a new connection; return False if there is no room."""
        if len(self._connections) >= self.limits.connections:
            self._evict()
        is_full = len(self._connections) >= self.limits.connections
        if is_full or self.held_bytes > self._memory_limit:
            self.refused_count += 1
            return False
        self._connections.add(connection)
        return True

    def close(self, connection: BudgetedConnection) -> None:
        """Forget a connection."""
        self._connections.discard(connection)
        self._turn.leave(connection)

    def leave_turn(self, connection: BudgetedConnection) -> None:
        """Forget that a connection waits to be read."""
        self._turn.leave(connection)

    def may_read(self, connection: BudgetedConnection) -> bool:
        """Cut off connections if need be; tell whether to go on reading.

        Called by a connection that has taken more while memory is short.
        """
        is_over = self.held_bytes > self._large_limit
        if is_over and not self._is_relieved:
            self._relieve()
        elif self.held_bytes > self._memory_limit:
            self._relieve()
        is_short = self.held_bytes > self.pause_above
        is_large = connection.held_bytes > SMALL_BYTES
        return not (is_short and is_large) or self._turn.request(connection)

    def check(self, now: timedelta) -> None:
        """Let the next paused connection be read if it is time."""
        self._cut_log.write(now)
        self._update_memory_limit()
        if self.held_bytes > self._large_limit:
            self._relieve()
        self._is_relieved = False
        self._turn.check(now, is_short=self.held_bytes > self.pause_above)

    def _update_memory_limit(self) -> None:
        if self._process is None:
            return
        beside = self._process.limit_beside(self.held_bytes)
        limit = min(self.limits.memory_bytes, beside)
        if limit != self._memory_limit:
            self._set_memory_limit(limit)

    def _set_memory_limit(self, limit: int) -> None:
        self._memory_limit = limit
        self._large_limit = int(limit * LARGE_FRACTION)
        self.pause_above = int(limit * LARGE_FRACTION * PAUSE_FRACTION)

    def _relieve(self) -> None:
        """Cut off connections until the memory suffices."""
        # Without large requests to cut off, the next search is due when the
        # whole limit is passed, or with the next check.
        self._is_relieved = True
        margin = int(self._memory_limit * RELIEF_FRACTION)
        is_over = self.held_bytes > self._memory_limit
        for victim in sorted(self._connections, key=_cutting_order):
            is_large = victim.stage <= Stage.PIPELINING
            limit = self._memory_limit
            if is_large:
                limit = self._large_limit
            elif not is_over:
                return
            if self.held_bytes <= limit - margin:
                return
            self._cut(victim, 'memory')

    def _evict(self) -> None:
        count = 1 + int(self.limits.connections * EVICTED_FRACTION)
        idle = [
            each
            for each in self._connections
            if each.stage in {Stage.IDLE, Stage.UNREAD}
        ]
        victims = nsmallest(count, idle, key=lambda each: each.idle_since)
        if not victims:
            reading = [
                each
                for each in self._connections
                if each.stage in {Stage.READING, Stage.READING_LARGE}
            ]
            victims = nsmallest(count, reading, key=_cutting_order)
        for victim in victims:
            self._cut(victim, 'connections')

    def _cut(self, victim: BudgetedConnection, cause: str) -> None:
        held_bytes = victim.held_bytes
        stage = victim.stage
        self.cut_count += 1
        action = victim.cut_off()
        self._cut_log.add(
            cause=cause,
            stage=stage.name.lower(),
            action=action,
            client_bytes=held_bytes,
            held_bytes=self.held_bytes,
            recent_bytes=victim.recent_bytes,
        )


class MemoryAccount:
    """What one connection holds of the budget."""

    def __init__(self, budget: ClientBudget):
        """Hold nothing."""
        self.held_bytes = 0
        self._budget = budget
        self._reading_bytes = 0
        self._output_bytes = 0
        self._is_open = True

    def add(self, size: int) -> None:
        """Hold ``size`` bytes more, or less if it is negative."""
        if self._is_open:
            self.held_bytes += size
            self._budget.held_bytes += size

    def update_reading(self, size: int) -> None:
        """Hold ``size`` bytes of a request that arrives."""
        self.add(size - self._reading_bytes)
        self._reading_bytes = size

    def update_output(self, size: int) -> None:
        """Hold ``size`` bytes that the client has yet to read."""
        self.add(size - self._output_bytes)
        self._output_bytes = size

    def close(self) -> None:
        """Hold nothing from now on."""
        self.add(-self.held_bytes)
        self._is_open = False


class _ReadingTurn:
    """Lets one large request be read at a time, in turn."""

    def __init__(self) -> None:
        self._waiting: dict[BudgetedConnection, None] = {}
        self._reading: BudgetedConnection | None = None
        self._is_new = False
        self._began_at = timedelta()
        self._seen_bytes = 0

    @property
    def waiting_count(self) -> int:
        """Number of connections that wait for their turn."""
        return len(self._waiting)

    def request(self, connection: BudgetedConnection) -> bool:
        """Tell whether it is the turn of a connection; else it waits."""
        if self._reading is None:
            self._begin(connection)
        if self._reading is connection:
            return True
        self._waiting[connection] = None
        return False

    def leave(self, connection: BudgetedConnection) -> None:
        """Forget a connection."""
        self._waiting.pop(connection, None)
        if self._reading is connection:
            self._reading = None

    def check(self, now: timedelta, *, is_short: bool) -> None:
        """End all pauses, or begin the next turn if the last is over."""
        if not is_short:
            waiting = tuple(self._waiting)
            self._waiting.clear()
            self._reading = None
            for connection in waiting:
                connection.continue_reading()
        elif self._is_over(now) and self._waiting:
            following = next(iter(self._waiting))
            self._waiting.pop(following)
            self._begin(following)
            following.continue_reading()

    def _begin(self, connection: BudgetedConnection) -> None:
        self._reading = connection
        self._is_new = True

    def _is_over(self, now: timedelta) -> bool:
        reading = self._reading
        if reading is None or reading.stage is not Stage.READING_LARGE:
            return True
        if self._is_new:
            self._is_new = False
            self._began_at = now
            return False
        # It halves with each check, so it is 0 soon after the last byte.
        return not reading.recent_bytes or now - self._began_at > TURN


class _CutLog:
    """Logs cut-offs, a bounded number in each second."""

    def __init__(self) -> None:
        self._second_began_at = timedelta()
        self._count = 0

    def add(self, **fields: object) -> None:
        """Log one cut-off, unless too many were logged in this second."""
        self._count += 1
        if self._count <= MAX_LOGGED_CUTS:
            _log.warning('client cut off', **fields)

    def write(self, now: timedelta) -> None:
        """Begin another second if it is time; log how many were left out."""
        if now - self._second_began_at < _SECOND:
            return
        self._second_began_at = now
        if self._count > MAX_LOGGED_CUTS:
            unlogged = self._count - MAX_LOGGED_CUTS
            _log.warning('clients cut off without a line', count=unlogged)
        self._count = 0


def budget_help(prefix: str) -> dict[str, str]:
    """Return the help of the gauges in :meth:`ClientBudget.readings`."""
    texts = {
        'client_memory_bytes': 'Estimated memory held for clients.',
        'client_memory_limit_bytes': 'Memory that clients may take.',
        'client_connections': 'Open connections of clients.',
        'client_connections_limit': 'Connections that clients may open.',
        'clients_paused': 'Clients not read while memory is short.',
        'clients_cut': 'Clients cut off for memory or connections.',
        'clients_refused': 'Connections refused for lack of room.',
    }
    return {prefix + name: text for name, text in texts.items()}


def process_budget(
    memory_bytes: int,
    max_descriptors: int,
    fraction: float,
    resident_bytes: Callable[[], int] = own_resident_bytes,
) -> ClientBudget:
    """Return the budget of a process that may take ``memory_bytes``.

    Clients may take ``fraction`` of what the process does not take itself now,
    when it has just started.
    """
    process = ProcessMemory(memory_bytes, resident_bytes)
    own = resident_bytes()
    limit = max((memory_bytes - own) * fraction, process.least_limit)
    descriptors = max_descriptors - RESERVED_DESCRIPTORS
    connections = max(int(descriptors * CONNECTION_FRACTION), _MIN_CONNECTIONS)
    _log.info(
        'client budget',
        memory_bytes=int(limit),
        own_bytes=own,
        connections=connections,
    )
    return ClientBudget(BudgetLimits(int(limit), connections), process)


def _cutting_order(
    connection: BudgetedConnection,
) -> tuple[Stage, int, int]:
    stage = connection.stage
    progress = 0
    if stage in {Stage.READING, Stage.READING_LARGE}:
        progress = connection.recent_bytes
    return (stage, progress, -connection.held_bytes)
