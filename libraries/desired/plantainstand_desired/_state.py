"""Replicated state machine of the desired state."""

from collections.abc import Iterable, Mapping, Sequence
from enum import Enum

import msgspec
from plantainstand_core import AvailabilityZoneId, LogIndex, VmId

from plantainstand_desired._account_index import AccountIndex
from plantainstand_desired._items import (
    MAX_TOMBSTONES,
    EvacuationItem,
    Item,
    ItemKey,
    ItemKind,
)
from plantainstand_desired._route_index import RouteIndex
from plantainstand_desired._rules import item_problem


class ChangeItems(msgspec.Struct, frozen=True, tag='items'):
    """Sets or removes items, either all of them or none."""

    items: tuple[Item, ...]


class SetEvacuation(msgspec.Struct, frozen=True, tag='evacuation'):
    """Starts or ends the evacuation of an availability zone."""

    zone: AvailabilityZoneId
    active: bool


class SetAllotmentVms(msgspec.Struct, frozen=True, tag='allotment_vms'):
    """Replaces the entry VMs that may have allotments of accounts' limits.

    The leader records a VM before it gives the first allotment, so that the
    leaders after it know whose leases they have to wait for.
    """

    vms: tuple[VmId, ...]


Command = ChangeItems | SetEvacuation | SetAllotmentVms


class Verdict(Enum):
    """How a command ended."""

    ACCEPTED = 'accepted'
    """The change, or a higher version of its items, is in force."""

    CONFLICT = 'conflict'
    """An item exists in the same version with other content."""

    INVALID = 'invalid'
    """An item is invalid, or inconsistent with other items."""


class ChangeOutcome(msgspec.Struct, frozen=True):
    """Result of a command."""

    verdict: Verdict
    problem: str = ''
    """Why the command was refused; empty if accepted."""

    changed: int = 0
    """Number of items or evacuations that the command changed."""


class _StateSnapshot(msgspec.Struct, frozen=True):
    items: tuple[Item, ...]
    evacuations: tuple[EvacuationItem, ...]
    forgotten_index: int = 0
    accounts_index: int = 0
    allotment_vms: tuple[VmId, ...] = ()


_COMMAND_DECODER: msgspec.msgpack.Decoder[Command] = msgspec.msgpack.Decoder(
    Command,
)
_OUTCOME_DECODER = msgspec.msgpack.Decoder(ChangeOutcome)
_SNAPSHOT_DECODER = msgspec.msgpack.Decoder(_StateSnapshot)


def encode_command(command: Command) -> bytes:
    """Return the log payload of a command."""
    return msgspec.msgpack.encode(command)


def decode_outcome(payload: bytes) -> ChangeOutcome:
    """Decode the outcome that :meth:`DesiredState.apply` returned."""
    return _OUTCOME_DECODER.decode(payload)


class DesiredState:
    """State machine with the highest version of each item.

    Tombstones of the items that were removed last are kept, so that an older
    version that arrives late does not restore a removed item.
    """

    def __init__(self) -> None:
        """Start without items."""
        self._items: dict[ItemKey, Item] = {}
        self._tombstones: dict[ItemKey, None] = {}
        self._forgotten_index = LogIndex(0)
        self._evacuations: dict[AvailabilityZoneId, EvacuationItem] = {}
        self._routes = RouteIndex()
        self._accounts = AccountIndex()
        self._accounts_index = LogIndex(0)
        self.allotment_vms: frozenset[VmId] = frozenset()
        """Entry VMs that may have allotments of accounts' limits."""

        self._size = 0
        self._index = LogIndex(0)

    @property
    def index(self) -> LogIndex:
        """Log index of the newest change."""
        return self._index

    @property
    def accounts_index(self) -> LogIndex:
        """Log index of the newest change of a client account."""
        return self._accounts_index

    @property
    def size(self) -> int:
        """Approximate length in bytes when encoded, with tombstones."""
        return self._size

    @property
    def current_items(self) -> Sequence[Item]:
        """Items that are not removed."""
        return [each for each in self._items.values() if each.body is not None]

    @property
    def tombstone_count(self) -> int:
        """Number of removed items that are remembered."""
        return len(self._tombstones)

    @property
    def forgotten_index(self) -> LogIndex:
        """Index through which removals may be forgotten.

        A receiver that is complete up to a lower index has to be told all
        items.
        """
        return self._forgotten_index

    @property
    def evacuations(self) -> Sequence[EvacuationItem]:
        """Newest command for each availability zone that ever had one."""
        return tuple(self._evacuations.values())

    def items_after(self, index: LogIndex) -> Sequence[Item]:
        """Return items and tombstones set after a log index."""
        return [each for each in self._items.values() if each.index > index]

    def evacuations_after(self, index: LogIndex) -> Sequence[EvacuationItem]:
        """Return the evacuations set after a log index."""
        return [
            each for each in self._evacuations.values() if each.index > index
        ]

    def size_after(self, changes: Iterable[Item]) -> int:
        """Return the size that the state has once changes are in force."""
        newer = {
            each.key: each for each in changes if _is_newer(self._items, each)
        }
        return self._size + _added_size(self._items, newer)

    def apply(self, index: LogIndex, payload: bytes) -> bytes:
        """See ``StateMachine.apply`` of the replicated log."""
        command = _COMMAND_DECODER.decode(payload)
        if isinstance(command, SetEvacuation):
            outcome = self._set_evacuation(index, command)
        elif isinstance(command, SetAllotmentVms):
            self.allotment_vms = frozenset(command.vms)
            outcome = ChangeOutcome(Verdict.ACCEPTED, changed=1)
        else:
            outcome = self._change_items(index, command.items)
        return msgspec.msgpack.encode(outcome)

    def snapshot(self) -> bytes:
        """See ``StateMachine.snapshot``."""
        return msgspec.msgpack.encode(
            _StateSnapshot(
                tuple(self._items.values()),
                tuple(self.evacuations),
                self._forgotten_index,
                self._accounts_index,
                tuple(sorted(self.allotment_vms)),
            ),
        )

    def restore(self, snapshot: bytes) -> None:
        """See ``StateMachine.restore``."""
        stored = _SNAPSHOT_DECODER.decode(snapshot)
        self._items = {each.key: each for each in stored.items}
        self._routes = RouteIndex(stored.items)
        self._accounts = AccountIndex(stored.items)
        self._accounts_index = LogIndex(stored.accounts_index)
        self.allotment_vms = frozenset(stored.allotment_vms)
        self._evacuations = {each.zone: each for each in stored.evacuations}
        self._forgotten_index = LogIndex(stored.forgotten_index)
        removed = [each for each in stored.items if each.body is None]
        removed.sort(key=lambda each: each.index)
        self._tombstones = dict.fromkeys(each.key for each in removed)
        self._size = sum(each.size for each in stored.items)
        indexes = [each.index for each in stored.items]
        indexes.extend(each.index for each in stored.evacuations)
        self._index = LogIndex(max(indexes, default=0))

    def _set_evacuation(
        self,
        index: LogIndex,
        command: SetEvacuation,
    ) -> ChangeOutcome:
        current = self._evacuations.get(command.zone)
        if current is not None and current.active == command.active:
            return ChangeOutcome(Verdict.ACCEPTED)
        self._index = index
        self._evacuations[command.zone] = EvacuationItem(
            command.zone,
            command.active,
            index,
        )
        return ChangeOutcome(Verdict.ACCEPTED, changed=1)

    def _change_items(
        self,
        index: LogIndex,
        changes: Sequence[Item],
    ) -> ChangeOutcome:
        newer: dict[ItemKey, Item] = {}
        for change in changes:
            # A change may name an item twice, for example set and remove it.
            current = newer.get(change.key, self._items.get(change.key))
            if current is None or change.version > current.version:
                newer[change.key] = msgspec.structs.replace(
                    change,
                    index=index,
                )
            elif _is_conflict(change, current):
                return ChangeOutcome(
                    Verdict.CONFLICT,
                    f'{change.kind.value} {change.name} has other content'
                    ' under this version',
                )
        return self._replace_items(newer)

    def _replace_items(self, newer: dict[ItemKey, Item]) -> ChangeOutcome:
        problem = next(filter(None, map(item_problem, newer.values())), None)
        problem = problem or self._routes.find_problem(self._items, newer)
        problem = problem or self._accounts.find_problem(newer)
        if problem is not None:
            return ChangeOutcome(Verdict.INVALID, problem)
        self._routes.apply_changes(self._items, newer)
        self._accounts.apply_changes(self._items, newer)
        self._size += _added_size(self._items, newer)
        for item in newer.values():
            self._index = LogIndex(item.index)
            if item.kind is ItemKind.ACCOUNT:
                self._accounts_index = self._index
        self._items.update(newer)
        self._update_tombstones(newer)
        return ChangeOutcome(Verdict.ACCEPTED, changed=len(newer))

    def _update_tombstones(self, newer: dict[ItemKey, Item]) -> None:
        for key, item in newer.items():
            self._tombstones.pop(key, None)
            if item.body is None:
                self._tombstones[key] = None
        while len(self._tombstones) > MAX_TOMBSTONES:
            oldest = next(iter(self._tombstones))
            self._tombstones.pop(oldest)
            forgotten = self._items.pop(oldest)
            self._size -= forgotten.size
            self._forgotten_index = LogIndex(
                max(self._forgotten_index, forgotten.index)
            )


def _is_conflict(change: Item, current: Item) -> bool:
    has_other_content = (change.body, change.document) != (
        current.body,
        current.document,
    )
    return change.version == current.version and has_other_content


def _is_newer(items: Mapping[ItemKey, Item], change: Item) -> bool:
    current = items.get(change.key)
    return current is None or change.version > current.version


def _added_size(
    items: Mapping[ItemKey, Item], newer: Mapping[ItemKey, Item]
) -> int:
    replaced = (items.get(key) for key in newer)
    removed_size = sum(each.size for each in replaced if each is not None)
    return sum(each.size for each in newer.values()) - removed_size
