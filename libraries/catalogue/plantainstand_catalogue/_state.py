"""The catalogue state machine."""

from collections.abc import Sequence

import msgspec
from plantainstand_core import EntryId, LogIndex, Revision

from plantainstand_catalogue._commands import (
    NO_REVISION,
    AnnounceDrain,
    CatalogueCommand,
    ChangeAccepted,
    ChangeInvalid,
    ChangeOutcome,
    DrainSubject,
    DrainSubjectKind,
    PutEntry,
    RemoveEntry,
    RevisionConflict,
    WithdrawDrain,
)
from plantainstand_catalogue._entries import AnyEntry
from plantainstand_catalogue._operations import Operation, OperationTable
from plantainstand_catalogue._problems import CatalogueProblem
from plantainstand_catalogue._references import ReferenceIndex
from plantainstand_catalogue._rules import check_put, check_removal
from plantainstand_catalogue._view import (
    CatalogueView,
    VersionedEntry,
    build_view,
)

MAX_VM_DRAINS = 10_000
"""Most VM drains at one time.

VM ids are not checked against a registry, so any number could be announced.
"""


class _Snapshot(msgspec.Struct, frozen=True):
    revision: Revision
    entries: Sequence[tuple[AnyEntry, Revision]]
    drains: Sequence[tuple[DrainSubject, Revision]]
    operations: Sequence[Operation]


class CatalogueState:
    """Deterministic state machine that applies committed commands.

    All replicas that apply the same commands at the same log indexes have
    the same state and return the same outcomes.
    """

    def __init__(self) -> None:
        """Start with an empty catalogue."""
        self._revision = NO_REVISION
        self._entries: dict[EntryId, VersionedEntry] = {}
        self._drains: dict[DrainSubject, Revision] = {}
        self._index = ReferenceIndex()
        self._operations = OperationTable()
        # Built on demand, so that replaying a long log builds a single view.
        self._view: CatalogueView | None = None

    def apply(
        self,
        command: CatalogueCommand,
        index: LogIndex,
    ) -> ChangeOutcome:
        """Apply the command of the log entry at ``index``.

        A resend returns the recorded outcome and changes nothing.
        """
        recorded = self._operations.find(command)
        if recorded is not None:
            return recorded
        outcome = self._execute(command, Revision(index))
        if isinstance(outcome, ChangeAccepted):
            self._view = None
        self._operations.record(command, outcome)
        return outcome

    def view(self) -> CatalogueView:
        """Return a view that later changes do not affect."""
        if self._view is None:
            self._view = build_view(
                self._revision,
                self._entries,
                self._drains,
            )
        return self._view

    def snapshot(self) -> bytes:
        """Encode the whole state, including the recorded outcomes."""
        return msgspec.msgpack.encode(
            _Snapshot(
                self._revision,
                tuple(self._entries.values()),
                tuple(self._drains.items()),
                self._operations.operations(),
            ),
        )

    def restore(self, snapshot: bytes) -> None:
        """Replace the state with that of a snapshot.

        Raises :exc:`msgspec.DecodeError` if the bytes are not a snapshot; the
        state is then unchanged.
        """
        restored = msgspec.msgpack.decode(snapshot, type=_Snapshot)
        self._revision = restored.revision
        self._entries = {
            entry.entry_id: VersionedEntry(entry, revision)
            for entry, revision in restored.entries
        }
        self._drains = dict(restored.drains)
        self._index = ReferenceIndex(entry for entry, _ in restored.entries)
        self._operations = OperationTable(restored.operations)
        self._view = None

    def _execute(
        self,
        command: CatalogueCommand,
        revision: Revision,
    ) -> ChangeOutcome:
        match command:
            case PutEntry():
                return self._put(command, revision)
            case RemoveEntry():
                return self._remove(command, revision)
            case AnnounceDrain():
                return self._announce(command, revision)
            case WithdrawDrain():
                return self._withdraw(command, revision)

    def _put(self, command: PutEntry, revision: Revision) -> ChangeOutcome:
        entry_id = command.entry.entry_id
        current = self._entries.get(entry_id)
        if command.expected_revision != _revision_of(current):
            return _conflict(current)
        problems = check_put(command.entry, self._entries, self._index)
        if problems:
            return ChangeInvalid(tuple(problems))
        if current is not None:
            self._index.discard(current.entry)
        self._index.add(command.entry)
        self._entries[entry_id] = VersionedEntry(command.entry, revision)
        return self._accept(revision)

    def _remove(
        self,
        command: RemoveEntry,
        revision: Revision,
    ) -> ChangeOutcome:
        entry_id = command.entry_id
        current = self._entries.get(entry_id)
        if command.expected_revision != _revision_of(current):
            return _conflict(current)
        if current is None:
            return _invalid(
                entry_id, 'there is no such entry', _CHECK_NAME_REMEDY
            )
        problems = check_removal(entry_id, self._index)
        if problems:
            return ChangeInvalid(tuple(problems))
        self._index.discard(current.entry)
        self._entries.pop(entry_id)
        # An old drain must not cover a later entry with the same id.
        kind, _, name = entry_id.partition('/')
        self._drains.pop(DrainSubject(kind, name), None)
        return self._accept(revision)

    def _announce(
        self,
        command: AnnounceDrain,
        revision: Revision,
    ) -> ChangeOutcome:
        subject = command.subject
        announced = self._drains.get(subject)
        if announced is not None:
            return ChangeAccepted(announced)
        problem = self._announce_problem(command)
        if problem is not None:
            return problem
        self._drains[subject] = revision
        return self._accept(revision)

    def _announce_problem(self, command: AnnounceDrain) -> ChangeInvalid | None:
        subject = command.subject
        name = f'{subject.kind}/{subject.name}'
        if command.subject_kind is not DrainSubjectKind.VM:
            if EntryId(name) in self._entries:
                return None
            return _invalid(name, 'there is no such entry', _CHECK_NAME_REMEDY)
        drain_count = sum(
            1 for other in self._drains if other.kind == subject.kind
        )
        if drain_count < MAX_VM_DRAINS:
            return None
        return _invalid(
            name,
            f'{MAX_VM_DRAINS} VMs are announced to drain',
            'withdraw the drains of VMs that are gone',
        )

    def _withdraw(
        self,
        command: WithdrawDrain,
        revision: Revision,
    ) -> ChangeOutcome:
        subject = command.subject
        if self._drains.pop(subject, None) is None:
            name = f'{subject.kind}/{subject.name}'
            return _invalid(
                name, 'no drain is announced for it', _CHECK_NAME_REMEDY
            )
        return self._accept(revision)

    def _accept(self, revision: Revision) -> ChangeAccepted:
        self._revision = revision
        return ChangeAccepted(revision)


_CHECK_NAME_REMEDY = 'check the kind and the name'


def _revision_of(found: VersionedEntry | None) -> Revision:
    return found.revision if found else NO_REVISION


def _conflict(current: VersionedEntry | None) -> RevisionConflict:
    return RevisionConflict(
        _revision_of(current),
        current.entry if current else None,
    )


def _invalid(name: str, message: str, remedy: str) -> ChangeInvalid:
    return ChangeInvalid((CatalogueProblem(name, '', message, remedy),))
