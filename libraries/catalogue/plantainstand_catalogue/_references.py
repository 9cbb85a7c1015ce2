"""References between entries, and values that must be unique."""

from collections import defaultdict
from collections.abc import Iterable, Sequence
from typing import NamedTuple, TypeVar

from plantainstand_core import EntryId

from plantainstand_catalogue._entries import (
    AnyEntry,
    AvailabilityZone,
    Link,
    Region,
    Service,
    Target,
)

KeyT = TypeVar('KeyT')


class Reference(NamedTuple):
    """A reference from a field of an entry to another entry."""

    field: str
    entry_id: EntryId


class UniqueValue(NamedTuple):
    """A value that at most one entry may have."""

    field: str
    text: str


def references_of(entry: AnyEntry) -> Sequence[Reference]:
    """Return the references of ``entry``."""
    match entry:
        case AvailabilityZone():
            return (_reference('region', Region.kind, entry.region),)
        case Link():
            return (
                _reference('from_region', Region.kind, entry.from_region),
                _reference('to_region', Region.kind, entry.to_region),
            )
        case Target():
            return (
                _reference('service', Service.kind, entry.service),
                _reference(
                    'availability_zone',
                    AvailabilityZone.kind,
                    entry.availability_zone,
                ),
            )
    return ()


def unique_value_of(entry: AnyEntry) -> UniqueValue | None:
    """Return the value of ``entry`` that no other entry may have.

    Two targets with the same address would get the slots of that address
    twice; two links with the same direction, its bytes per second.
    """
    match entry:
        case Link():
            ends = f'from {entry.from_region} to {entry.to_region}'
            return UniqueValue('from_region', f'the direction {ends}')
        case Target():
            return UniqueValue('port', f'the address {_address(entry)}')
    return None


class ReferenceIndex:
    """Index of referring entries and of unique values."""

    def __init__(self, entries: Iterable[AnyEntry] = ()):
        """Index ``entries``."""
        self._referrers: defaultdict[EntryId, set[EntryId]] = defaultdict(set)
        self._entries_by_value: defaultdict[str, set[EntryId]] = defaultdict(
            set
        )
        for entry in entries:
            self.add(entry)

    def add(self, entry: AnyEntry) -> None:
        """Add an entry to the index."""
        for reference in references_of(entry):
            self._referrers[reference.entry_id].add(entry.entry_id)
        unique_value = unique_value_of(entry)
        if unique_value is not None:
            self._entries_by_value[unique_value.text].add(entry.entry_id)

    def discard(self, entry: AnyEntry) -> None:
        """Remove an entry that was added before."""
        for reference in references_of(entry):
            _discard(self._referrers, reference.entry_id, entry.entry_id)
        unique_value = unique_value_of(entry)
        if unique_value is not None:
            _discard(self._entries_by_value, unique_value.text, entry.entry_id)

    def referrers(self, entry_id: EntryId) -> Sequence[EntryId]:
        """Return the ids of the entries that refer to ``entry_id``, sorted."""
        return sorted(self._referrers.get(entry_id, ()))

    def entries_with_value(
        self, unique_value: UniqueValue
    ) -> Sequence[EntryId]:
        """Return the ids of the entries that have ``unique_value``, sorted."""
        return sorted(self._entries_by_value.get(unique_value.text, ()))


def _discard(
    sets: defaultdict[KeyT, set[EntryId]],
    key: KeyT,
    entry_id: EntryId,
) -> None:
    sets[key].discard(entry_id)
    if not sets[key]:
        sets.pop(key)


def _reference(field: str, kind: str, name: str) -> Reference:
    return Reference(field, EntryId(f'{kind}/{name}'))


def _address(target: Target) -> str:
    # Brackets separate the colons of an IPv6 address from the port.
    return f'[{target.host}]:{target.port}'
