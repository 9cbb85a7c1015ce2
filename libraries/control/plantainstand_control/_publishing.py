"""Publishing of the desired state to entry VMs."""

from collections import deque
from collections.abc import Callable

from plantainstand_core import LogIndex
from plantainstand_desired import DesiredState, Item
from plantainstand_fleet import DesiredUpdate, encode_fleet_message
from plantainstand_links import Link

UPDATE_BYTES = 64 * 1024
"""Length of an update above which the rest follows in the next one. A link has
at most one update beside its send buffer."""


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


class DesiredTransfer:
    """Sends one VM what it lacks of the desired state, as fast as it reads.

    A large state is sent in several updates. Only the last one states the log
    index up to which the VM is complete then.
    """

    def __init__(self, sent_index: LogIndex):
        """``sent_index`` is the log index up to which the VM is complete."""
        self._sent_index = sent_index
        self._target_index = sent_index
        self._waiting: deque[Item] = deque()
        self._lists_all = False

    @property
    def waiting_items(self) -> int:
        """Number of items that are still to be sent."""
        return len(self._waiting)

    def lacks(self, index: LogIndex) -> bool:
        """Return whether the VM is not complete up to ``index``."""
        return index > self._sent_index

    def send(self, link: Link, state: DesiredState, index: LogIndex) -> None:
        """Send updates until the VM has all up to ``index``, or is congested.

        Call this again when the link is writable.
        """
        while self.lacks(index) and not link.is_congested:
            link.send(encode_fleet_message(self._next_update(state, index)))

    def _next_update(
        self, state: DesiredState, index: LogIndex
    ) -> DesiredUpdate:
        evacuations = state.evacuations_after(self._sent_index)
        if self._target_index == self._sent_index:
            self._target_index = index
            self._lists_all = 0 < self._sent_index < state.forgotten_index
            after = LogIndex(0) if self._lists_all else self._sent_index
            self._waiting.extend(state.items_after(after))
        items = []
        size = 0
        while self._waiting and size < UPDATE_BYTES:
            item = self._waiting.popleft()
            items.append(item.without_document())
            # The size of an item is estimated from its document.
            size += item.size
        if not self._waiting:
            self._sent_index = self._target_index
        return DesiredUpdate(
            tuple(items),
            tuple(evacuations),
            self._sent_index,
            lists_all=self._lists_all,
            is_last=not self._waiting,
        )
