"""Orders of the operator, carried out through the replicated log."""

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

ORDER_TIMEOUT = timedelta(milliseconds=900)
"""Longest wait for a majority; the operator asks another VM after a second."""


@dataclass(frozen=True)
class RedirectToLeader:
    """Another VM leads and takes orders."""

    leader: VmId


@dataclass(frozen=True)
class Unavailable:
    """No VM is known to lead, or the order may or may not be in force."""

    cause: str


OrderProblem = RedirectToLeader | Unavailable


class OperatorService:
    """Takes orders on the leader; elsewhere says who leads."""

    def __init__(
        self,
        replica: Callable[[], LogReplica | None],
        state: Callable[[], DesiredState],
    ):
        """Look up replica and state for each order."""
        self._replica = replica
        self._state = state

    async def execute_command(
        self,
        command: ChangeItems | SetEvacuation,
    ) -> Result[ChangeOutcome, OrderProblem]:
        """Carry out an order; it is durable when this returns an outcome."""
        replica = self._leading()
        if isinstance(replica, Err):
            return replica
        outcome = await replica.ok_value.propose(
            encode_command(command),
            ORDER_TIMEOUT,
        )
        if isinstance(outcome, Err):
            return Err(Unavailable(str(outcome.err_value)))
        return Ok(decode_outcome(outcome.ok_value))

    async def read_items(self) -> Result[list[Item], OrderProblem]:
        """Return all standing items, current as of this call."""
        replica = self._leading()
        if isinstance(replica, Err):
            return replica
        current = await replica.ok_value.read_barrier(ORDER_TIMEOUT)
        if isinstance(current, Err):
            return Err(Unavailable(str(current.err_value)))
        return Ok(list(self._state().current_items))

    def _leading(self) -> Result[LogReplica, OrderProblem]:
        replica = self._replica()
        if replica is None:
            return Err(Unavailable('the disk is not usable'))
        status = replica.status()
        if status.leader is None:
            return Err(Unavailable('no leader is known'))
        if status.leader != status.node.vm:
            return Err(RedirectToLeader(status.leader))
        return Ok(replica)
