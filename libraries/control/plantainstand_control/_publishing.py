"""State machine that calls back after each change."""

from collections.abc import Callable

from plantainstand_core import LogIndex
from plantainstand_desired import DesiredState


class NotifyingStateMachine:
    """Desired state that calls back after each change, for the log."""

    def __init__(self, state: DesiredState, on_change: Callable[[], None]):
        """Call ``on_change`` after each command and each restore."""
        self._state = state
        self._on_change = on_change
        self._index = LogIndex(0)

    @property
    def index(self) -> LogIndex:
        """Index of the newest applied command."""
        return self._index

    def apply(self, index: LogIndex, payload: bytes) -> bytes:
        """See ``StateMachine.apply``."""
        outcome = self._state.apply(index, payload)
        self._index = index
        self._on_change()
        return outcome

    def snapshot(self) -> bytes:
        """See ``StateMachine.snapshot``."""
        return self._state.snapshot()

    def restore(self, snapshot: bytes) -> None:
        """See ``StateMachine.restore``."""
        self._state.restore(snapshot)
        indexes = [item.index for item in self._state.items_after(LogIndex(0))]
        indexes.extend(
            evacuation.index for evacuation in self._state.evacuations
        )
        self._index = LogIndex(max(indexes, default=0))
        self._on_change()
