"""State machine that tells when it changed."""

from collections.abc import Callable

from plantainstand_core import LogIndex
from plantainstand_desired import DesiredState


class PublishingState:
    """Wraps the desired state for the replicated log."""

    def __init__(self, state: DesiredState, changed: Callable[[], None]):
        """Call ``changed`` after each command and each restore."""
        self._state = state
        self._changed = changed
        self._index = LogIndex(0)

    @property
    def index(self) -> LogIndex:
        """Newest log index whose command is applied."""
        return self._index

    def apply(self, index: LogIndex, payload: bytes) -> bytes:
        """See ``StateMachine.apply``."""
        outcome = self._state.apply(index, payload)
        self._index = index
        self._changed()
        return outcome

    def snapshot(self) -> bytes:
        """See ``StateMachine.snapshot``."""
        return self._state.snapshot()

    def restore(self, snapshot: bytes) -> None:
        """See ``StateMachine.restore``."""
        self._state.restore(snapshot)
        indexes = [item.index for item in self._state.items_after(LogIndex(0))]
        indexes.extend(order.index for order in self._state.evacuations)
        self._index = LogIndex(max(indexes, default=0))
        self._changed()
