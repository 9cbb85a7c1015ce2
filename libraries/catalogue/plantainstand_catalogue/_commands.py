"""Commands of the catalogue state machine, and their outcomes."""

from enum import Enum
from typing import Annotated, TypeAlias

import msgspec
from plantainstand_core import EntryId, OperationId, Revision
from result import Err, Ok, Result

from plantainstand_catalogue._entries import AnyEntry, Name
from plantainstand_catalogue._problems import CatalogueProblem

NO_REVISION = Revision(0)
"""Revision of an entry that does not exist."""

_MAX_OPERATION_ID_LENGTH = 64

OperationIdText = Annotated[
    OperationId,
    msgspec.Meta(min_length=1, max_length=_MAX_OPERATION_ID_LENGTH),
]
ExpectedRevision = Annotated[Revision, msgspec.Meta(ge=0)]


class DrainSubjectKind(Enum):
    """Kinds of subjects for which drains are announced."""

    TARGET = 'target'
    VM = 'vm'
    AVAILABILITY_ZONE = 'availability_zone'
    REGION = 'region'


class DrainSubject(msgspec.Struct, frozen=True, order=True):
    """A target, VM, availability zone or region."""

    kind: str
    """Value of a :class:`DrainSubjectKind`; text, so that subjects sort."""

    name: str
    """Id, unique within the kind."""


class Command(msgspec.Struct, frozen=True, tag_field='command'):
    """Base of every command."""

    operation_id: OperationIdText
    """Set by the operator's tool; resends have the same id."""


class PutEntry(Command, frozen=True, tag='put_entry'):
    """Add an entry, or replace the entry with the same kind and id."""

    entry: AnyEntry
    expected_revision: ExpectedRevision
    """Revision of the entry to replace; 0 for a new entry."""


class RemoveEntry(Command, frozen=True, tag='remove_entry'):
    """Remove an entry to which no other entry refers."""

    entry_id: EntryId
    expected_revision: ExpectedRevision
    """Revision of the entry to remove."""


class AnnounceDrain(Command, frozen=True, tag='announce_drain'):
    """Send no new requests to a subject."""

    subject_kind: DrainSubjectKind
    subject_id: Name

    @property
    def subject(self) -> DrainSubject:
        """Subject as one value."""
        return DrainSubject(self.subject_kind.value, self.subject_id)


class WithdrawDrain(Command, frozen=True, tag='withdraw_drain'):
    """Allow new requests to a subject again."""

    subject_kind: DrainSubjectKind
    subject_id: Name

    @property
    def subject(self) -> DrainSubject:
        """Subject as one value."""
        return DrainSubject(self.subject_kind.value, self.subject_id)


CatalogueCommand: TypeAlias = (
    PutEntry | RemoveEntry | AnnounceDrain | WithdrawDrain
)


class Outcome(msgspec.Struct, frozen=True, tag_field='outcome'):
    """Base of every outcome."""


class ChangeAccepted(Outcome, frozen=True, tag='accepted'):
    """The change was applied."""

    revision: Revision
    """Revision of the change, which is the index of its log entry."""


class RevisionConflict(Outcome, frozen=True, tag='conflict'):
    """The entry is not at the expected revision; nothing was changed."""

    current_revision: Revision
    """Revision of the current entry; 0 if there is none."""

    current: AnyEntry | None
    """The current entry; None if there is none."""


class ChangeInvalid(Outcome, frozen=True, tag='invalid'):
    """The change would make the catalogue invalid; nothing was changed."""

    problems: tuple[CatalogueProblem, ...]


ChangeOutcome: TypeAlias = ChangeAccepted | RevisionConflict | ChangeInvalid


class CommandProblem(msgspec.Struct, frozen=True):
    """Why bytes are not an encoded command or outcome."""

    message: str


_encoder = msgspec.msgpack.Encoder()
_command_decoder = msgspec.msgpack.Decoder[CatalogueCommand](CatalogueCommand)
_outcome_decoder = msgspec.msgpack.Decoder[ChangeOutcome](ChangeOutcome)


def encode_command(command: CatalogueCommand) -> bytes:
    """Encode a command as MessagePack, as it is stored in the log."""
    return _encoder.encode(command)


def decode_command(payload: bytes) -> Result[CatalogueCommand, CommandProblem]:
    """Decode a command and check the bounds of its fields."""
    try:
        return Ok(_command_decoder.decode(payload))
    except msgspec.DecodeError as problem:
        return Err(CommandProblem(str(problem)))


def encode_outcome(outcome: ChangeOutcome) -> bytes:
    """Encode an outcome as MessagePack."""
    return _encoder.encode(outcome)


def decode_outcome(payload: bytes) -> Result[ChangeOutcome, CommandProblem]:
    """Decode an outcome."""
    try:
        return Ok(_outcome_decoder.decode(payload))
    except msgspec.DecodeError as problem:
        return Err(CommandProblem(str(problem)))
