"""Bodies of the operators' HTTP API, as JSON.

Unknown fields are ignored, so that a daemon may be newer than the tool.
"""

from collections.abc import Sequence
from enum import Enum

import msgspec
from plantainstand_catalogue import AnyEntry, CatalogueProblem, DrainSubjectKind
from plantainstand_core import (
    AvailabilityZoneId,
    EntryId,
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

    problems: Sequence[CatalogueProblem]


class DrainItem(msgspec.Struct, frozen=True):
    """An announced drain."""

    subject_kind: DrainSubjectKind
    subject_id: str
    revision: Revision
    """Of the announcement."""

    @property
    def subject(self) -> str:
        """Subject as given on the command line."""
        return f'{self.subject_kind.value}/{self.subject_id}'


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

    id: VmId  # noqa: WPS125
    availability_zone: AvailabilityZoneId
    state: str
    """``live``, ``leaving`` or ``lapsed``."""

    revision: Revision
    """Newest catalogue change in force at the VM, as far as is known."""


class VmList(msgspec.Struct, frozen=True):
    """``GET /operator/v1/vms``."""

    vms: Sequence[VmItem]


class ChangeStatus(msgspec.Struct, frozen=True):
    """``GET /operator/v1/changes/<revision>``; 404 if it is not known."""

    revision: Revision
    in_force: Sequence[VmId]
    pending: Sequence[VmId]


class RequestStatus(msgspec.Struct, frozen=True):
    """``GET /operator/v1/requests/<id>``; 404 without a record."""

    request_id: RequestId
    outcome: str
    """``answered``, ``not-run``, ``unknown`` or ``expired``."""

    detail: str = ''
    """Reason of a rejection, holder of the admission, or size kept."""

    status: int | None = None
    """Status code of the answer."""


class ErrorBody(msgspec.Struct, frozen=True):
    """Status 400, 404, 503 and 504."""

    error: str
    """What is wrong and what to do."""


class ChangeReport(msgspec.Struct, frozen=True):
    """What the tool prints for one change."""

    entry: EntryId
    change: str
    """``put`` or ``remove``."""

    revision: Revision | None = None
    """Nothing, if the change was only planned."""
