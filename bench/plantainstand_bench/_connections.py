"""Server connections that can go silent or lose an answer."""

import threading
from collections.abc import Callable
from typing import Any

from cheroot.server import HTTPConnection
from cheroot.wsgi import Gateway_10

from plantainstand_bench._wsgi import Environment

_ENVIRONMENT_KEY = 'plantainstand.connection'


class _MutableWriter:
    """Writer that drops bytes once it is muted."""

    def __init__(self, stream: Any):
        """Pass bytes on to ``stream``."""
        self.muted = False
        self._stream = stream

    def write(self, chunk: bytes) -> object:
        """Write or drop ``chunk``."""
        if self.muted:
            return len(chunk)
        return self._stream.write(chunk)

    def __getattr__(self, name: str) -> Any:
        """Pass everything else on; cheroot reads counters from streams."""
        return getattr(self._stream, name)


class ConnectionRegistry:
    """Open connections of one target, their limit and their silence."""

    def __init__(self, limit: int):
        """Allow ``limit`` open connections."""
        self.limit = limit
        self._open: set[FaultyConnection] = set()
        self._silent: set[FaultyConnection] = set()
        self._lock = threading.Lock()

    def add(self, connection: 'FaultyConnection') -> bool:
        """Register a connection; false when the limit is exceeded."""
        with self._lock:
            self._open.add(connection)
            return len(self._open) <= self.limit

    def remove(self, connection: 'FaultyConnection') -> None:
        """Forget a closed connection."""
        with self._lock:
            self._open.discard(connection)

    def silence_open(self, spared: 'FaultyConnection') -> None:
        """Stop sending on open connections, and keep them open.

        ``spared`` carries the order itself, which must be answered.
        """
        with self._lock:
            chosen = self._open - {spared}
            for connection in chosen:
                connection.silence()
            self._silent.update(chosen)

    def close_silent(self) -> None:
        """Close silent connections when the server stops."""
        with self._lock:
            silent = tuple(self._silent)
            self._silent.clear()
        for connection in silent:
            connection.close_socket()


class FaultyConnection:
    """Wraps a cheroot connection with the faults of a target.

    cheroot's connection manager uses the attributes ``socket``, ``rfile``
    and ``last_used`` and the methods :meth:`communicate` and :meth:`close`.
    """

    def __init__(self, inner: Any, registry: ConnectionRegistry):
        """Wrap ``inner`` and register it."""
        self.last_used: float | None = None
        self.socket = inner.socket
        self.rfile = inner.rfile
        self.remote_addr = ''
        self.remote_port = 0
        self._inner = inner
        self._writer = _MutableWriter(inner.wfile)
        self._registry = registry
        self._is_silent = False
        inner.wfile = self._writer
        inner.plantainstand_connection = self
        self._is_allowed = registry.add(self)

    def communicate(self) -> bool:
        """Serve one request; false closes the connection."""
        if self._is_silent or not self._is_allowed:
            return False
        stays_open = bool(self._inner.communicate())
        return stays_open and not self._writer.muted

    def close(self) -> None:
        """Close the connection unless it is silent."""
        if not self._is_silent:
            self.close_socket()

    def silence(self) -> None:
        """Send nothing more and stay open."""
        self._is_silent = True
        self._writer.muted = True

    def lose_answer(self) -> None:
        """Drop the answer of the current request and close after it."""
        self._writer.muted = True

    def close_socket(self) -> None:
        """Close the socket and leave the registry."""
        self._registry.remove(self)
        self._inner.close()


def connection_factory(
    registry: ConnectionRegistry,
) -> Callable[[Any, Any, Any], FaultyConnection]:
    """Return what cheroot calls to make a connection."""

    def make_connection(
        server: Any,
        sock: Any,
        make_file: Any,
    ) -> FaultyConnection:
        inner = HTTPConnection(server, sock, make_file)
        return FaultyConnection(inner, registry)

    return make_connection


def make_gateway(request: Any) -> Any:
    """Return a WSGI gateway whose environment names the connection."""
    gateway = Gateway_10(request)
    connection = request.conn.plantainstand_connection
    gateway.env[_ENVIRONMENT_KEY] = connection
    return gateway


def connection_of(environment: Environment) -> FaultyConnection:
    """Return the connection that a request arrived on."""
    connection: FaultyConnection = environment[_ENVIRONMENT_KEY]
    return connection
