"""Results of recent operations, kept for resends."""

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
"""At the planned size, 33,000 changes a day, this covers seven hours."""

_DIGEST_BYTES = 16


class Operation(msgspec.Struct, frozen=True, array_like=True):
    """The first result of an operation id."""

    operation_id: OperationId
    digest: bytes
    """Tells a resend from another change under the same id."""

    outcome: ChangeOutcome


class OperationTable:
    """The first results of the newest operation ids, oldest first."""

    def __init__(self, operations: Sequence[Operation] = ()):
        """Start with the operations of a snapshot."""
        self._operations = {
            operation.operation_id: operation for operation in operations
        }

    def find(self, command: CatalogueCommand) -> ChangeOutcome | None:
        """Return the first result of the command's operation id."""
        known = self._operations.get(command.operation_id)
        if known is None:
            return None
        if known.digest != _digest(command):
            return _REUSED
        return known.outcome

    def remember(
        self,
        command: CatalogueCommand,
        outcome: ChangeOutcome,
    ) -> None:
        """Keep a first result; the oldest one is dropped when full."""
        operation_id = command.operation_id
        self._operations[operation_id] = Operation(
            operation_id,
            _digest(command),
            outcome,
        )
        if len(self._operations) > MAX_STORED_OPERATIONS:
            self._operations.pop(next(iter(self._operations)))

    def operations(self) -> Sequence[Operation]:
        """Return every kept operation, oldest first."""
        return tuple(self._operations.values())


def _digest(command: CatalogueCommand) -> bytes:
    return hashlib.blake2b(
        encode_command(command),
        digest_size=_DIGEST_BYTES,
    ).digest()


_REUSED = ChangeInvalid(
    (
        CatalogueProblem(
            'change',
            'operation_id',
            'this id was used for another change',
            'send the change under a new operation id',
        ),
    )
)
