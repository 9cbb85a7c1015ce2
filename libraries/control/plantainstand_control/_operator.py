"""Commands of the operator, executed through the replicated log."""

from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from datetime import timedelta

from plantainstand_consensus import LogReplica, TooLong
from plantainstand_core import VmId
from plantainstand_desired import (
    ChangeItems,
    ChangeOutcome,
    DesiredState,
    SetEvacuation,
    decode_outcome,
    encode_command,
)
from result import Err, Ok, Result

from plantainstand_control._change_memory import ChangeMemory, decoded_bytes

COMMAND_TIMEOUT = timedelta(milliseconds=900)
"""Longest wait for a majority. The operator's client tries another VM after one
second."""


@dataclass(frozen=True)
class RedirectToLeader:
    """Another VM leads; the call must be sent to that VM."""

    leader: VmId


@dataclass(frozen=True)
class Unavailable:
    """No leader is known, or it is unknown whether the command took effect."""

    cause: str


@dataclass(frozen=True)
class TooLarge:
    """The change, or the desired state with it, exceeds its limit.

    The change has not taken effect.
    """

    size: int
    limit: int
    """Both in bytes."""


OperatorProblem = RedirectToLeader | Unavailable | TooLarge


class OperatorService:
    """Serves the operator on the leader; on other VMs names the leader."""

    def __init__(
        self,
        replica: Callable[[], LogReplica | None],
        state: Callable[[], DesiredState],
        max_state_bytes: int,
        before_change: Callable[[], Awaitable[bool]],
        change_memory: ChangeMemory,
    ):
        """Call ``replica`` and ``state`` for each call of the operator.

        Both are replaced when the disk is opened again. A change that takes
        the desired state above ``max_state_bytes`` is refused by the leader
        alone, since the memory of VMs may differ. ``before_change`` is called
        on the leader and returns whether a change may be executed now.
        ``change_memory`` bounds what decoded changes take.
        """
        self._change_memory = change_memory
        self._before_change = before_change
        self._max_state_bytes = max_state_bytes
        self._replica = replica
        self._state = state

    @property
    def max_state_bytes(self) -> int:
        """Size that the desired state, or one change, may have."""
        return self._max_state_bytes

    @contextmanager
    def hold_change(
        self, document: bytes
    ) -> Iterator[Result[None, OperatorProblem]]:
        """Hold the memory to decode and execute a change, if there is any.

        A change that another VM has to execute is not worth decoding, and its
        problem is yielded as well.
        """
        size = decoded_bytes(document)
        limit = self._change_memory.limit
        leading = self._leading_replica()
        if isinstance(leading, Err):
            yield leading
        elif size > limit:
            yield Err(TooLarge(size, limit))
        else:
            with self._change_memory.hold(size) as has_room:
                busy = Err(Unavailable('other changes are being executed'))
                yield Ok(None) if has_room else busy

    async def execute_command(
        self,
        command: ChangeItems | SetEvacuation,
    ) -> Result[ChangeOutcome, OperatorProblem]:
        """Execute a command.

        A returned outcome is durable. After :class:`Unavailable` the command
        may or may not have taken effect.
        """
        replica = self._leading_replica()
        if isinstance(replica, Err):
            return replica
        problem = self._size_problem(command)
        if problem is not None:
            return Err(problem)
        if not await self._before_change():
            return Err(Unavailable('too few disks hold the log'))
        outcome = await replica.ok_value.propose(
            encode_command(command),
            COMMAND_TIMEOUT,
        )
        if not isinstance(outcome, Err):
            return Ok(decode_outcome(outcome.ok_value))
        if isinstance(outcome.err_value, TooLong):
            refused = outcome.err_value
            return Err(TooLarge(refused.length, refused.limit))
        return Err(Unavailable(str(outcome.err_value)))

    async def read_state(self) -> Result[DesiredState, OperatorProblem]:
        """Return the desired state, as of this call or later."""
        replica = self._leading_replica()
        if isinstance(replica, Err):
            return replica
        current = await replica.ok_value.read_barrier(COMMAND_TIMEOUT)
        if isinstance(current, Err):
            return Err(Unavailable(str(current.err_value)))
        return Ok(self._state())

    def _size_problem(
        self, command: ChangeItems | SetEvacuation
    ) -> TooLarge | None:
        if not isinstance(command, ChangeItems):
            return None
        state = self._state()
        size = state.size_after(command.items)
        limit = self._max_state_bytes
        # A change that makes the state smaller is accepted above the limit.
        return TooLarge(size, limit) if size > max(limit, state.size) else None

    def _leading_replica(self) -> Result[LogReplica, OperatorProblem]:
        replica = self._replica()
        if replica is None:
            return Err(Unavailable('the disk is not usable'))
        status = replica.status()
        if status.leader is None:
            return Err(Unavailable('no leader is known'))
        if status.leader != status.node.vm:
            return Err(RedirectToLeader(status.leader))
        return Ok(replica)
