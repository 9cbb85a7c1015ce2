"""One connection's part of the budget of all clients."""

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from plantainstand_http._budget import (
    CONNECTION_COST,
    SMALL_BYTES,
    MemoryAccount,
    Stage,
)
from plantainstand_http._pacing import PacedInput, PauseCause
from plantainstand_http._pipeline import RequestPipeline, ServerState
from plantainstand_http._reader import RequestReader


@dataclass(frozen=True, slots=True)
class ClientParts:
    """Parts of a connection that hold memory."""

    pipeline: RequestPipeline
    reader: RequestReader
    received: PacedInput


@dataclass(frozen=True, slots=True)
class ShareCallbacks:
    """Callbacks of a share to its connection."""

    reject: Callable[[], None]
    """Rejects the request that arrives."""

    drop: Callable[[], None]
    """Closes the connection at once."""


class ClientShare:
    """What a connection holds; see :class:`BudgetedConnection`."""

    def __init__(
        self,
        server: ServerState,
        account: MemoryAccount,
        parts: ClientParts,
        callbacks: ShareCallbacks,
    ):
        """Hold nothing until :meth:`try_open`."""
        self._budget = server.clients
        self._account = account
        self._parts = parts
        self._callbacks = callbacks
        self._recent_bytes = 0
        self._is_paused = False
        self._last_received_at = timedelta()

    @property
    def stage(self) -> Stage:
        """What the connection is doing."""
        reader = self._parts.reader
        pipeline = self._parts.pipeline
        is_reading = reader.started and not pipeline.input_ended
        if is_reading and reader.held_bytes > SMALL_BYTES:
            return Stage.READING_LARGE
        is_large = self.held_bytes > SMALL_BYTES
        if pipeline.is_answering:
            has_several = len(pipeline.unanswered) > 1
            is_pipelining = is_large and has_several
            return Stage.PIPELINING if is_pipelining else Stage.ANSWERING
        if is_reading:
            return Stage.READING
        return Stage.UNREAD if is_large else Stage.IDLE

    @property
    def held_bytes(self) -> int:
        """Memory that is held for the connection."""
        return self._account.held_bytes

    @property
    def recent_bytes(self) -> int:
        """Bytes received lately; unchanged while reading is paused."""
        return self._recent_bytes

    @property
    def idle_since(self) -> tuple[bool, timedelta]:
        """Whether it has carried a request, and when bytes last came."""
        has_served = self._parts.pipeline.last_answered is not None
        return (has_served, self._last_received_at)

    def try_open(self, now: timedelta) -> bool:
        """Count the connection; return False if there is no room."""
        self._last_received_at = now
        if not self._budget.try_open(self):
            self._account.close()
            return False
        self._account.add(CONNECTION_COST)
        return True

    def close(self) -> None:
        """Hold nothing from now on."""
        self._budget.close(self)
        self._account.close()

    def record_received(self, size: int, now: timedelta) -> None:
        """Record that bytes have come."""
        self._recent_bytes += size
        self._last_received_at = now

    def check(self, unread_bytes: int) -> None:
        """Update what changes with time, at a fixed interval."""
        self._account.update_output(unread_bytes)
        if not self._is_paused:
            self._recent_bytes //= 2

    def update_output(self, unread_bytes: int) -> None:
        """Hold what the client has yet to read."""
        self._account.update_output(unread_bytes)

    def update_reading(self) -> None:
        """Hold what has come of a request; pause if memory is short."""
        parts = self._parts
        self._account.update_reading(
            parts.reader.held_bytes + parts.received.rest_bytes
        )
        budget = self._budget
        if budget.held_bytes <= budget.pause_above:
            return
        if not budget.may_read(self) and not parts.pipeline.input_ended:
            self._is_paused = True
            parts.received.pause(PauseCause.MEMORY)

    def continue_reading(self) -> None:
        """End a pause."""
        self._is_paused = False
        self._parts.received.resume(PauseCause.MEMORY)

    def cut_off(self) -> str:
        """Reject the request that arrives, or close; return which."""
        if self.stage in {Stage.READING, Stage.READING_LARGE}:
            self._parts.reader.discard()
            self._callbacks.reject()
            self._account.update_reading(0)
            self._budget.leave_turn(self)
            return 'rejected'
        self._callbacks.drop()
        self.close()
        return 'closed'
