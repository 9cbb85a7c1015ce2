"""Reads and writes the header fields of requests and responses.

An adapter supplies the functions, so that this library knows no header names.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta

from plantainstand_core import TargetId
from plantainstand_desired import AccountName, KeyDigest
from plantainstand_http import Headers, Request, TargetResponse
from plantainstand_placement import LoadReport

MAX_LOGGED_BYTES = 128
"""Longest part of a client's words in a log line."""


@dataclass(frozen=True, slots=True)
class RequestMetadata:
    """What a request's header fields state about it."""

    request_id: bytes
    """Id of the request; unique for each time that the client sends it."""

    host: str
    """Host without the port."""

    path: str
    """Path without the query."""

    object_key: bytes | None
    """Key of the requested object, if stated."""

    client_timeout: timedelta | None
    """Time for which the client waits for a response, if stated."""

    key_digest: KeyDigest | None = field(default=None, repr=False)
    """Digest of the client's key; None if it states none that can be read."""

    @property
    def log_id(self) -> str:
        """Request id as text, for log lines."""
        return log_text(self.request_id)


def log_text(stated: bytes) -> str:
    """Return what a client has stated as text, cut for log lines."""
    text = stated[:MAX_LOGGED_BYTES].decode('latin-1')
    return text if len(stated) <= MAX_LOGGED_BYTES else f'{text}...'


@dataclass(frozen=True, slots=True)
class ResponseMetadata:
    """What a response states about its request and its target."""

    not_run: bool
    """Whether the target guarantees that the request did not run."""

    misdirected: bool
    """Whether the address belongs to another target."""

    load: LoadReport | None
    """Load that the target reports, if stated."""

    request_limit: float | None = None
    """Requests per second that the target takes from all entry VMs together,
    if it states a limit."""

    leaving: bool = False
    """Whether the target says that it leaves."""

    pause: timedelta = timedelta()
    """Time for which the target wants nothing from this VM."""


@dataclass(frozen=True, slots=True)
class HealthMetadata:
    """What the answer to a probe states about the target."""

    target: TargetId | None
    """Target that answered, if stated."""

    cold_left: timedelta
    """Time for which the target remains cold; 0 if it is warm."""

    leaving: bool = False
    """Whether the target says that it leaves."""

    pause: timedelta = timedelta()
    """Time for which the target wants nothing from this VM."""


@dataclass(frozen=True)
class HeaderCodec:
    """Functions of an adapter that read and write header fields."""

    read_request_metadata: Callable[[Request], RequestMetadata | None]
    """Reads a request; returns None for a request without an id."""

    target_headers: Callable[[TargetId, timedelta, AccountName | None], Headers]
    """Headers to add for a target, which state its id, the time left and the
    account that holds the client's key, if any."""

    read_response_metadata: Callable[[TargetResponse], ResponseMetadata]
    read_health_metadata: Callable[[TargetResponse], HealthMetadata]
    request_id_header: bytes
    """Name, in lower case, of the header whose value a response echoes."""

    local_response_headers: Callable[[bytes, timedelta | None], Headers]
    """Headers of a response that the entry VM makes itself, from the request id
    and the time after which the client may retry, if any."""

    account_headers: frozenset[bytes] = frozenset()
    """Names, in lower case, of a client's headers that targets never get while
    keys are required: the key, and what only the system may state."""

    key_challenge: Headers = ()
    """Headers of a response that refuses an unknown or missing key."""
