"""State machine of the replicated log: catalogue, shares and records."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

import msgspec
from plantainstand_catalogue import (
    CatalogueState,
    CatalogueView,
)
from plantainstand_catalogue import decode_command as decode_change
from plantainstand_catalogue import encode_outcome as encode_change_outcome
from plantainstand_core import LogIndex
from plantainstand_records import RecordState
from plantainstand_records import decode_command as decode_record_command
from plantainstand_records import encode_outcome as encode_record_outcome
from plantainstand_shares import ShareState, ShareView
from plantainstand_shares import decode_command as decode_share_command
from plantainstand_shares import encode_outcome as encode_share_outcome
from result import Err


class CommandKind(Enum):
    """Part of the control state that a command belongs to."""

    CATALOGUE = b'c'
    SHARES = b's'
    RECORDS = b'r'


@dataclass(frozen=True)
class ControlView:
    """Catalogue and share table at one log index."""

    index: LogIndex
    catalogue: CatalogueView
    shares: ShareView


class _Snapshot(msgspec.Struct, frozen=True):
    index: int
    catalogue: bytes
    shares: bytes
    records: bytes


def wrap_command(kind: CommandKind, payload: bytes) -> bytes:
    """Add the kind to an encoded command, as the log stores it."""
    return kind.value + payload


def command_kind(command: bytes) -> CommandKind | None:
    """Return the kind of a command in the log; ``None`` if invalid."""
    try:
        return CommandKind(command[:1])
    except ValueError:
        return None


class ControlState:
    """Applies log entries; implements the consensus ``StateMachine``."""

    def __init__(self) -> None:
        """Start empty."""
        self._index = LogIndex(0)
        self._catalogue = CatalogueState()
        self._shares = ShareState()
        self._records = RecordState()
        self._listeners: list[Callable[[], None]] = []
        # Cached: heartbeats read the view far more often than it changes.
        self._view: ControlView | None = None

    @property
    def index(self) -> LogIndex:
        """Index of the last applied entry."""
        return self._index

    @property
    def records(self) -> RecordState:
        """Request records; empty at a follower."""
        return self._records

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` after each change of catalogue or shares.

        Also called after :meth:`restore`, not for request records.
        """
        self._listeners.append(listener)

    def view(self) -> ControlView:
        """Return the current catalogue and share table.

        The same object is returned until one of the two changes.
        """
        if self._view is None:
            self._view = ControlView(
                self._index,
                self._catalogue.view(),
                self._shares.view(),
            )
        return self._view

    def apply(self, index: LogIndex, payload: bytes) -> bytes:
        """Apply one entry and return the encoded outcome.

        A payload that cannot be decoded changes only the index and has an
        empty outcome, so that an invalid command cannot stop all voters.
        """
        self._index = index
        kind = command_kind(payload)
        body = payload[1:]
        match kind:
            case CommandKind.CATALOGUE:
                return self._apply_change(index, body)
            case CommandKind.SHARES:
                return self._apply_share_command(index, body)
            case CommandKind.RECORDS:
                return self._apply_record_command(index, body)
        return b''

    def advance(self, index: LogIndex) -> None:
        """Record that a follower has all entries up to ``index``.

        The skipped entries are request records, which followers do not store.
        """
        self._index = max(self._index, index)

    def snapshot(self) -> bytes:
        """Return the encoded state, as voters store it."""
        return self._encode(self._records.snapshot())

    def follower_snapshot(self) -> bytes:
        """Return the encoded state without request records."""
        return self._encode(RecordState().snapshot())

    def restore(self, snapshot: bytes) -> None:
        """Replace the state by that of an encoded snapshot."""
        restored = msgspec.msgpack.decode(snapshot, type=_Snapshot)
        self._index = LogIndex(restored.index)
        self._catalogue.restore(restored.catalogue)
        self._shares.restore(restored.shares)
        self._records.restore(restored.records)
        self._notify()

    def _encode(self, records: bytes) -> bytes:
        return msgspec.msgpack.encode(
            _Snapshot(
                self._index,
                self._catalogue.snapshot(),
                self._shares.snapshot(),
                records,
            ),
        )

    def _apply_change(self, index: LogIndex, body: bytes) -> bytes:
        decoded = decode_change(body)
        if isinstance(decoded, Err):
            return b''
        outcome = self._catalogue.apply(decoded.ok_value, index)
        self._notify()
        return encode_change_outcome(outcome)

    def _apply_share_command(self, index: LogIndex, body: bytes) -> bytes:
        decoded = decode_share_command(body)
        if isinstance(decoded, Err):
            return b''
        outcome = self._shares.apply(decoded.ok_value, index)
        self._notify()
        return encode_share_outcome(outcome)

    def _apply_record_command(self, index: LogIndex, body: bytes) -> bytes:
        decoded = decode_record_command(body)
        if isinstance(decoded, Err):
            return b''
        outcome = self._records.apply(decoded.ok_value, index)
        return encode_record_outcome(outcome)

    def _notify(self) -> None:
        self._view = None
        for listener in self._listeners:
            listener()
