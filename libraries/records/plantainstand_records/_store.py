"""In-memory records in groups that are dropped as a whole."""

from collections import defaultdict
from collections.abc import Iterable, Iterator
from datetime import timedelta
from typing import TypeAlias

import msgspec
from plantainstand_core import RequestId

from plantainstand_records._answers import AnyAnswer
from plantainstand_records._commands import Admission
from plantainstand_records._fingerprint import Fingerprint
from plantainstand_records._request_ids import request_time

_GROUP_SPAN = timedelta(minutes=1)


class OpenRecord(msgspec.Struct, frozen=True, tag='open'):
    """An admitted request without an outcome."""

    fingerprint: Fingerprint
    admission: Admission


class AnsweredRecord(msgspec.Struct, frozen=True, tag='answered'):
    """A request that ran and was answered."""

    fingerprint: Fingerprint
    answer: AnyAnswer


class RejectedRecord(msgspec.Struct, frozen=True, tag='rejected'):
    """A request that has not run and will never run."""

    fingerprint: Fingerprint | None
    """None if the request was rejected before it was admitted."""

    reason: str


Record: TypeAlias = OpenRecord | AnsweredRecord | RejectedRecord


class RecordStore:
    """Records by request id, grouped by the minute of the time in the id.

    Dropping old records removes whole groups and visits no record that is
    kept.
    """

    def __init__(self, records: Iterable[tuple[RequestId, Record]] = ()):
        """Create a store with ``records``."""
        self._groups: defaultdict[int, dict[RequestId, Record]]
        self._groups = defaultdict(dict)
        for request_id, record in records:
            self.put(request_id, record)

    def __len__(self) -> int:
        """Return the number of records."""
        return sum(len(group) for group in self._groups.values())

    def __iter__(self) -> Iterator[tuple[RequestId, Record]]:
        """Iterate over ids and records, grouped by minute."""
        for group in self._groups.values():
            yield from group.items()

    def get(self, request_id: RequestId) -> Record | None:
        """Return the record of an id, or ``None``."""
        group = self._groups.get(_group_number(request_time(request_id)))
        return group.get(request_id) if group else None

    def put(self, request_id: RequestId, record: Record) -> None:
        """Add or replace the record of an id."""
        group = _group_number(request_time(request_id))
        self._groups[group][request_id] = record

    def drop_before(self, horizon: timedelta) -> int:
        """Drop the groups that end at or before ``horizon``.

        Returns the number of dropped records. The group that contains the
        horizon is kept.
        """
        first_kept = _group_number(horizon)
        expired = [group for group in self._groups if group < first_kept]
        return sum(len(self._groups.pop(group)) for group in expired)


def _group_number(moment: timedelta) -> int:
    return moment // _GROUP_SPAN
