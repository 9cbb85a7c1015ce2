"""Accounts for the request bodies that a server holds."""

from plantainstand_http._pipeline import ServerState


class BodyBufferShare:
    """Bytes that one connection holds of its server's buffer."""

    def __init__(self, server: ServerState):
        """Hold nothing."""
        self._server = server
        self._held_bytes = 0

    def update(self, held_bytes: int) -> bool:
        """Hold this many bytes; return whether the buffer is too full."""
        server = self._server
        server.buffered_body_bytes += held_bytes - self._held_bytes
        self._held_bytes = held_bytes
        limit = server.limits.buffered_body_bytes
        return limit is not None and server.buffered_body_bytes > limit
