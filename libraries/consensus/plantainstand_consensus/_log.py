"""In-memory log from the last compaction on."""

from bisect import bisect_left
from collections.abc import Sequence
from itertools import accumulate

from plantainstand_consensus._entries import Configuration, Entry, Snapshot

_NO_VOTERS = Configuration((), (), formed=False)


class Log:
    """Entries after ``base_index`` and the newest snapshot."""

    def __init__(
        self,
        snapshot: Snapshot | None = None,
        entries: Sequence[Entry] = (),
    ):
        """Start with the stored snapshot and entries.

        The first entry is at most one index after the snapshot; there is no
        gap.
        """
        self.snapshot = snapshot
        self.base_index = 0
        self.base_term = 0
        self._entries = list(entries)
        # Bytes of all entries through each entry, counted from any start.
        self._totals = list(accumulate(entry.size for entry in entries))
        self._base_total = 0
        self._configurations: list[tuple[int, Configuration]] = []
        if snapshot is not None:
            self._configurations.append(
                (snapshot.index, snapshot.configuration),
            )
            self.base_index = snapshot.index
            self.base_term = snapshot.term
        if entries and entries[0].index <= self.base_index:
            self._start_at_first_entry()
        for entry in self._entries:
            self._record_configuration(entry)

    @property
    def last_index(self) -> int:
        """Index of the newest entry."""
        return self.base_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Term of the newest entry."""
        return self._entries[-1].term if self._entries else self.base_term

    @property
    def configuration(self) -> Configuration:
        """Voter set in force: the newest one, whether committed or not."""
        return self.configuration_at(self.last_index)

    @property
    def configuration_index(self) -> int:
        """Index of the entry that contains the newest voter set; 0 if none."""
        return self._configurations[-1][0] if self._configurations else 0

    @property
    def is_blank(self) -> bool:
        """Whether there has never been an entry."""
        return self.last_index == 0

    def configuration_at(self, index: int) -> Configuration:
        """Return the voter set in force at an index."""
        for position, configuration in reversed(self._configurations):
            if position <= index:
                return configuration
        return _NO_VOTERS

    def term_at(self, index: int) -> int | None:
        """Return the term of an entry; None if compacted or missing."""
        if index == self.base_index:
            return self.base_term
        if self.base_index < index <= self.last_index:
            return self._entries[index - self.base_index - 1].term
        return None

    def size_between(self, after: int, through: int) -> int:
        """Return the bytes of the entries after one index through another.

        Compacted entries are not counted.
        """
        return max(self._total_at(through) - self._total_at(after), 0)

    def first_kept(self, index: int, max_entries: int, max_bytes: int) -> int:
        """Return the index after which entries through ``index`` fit both."""
        oldest = max(self.base_index, index - max_entries)
        start = self._total_at(index) - max_bytes
        position = bisect_left(self._totals, start)
        if start <= self._base_total:
            return oldest
        return min(max(oldest, self.base_index + position + 1), index)

    def entries(
        self,
        first: int,
        max_entries: int,
        max_bytes: int | None = None,
    ) -> tuple[Entry, ...]:
        """Return entries from ``first`` on, within both limits.

        The first entry is returned even if it exceeds ``max_bytes``.
        """
        start = first - self.base_index - 1
        chosen = self._entries[start : start + max_entries]
        if max_bytes is None:
            return tuple(chosen)
        size = 0
        for count, entry in enumerate(chosen):
            size += entry.size
            if size > max_bytes and count:
                return tuple(chosen[:count])
        return tuple(chosen)

    def append(self, entries: Sequence[Entry]) -> None:
        """Append entries that directly follow the newest one."""
        total = self._total_at(self.last_index)
        for entry in entries:
            total += entry.size
            self._entries.append(entry)
            self._totals.append(total)
            self._record_configuration(entry)

    def truncate_from(self, index: int) -> None:
        """Remove the entries from ``index`` on, and the voter sets in them."""
        kept = index - self.base_index - 1
        self._entries = self._entries[:kept]
        self._totals = self._totals[:kept]
        self._configurations = [
            recorded for recorded in self._configurations if recorded[0] < index
        ]

    def compact(self, snapshot: Snapshot, base_index: int) -> None:
        """Replace the snapshot and remove entries through ``base_index``."""
        term = self.term_at(base_index)
        if term is not None:
            removed = base_index - self.base_index
            self._base_total = self._total_at(base_index)
            self._entries = self._entries[removed:]
            self._totals = self._totals[removed:]
            self.base_index = base_index
            self.base_term = term
        self.snapshot = snapshot

    def reset(self, snapshot: Snapshot) -> None:
        """Replace the whole log by a snapshot."""
        self.snapshot = snapshot
        self.base_index = snapshot.index
        self.base_term = snapshot.term
        self._entries = []
        self._totals = []
        self._base_total = 0
        self._configurations = [(snapshot.index, snapshot.configuration)]

    def _start_at_first_entry(self) -> None:
        first = self._entries[0]
        if first.index == 1:
            self.base_index = 0
            self.base_term = 0
            return
        # The term of the entry before the first one is unknown, so the first
        # entry becomes the base.
        self.base_index = first.index
        self.base_term = first.term
        self._entries.pop(0)
        self._base_total = self._totals.pop(0)

    def _total_at(self, index: int) -> int:
        position = min(index - self.base_index, len(self._totals))
        return self._totals[position - 1] if position > 0 else self._base_total

    def _record_configuration(self, entry: Entry) -> None:
        if isinstance(entry.body, Configuration):
            if entry.index > self.configuration_index:
                self._configurations.append((entry.index, entry.body))
