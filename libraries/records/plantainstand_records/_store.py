"""Records in memory, grouped so that old ones are dropped together."""

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

_GROUP = timedelta(minutes=1)


class OpenRecord(msgspec.Struct, frozen=True, tag='open'):
    """An admitted request without an outcome."""

    fingerprint: Fingerprint
    admission: Admission


class AnsweredRecord(msgspec.Struct, frozen=True, tag='answered'):
    """A request that ran."""

    fingerprint: Fingerprint
    answer: AnyAnswer


class RejectedRecord(msgspec.Struct, frozen=True, tag='rejected'):
    """A request that has not run and never will."""

    fingerprint: Fingerprint | None
    """Nothing, if the request was rejected before it was admitted."""

    reason: str


Record: TypeAlias = OpenRecord | AnsweredRecord | RejectedRecord


class RecordStore:
    """Records by request id, in groups of one minute of the ids' times.

    Forgetting drops whole groups and visits no record that stays.
    """

    def __init__(self, records: Iterable[tuple[RequestId, Record]] = ()):
        """Start with ``records``."""
        self._groups: defaultdict[int, dict[RequestId, Record]]
        self._groups = defaultdict(dict)
        for request_id, record in records:
            self.put(request_id, record)

    def __len__(self) -> int:
        """Return the number of records."""
        return sum(len(group) for group in self._groups.values())

    def __iter__(self) -> Iterator[tuple[RequestId, Record]]:
        """Iterate over ids and records, group by group."""
        for group in self._groups.values():
            yield from group.items()

    def get(self, request_id: RequestId) -> Record | None:
        """Return the record of an id, if there is one."""
        group = self._groups.get(_group_of(request_time(request_id)))
        return group.get(request_id) if group else None

    def put(self, request_id: RequestId, record: Record) -> None:
        """Add or replace the record of an id."""
        group = _group_of(request_time(request_id))
        self._groups[group][request_id] = record

    def drop_before(self, horizon: timedelta) -> int:
        """Drop the groups that end at or before ``horizon``.

        Returns the number of dropped records. The records of the group in
        which the horizon lies stay until it has passed their whole minute.
        """
        newest = _group_of(horizon)
        old = [group for group in self._groups if group < newest]
        return sum(len(self._groups.pop(group)) for group in old)


def _group_of(moment: timedelta) -> int:
    return moment // _GROUP
