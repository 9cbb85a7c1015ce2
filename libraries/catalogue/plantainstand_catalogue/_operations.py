"""Outcomes of recent operations, returned to resends."""

import hashlib
from collections.abc import Sequence

import msgspec
from plantainstand_core import OperationId

from plantainstand_catalogue._commands import (
    CatalogueCommand,
    ChangeInvalid,
    ChangeOutcome,
    encode_command,
)
from plantainstand_catalogue._problems import CatalogueProblem

MAX_STORED_OPERATIONS = 10_000
"""Seven hours of operations at 33,000 changes a day, the planned load."""

_DIGEST_BYTES = 16


class Operation(msgspec.Struct, frozen=True, array_like=True):
    """The recorded outcome of an operation id."""

    operation_id: OperationId
    digest: bytes
    """Digest of the command.

    Distinguishes a resend from another change with the same id.
    """

    outcome: ChangeOutcome


class OperationTable:
    """Outcomes of the newest operation ids, oldest first."""

    def __init__(self, operations: Sequence[Operation] = ()):
        """Start with the operations of a snapshot, oldest first."""
        self._operations = {
            operation.operation_id: operation for operation in operations
        }

    def find(self, command: CatalogueCommand) -> ChangeOutcome | None:
        """Return the outcome recorded for the command's operation id.

        Returns None for a new id, and ``ChangeInvalid`` if the id belongs to
        another command.
        """
        recorded = self._operations.get(command.operation_id)
        if recorded is None:
            return None
        if recorded.digest != _digest(command):
            return _REUSED_ID_OUTCOME
        return recorded.outcome

    def record(
        self,
        command: CatalogueCommand,
        outcome: ChangeOutcome,
    ) -> None:
        """Record the outcome of a command; evict the oldest when full."""
        operation_id = command.operation_id
        self._operations[operation_id] = Operation(
            operation_id,
            _digest(command),
            outcome,
        )
        if len(self._operations) > MAX_STORED_OPERATIONS:
            self._operations.pop(next(iter(self._operations)))

    def operations(self) -> Sequence[Operation]:
        """Return all recorded operations, oldest first."""
        return tuple(self._operations.values())


def _digest(command: CatalogueCommand) -> bytes:
    return hashlib.blake2b(
        encode_command(command),
        digest_size=_DIGEST_BYTES,
    ).digest()


_REUSED_ID_OUTCOME = ChangeInvalid(
    (
        CatalogueProblem(
            'change',
            'operation_id',
            'this id was used for another change',
            'send the change under a new operation id',
        ),
    )
)
