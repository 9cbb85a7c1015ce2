"""Commands of the operator, executed through the replicated log."""

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from plantainstand_consensus import LogReplica
from plantainstand_core import VmId
from plantainstand_desired import (
    ChangeItems,
    ChangeOutcome,
    DesiredState,
    Item,
    SetEvacuation,
    decode_outcome,
    encode_command,
)
from result import Err, Ok, Result

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


OperatorProblem = RedirectToLeader | Unavailable


class OperatorService:
    """Serves the operator on the leader; on other VMs names the leader."""

    def __init__(
        self,
        replica: Callable[[], LogReplica | None],
        state: Callable[[], DesiredState],
    ):
        """Call ``replica`` and ``state`` for each call of the operator.

        Both are replaced when the disk is opened again.
        """
        self._replica = replica
        self._state = state

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
        outcome = await replica.ok_value.propose(
            encode_command(command),
            COMMAND_TIMEOUT,
        )
        if isinstance(outcome, Err):
            return Err(Unavailable(str(outcome.err_value)))
        return Ok(decode_outcome(outcome.ok_value))

    async def read_items(self) -> Result[list[Item], OperatorProblem]:
        """Return all items that are not removed, as of this call or later."""
        replica = self._leading_replica()
        if isinstance(replica, Err):
            return replica
        current = await replica.ok_value.read_barrier(COMMAND_TIMEOUT)
        if isinstance(current, Err):
            return Err(Unavailable(str(current.err_value)))
        return Ok(list(self._state().current_items))

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
