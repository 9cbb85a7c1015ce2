"""JSON bodies of the operators' HTTP API.

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
    """Body of ``GET /operator/v1/entries/<kind>/<id>``.

    The status is 404 if there is no such entry.
    """

    entry: AnyEntry
    revision: Revision
    """Revision that the next change of the entry must expect."""


class EntryList(msgspec.Struct, frozen=True):
    """Body of ``GET /operator/v1/entries``."""

    revision: Revision
    """Revision of the newest change of the catalogue."""

    entries: Sequence[EntryItem]


class PutEntryBody(msgspec.Struct, frozen=True):
    """Body of ``PUT /operator/v1/entries/<kind>/<id>``."""

    operation_id: OperationId
    expected_revision: Revision
    """Revision of the entry to replace; 0 for a new entry."""

    entry: AnyEntry


class ChangeBody(msgspec.Struct, frozen=True):
    """Body of status 200 for any change of entries and drains."""

    revision: Revision


class ConflictBody(msgspec.Struct, frozen=True):
    """Body of status 409: the entry is not at the expected revision."""

    current_revision: Revision
    current: AnyEntry | None


class InvalidBody(msgspec.Struct, frozen=True):
    """Body of status 422: the change is not valid."""

    problems: Sequence[str]
    """One sentence each: entry, field, what is wrong, and remedy."""


class DrainItem(msgspec.Struct, frozen=True):
    """An announced drain."""

    kind: DrainSubjectKind
    id: str  # noqa: WPS125
    revision: Revision
    """Revision of the announcement."""

    @property
    def subject(self) -> str:
        """Subject as on the command line, ``<kind>/<id>``."""
        return f'{self.kind.value}/{self.id}'


class DrainList(msgspec.Struct, frozen=True):
    """Body of ``GET /operator/v1/drains``."""

    drains: Sequence[DrainItem]


class DrainState(Enum):
    """State of a drain."""

    DRAINING = 'draining'
    DRAINED = 'drained'
    NOT_DRAINING = 'not-draining'


class DrainProgress(msgspec.Struct, frozen=True):
    """Body of ``GET /operator/v1/drains/<kind>/<id>``."""

    state: DrainState
    in_flight: int
    """Number of requests that still run at the subject."""

    waiting_for: Sequence[str]
    """VMs with requests at the subject, or that did not confirm the drain."""


class VmItem(msgspec.Struct, frozen=True):
    """A registered VM."""

    vm: VmId
    availability_zone: AvailabilityZoneId
    state: str
    """``live``, ``leaving``, ``departed`` or ``reclaimed``."""

    heard: bool
    """Whether the leader receives heartbeats of the VM."""

    applied_index: LogIndex | None = None
    """Index of the newest log entry that the VM has applied.

    None if the VM has not reported an index to the leader.
    """

    in_flight: int | None = None
    """Number of requests that the VM handles; None if it is unknown."""


class VmList(msgspec.Struct, frozen=True):
    """Body of ``GET /operator/v1/vms``, from the leader."""

    leader: str
    commit_index: LogIndex
    voters: Sequence[str]
    vms: Sequence[VmItem]


class ChangeStatus(msgspec.Struct, frozen=True):
    """Body of ``GET /operator/v1/changes/<revision>``.

    The status is 404 if the revision is unknown.
    """

    revision: Revision
    in_force: Sequence[VmId]
    pending: Sequence[VmId]


class ErrorBody(msgspec.Struct, frozen=True):
    """Body of status 400, 404, 503 and 504.

    Also the body of responses to clients that do not come from a target.
    """

    message: str
    """What is wrong, and what the caller can do."""


class RequestReport(msgspec.Struct, frozen=True):
    """Outcome of a request, as printed by the tool."""

    request_id: RequestId
    outcome: str
    """``answered``, ``not-run``, ``unknown`` or ``expired``."""

    status: int
    """HTTP status; that of the target if the request was answered."""

    message: str
    """Reason stated by the daemon, or size of the target's response."""


class ChangeReport(msgspec.Struct, frozen=True):
    """A change of an entry, as printed by the tool."""

    entry: EntryId
    change: str
    """``put`` or ``remove``."""

    revision: Revision | None = None
    """Revision of the change; None if it is only planned."""
