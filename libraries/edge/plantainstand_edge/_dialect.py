"""How requests and answers are written: supplied by an adapter."""

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from plantainstand_core import TargetId
from plantainstand_http import Headers, Request, TargetResponse
from plantainstand_placement import LoadReport


@dataclass(frozen=True, slots=True)
class RequestMetadata:
    """What a client says beside the request itself."""

    request_id: bytes
    """Unique to one attempt of the client."""

    host: str
    """Host without its port."""

    path: str
    """Path without the query."""

    object_key: bytes | None
    """Object that the request concerns, if stated."""

    client_timeout: timedelta | None
    """How long the client waits, if stated."""

    @property
    def log_id(self) -> str:
        """Return the request id as text."""
        return self.request_id.decode('latin-1')


@dataclass(frozen=True, slots=True)
class ResponseMetadata:
    """What an answer says beside its content."""

    not_run: bool
    """The target promises that the request did not run."""

    misdirected: bool
    """The address belongs to another target."""

    load: LoadReport | None
    """Load that the target states."""


@dataclass(frozen=True)
class HeaderCodec:
    """Reads and writes the names that callers and targets use."""

    read_request_metadata: Callable[[Request], RequestMetadata | None]
    """Returns None for a request without an id."""

    target_headers: Callable[[TargetId, timedelta], Headers]
    """Headers that name the target and the time left."""

    read_response_metadata: Callable[[TargetResponse], ResponseMetadata]

    request_id_header: bytes
    """Header, in lower case, whose value an answer echoes."""

    local_response_headers: Callable[[bytes, timedelta | None], Headers]
    """Headers of an own answer: request id, and when to come back."""
