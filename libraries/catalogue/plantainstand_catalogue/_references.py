"""Which entries refer to which, and which values only one entry may have."""

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
    """An entry that another entry names."""

    field: str
    entry_id: EntryId


class UniqueValue(NamedTuple):
    """A value that no two entries may share."""

    field: str
    text: str


def references_of(entry: AnyEntry) -> Sequence[Reference]:
    """Return the entries that ``entry`` names."""
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

    Two targets at one address would be given its slots twice; two links for
    one direction would be given its bytes twice.
    """
    match entry:
        case Link():
            ends = f'from {entry.from_region} to {entry.to_region}'
            return UniqueValue('from_region', f'the direction {ends}')
        case Target():
            return UniqueValue('port', f'the address {_address(entry)}')
    return None


class ReferenceIndex:
    """Referring entries of each entry, kept up to date with the entries."""

    def __init__(self, entries: Iterable[AnyEntry] = ()):
        """Index ``entries``."""
        self._referrers: defaultdict[EntryId, set[EntryId]] = defaultdict(set)
        self._holders: defaultdict[str, set[EntryId]] = defaultdict(set)
        for entry in entries:
            self.add(entry)

    def add(self, entry: AnyEntry) -> None:
        """Take up an entry."""
        for reference in references_of(entry):
            self._referrers[reference.entry_id].add(entry.entry_id)
        unique_value = unique_value_of(entry)
        if unique_value is not None:
            self._holders[unique_value.text].add(entry.entry_id)

    def discard(self, entry: AnyEntry) -> None:
        """Drop an entry that was added before."""
        for reference in references_of(entry):
            _discard(self._referrers, reference.entry_id, entry.entry_id)
        unique_value = unique_value_of(entry)
        if unique_value is not None:
            _discard(self._holders, unique_value.text, entry.entry_id)

    def referrers(self, entry_id: EntryId) -> Sequence[EntryId]:
        """Return the entries that name ``entry_id``, sorted."""
        return sorted(self._referrers.get(entry_id, ()))

    def holders(self, unique_value: UniqueValue) -> Sequence[EntryId]:
        """Return the entries that have ``unique_value``, sorted."""
        return sorted(self._holders.get(unique_value.text, ()))


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
    # Brackets keep the colons of an IPv6 address apart from the port.
    return f'[{target.host}]:{target.port}'
