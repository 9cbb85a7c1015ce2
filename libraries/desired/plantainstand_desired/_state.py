"""Replicated state machine of the desired state."""

from collections.abc import Sequence
from enum import Enum

import msgspec
from plantainstand_core import AvailabilityZoneId, LogIndex

from plantainstand_desired._items import EvacuationItem, Item, ItemKey
from plantainstand_desired._route_index import RouteIndex
from plantainstand_desired._rules import item_problem


class ChangeItems(msgspec.Struct, frozen=True, tag='items'):
    """Set or remove items, all or none."""

    items: tuple[Item, ...]


class SetEvacuation(msgspec.Struct, frozen=True, tag='evacuation'):
    """Begin or end the evacuation of an availability zone."""

    zone: AvailabilityZoneId
    active: bool


Command = ChangeItems | SetEvacuation


class Verdict(Enum):
    """What became of a command."""

    ACCEPTED = 'accepted'
    """It is in force, or a higher version is."""

    CONFLICT = 'conflict'
    """The version is held with other content."""

    INVALID = 'invalid'
    """The items are invalid, alone or together."""


class ChangeOutcome(msgspec.Struct, frozen=True):
    """Result of a command."""

    verdict: Verdict
    problem: str = ''
    """Why it was refused."""

    changed: int = 0
    """Number of items that it replaced."""


class _Stored(msgspec.Struct, frozen=True):
    items: tuple[Item, ...]
    evacuations: tuple[EvacuationItem, ...]


_COMMAND_DECODER: msgspec.msgpack.Decoder[Command] = msgspec.msgpack.Decoder(
    Command,
)
_OUTCOME_DECODER = msgspec.msgpack.Decoder(ChangeOutcome)
_STORED_DECODER = msgspec.msgpack.Decoder(_Stored)


def encode_command(command: Command) -> bytes:
    """Return a command's form in the log."""
    return msgspec.msgpack.encode(command)


def decode_outcome(payload: bytes) -> ChangeOutcome:
    """Read what :meth:`DesiredState.apply` returned."""
    return _OUTCOME_DECODER.decode(payload)


class DesiredState:
    """Items by key; of one key, the highest version holds.

    Removal markers stay, so that an older version that arrives late does not
    bring an item back.
    """

    def __init__(self) -> None:
        """Start without items."""
        self._items: dict[ItemKey, Item] = {}
        self._evacuations: dict[AvailabilityZoneId, EvacuationItem] = {}
        self._routes = RouteIndex()

    @property
    def current_items(self) -> Sequence[Item]:
        """Items that are not removed."""
        return [each for each in self._items.values() if each.body is not None]

    @property
    def evacuations(self) -> Sequence[EvacuationItem]:
        """Newest order for each availability zone that ever had one."""
        return tuple(self._evacuations.values())

    def items_after(self, index: LogIndex) -> Sequence[Item]:
        """Return the items that changed after a log index, markers too."""
        return [each for each in self._items.values() if each.index > index]

    def evacuations_after(self, index: LogIndex) -> Sequence[EvacuationItem]:
        """Return the evacuation orders after a log index."""
        return [
            each for each in self._evacuations.values() if each.index > index
        ]

    def apply(self, index: LogIndex, payload: bytes) -> bytes:
        """See ``StateMachine.apply`` of the replicated log."""
        command = _COMMAND_DECODER.decode(payload)
        if isinstance(command, SetEvacuation):
            outcome = self._evacuate(index, command)
        else:
            outcome = self._change(index, command.items)
        return msgspec.msgpack.encode(outcome)

    def snapshot(self) -> bytes:
        """See ``StateMachine.snapshot``."""
        return msgspec.msgpack.encode(
            _Stored(tuple(self._items.values()), tuple(self.evacuations)),
        )

    def restore(self, snapshot: bytes) -> None:
        """See ``StateMachine.restore``."""
        stored = _STORED_DECODER.decode(snapshot)
        self._items = {each.key: each for each in stored.items}
        self._routes = RouteIndex(stored.items)
        self._evacuations = {each.zone: each for each in stored.evacuations}

    def _evacuate(
        self,
        index: LogIndex,
        order: SetEvacuation,
    ) -> ChangeOutcome:
        held = self._evacuations.get(order.zone)
        if held is not None and held.active == order.active:
            return ChangeOutcome(Verdict.ACCEPTED)
        self._evacuations[order.zone] = EvacuationItem(
            order.zone,
            order.active,
            index,
        )
        return ChangeOutcome(Verdict.ACCEPTED, changed=1)

    def _change(
        self,
        index: LogIndex,
        changes: Sequence[Item],
    ) -> ChangeOutcome:
        newer: dict[ItemKey, Item] = {}
        for change in changes:
            held = self._items.get(change.key)
            if held is None or change.version > held.version:
                newer[change.key] = msgspec.structs.replace(
                    change,
                    index=index,
                )
            elif change.version == held.version and _differs(change, held):
                return ChangeOutcome(
                    Verdict.CONFLICT,
                    f'{change.kind.value} {change.name} has other content'
                    ' under this version',
                )
        return self._take(newer)

    def _take(self, newer: dict[ItemKey, Item]) -> ChangeOutcome:
        problem = next(filter(None, map(item_problem, newer.values())), None)
        problem = problem or self._routes.problem(self._items, newer)
        if problem is not None:
            return ChangeOutcome(Verdict.INVALID, problem)
        self._routes.replace(self._items, newer)
        self._items.update(newer)
        return ChangeOutcome(Verdict.ACCEPTED, changed=len(newer))


def _differs(change: Item, held: Item) -> bool:
    return (change.body, change.document) != (held.body, held.document)
