"""Bodies of the operators' HTTP API, as JSON.

Unknown fields are ignored, so that a daemon may be newer than the tool.
"""

from collections.abc import Sequence
from enum import Enum

import msgspec
from plantainstand_catalogue import AnyEntry, DrainSubjectKind
from plantainstand_core import (
    AvailabilityZoneId,
    EntryId,
    LogIndex,
    OperationId,
    RequestId,
    Revision,
    VmId,
)

ENTRIES_PATH = '/operator/v1/entries'
DRAINS_PATH = '/operator/v1/drains'
VMS_PATH = '/operator/v1/vms'
CHANGES_PATH = '/operator/v1/changes'
REQUESTS_PATH = '/operator/v1/requests'
CANCEL_PATH = '/v1/requests'


class EntryItem(msgspec.Struct, frozen=True):
    """``GET /operator/v1/entries/<kind>/<id>``; 404 if there is none."""

    entry: AnyEntry
    revision: Revision
    """To be expected by the next change of the entry."""


class EntryList(msgspec.Struct, frozen=True):
    """``GET /operator/v1/entries``."""

    revision: Revision
    """Newest change in the catalogue."""

    entries: Sequence[EntryItem]


class PutEntryBody(msgspec.Struct, frozen=True):
    """Body of ``PUT /operator/v1/entries/<kind>/<id>``."""

    operation_id: OperationId
    expected_revision: Revision
    """0 for an entry that does not exist."""

    entry: AnyEntry


class ChangeBody(msgspec.Struct, frozen=True):
    """Status 200 of every change of entries and drains."""

    revision: Revision


class ConflictBody(msgspec.Struct, frozen=True):
    """Status 409: another change of the entry came first."""

    current_revision: Revision
    current: AnyEntry | None


class InvalidBody(msgspec.Struct, frozen=True):
    """Status 422."""

    problems: Sequence[str]
    """One sentence each: which entry, which field, what is wrong, remedy."""


class DrainItem(msgspec.Struct, frozen=True):
    """An announced drain."""

    kind: DrainSubjectKind
    id: str  # noqa: WPS125
    revision: Revision
    """Of the announcement."""

    @property
    def subject(self) -> str:
        """Subject as given on the command line."""
        return f'{self.kind.value}/{self.id}'


class DrainList(msgspec.Struct, frozen=True):
    """``GET /operator/v1/drains``."""

    drains: Sequence[DrainItem]


class DrainState(Enum):
    """How far a drain is."""

    DRAINING = 'draining'
    DRAINED = 'drained'
    NOT_DRAINING = 'not-draining'


class DrainProgress(msgspec.Struct, frozen=True):
    """``GET /operator/v1/drains/<kind>/<id>``."""

    state: DrainState
    in_flight: int
    """Requests that still run at the subject."""

    waiting_for: Sequence[str]
    """VMs that still have work there or have not confirmed the drain."""


class VmItem(msgspec.Struct, frozen=True):
    """A registered VM."""

    vm: VmId
    availability_zone: AvailabilityZoneId
    state: str
    """``live``, ``leaving``, ``departed`` or ``reclaimed``."""

    heard: bool
    """Whether its heartbeats reach the leader."""

    applied_index: LogIndex | None = None
    """Newest log entry in force there, as far as the leader knows."""

    in_flight: int | None = None
    """Requests that it handles."""


class VmList(msgspec.Struct, frozen=True):
    """``GET /operator/v1/vms``, from the leader."""

    leader: str
    commit_index: LogIndex
    voters: Sequence[str]
    vms: Sequence[VmItem]


class ChangeStatus(msgspec.Struct, frozen=True):
    """``GET /operator/v1/changes/<revision>``; 404 if it is not known."""

    revision: Revision
    in_force: Sequence[VmId]
    pending: Sequence[VmId]


class ErrorBody(msgspec.Struct, frozen=True):
    """Status 400, 404, 503 and 504, and replies without a target's answer."""

    message: str
    """What is wrong and what to do."""


class RequestReport(msgspec.Struct, frozen=True):
    """What the tool prints for a request."""

    request_id: RequestId
    outcome: str
    """``answered``, ``not-run``, ``unknown`` or ``expired``."""

    status: int
    """HTTP status: the target's, if the request was answered."""

    message: str
    """Reason given by the daemon, or the size of the target's answer."""


class ChangeReport(msgspec.Struct, frozen=True):
    """What the tool prints for one change."""

    entry: EntryId
    change: str
    """``put`` or ``remove``."""

    revision: Revision | None = None
    """Nothing, if the change was only planned."""
