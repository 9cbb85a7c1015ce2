"""Sends whole and streamed responses to one client."""

import asyncio
from datetime import timedelta

import structlog
from plantainstand_core import Clock
from result import Err

from plantainstand_http._messages import (
    Request,
    Response,
    encode_chunk,
    encode_response,
    encode_stream_head,
    stated_length,
)
from plantainstand_http._socket_queues import read_queues
from plantainstand_http._stream import BodyStream

_log = structlog.get_logger()

CLOSE_DELAY = timedelta(milliseconds=500)
"""Least time between the end of output and the close, so that most clients
close first. The close waits until the client has acknowledged all bytes: while
unread bytes of the client are pending it resets the connection, and the kernel
drops what is in transit."""


MAX_WRITE_BYTES = 256 * 1024
"""Length of one write of a whole response. The transport holds at most one
beside its send buffer, however slowly the client reads."""

MIN_PROGRESS_BYTES = 4096
"""Bytes that a client with more to read must read within the idle timeout."""


class ClientOutput:
    """Writes to one client, no faster than the client reads."""

    def __init__(self, transport: asyncio.Transport, clock: Clock):
        """Write to ``transport``, which its owner may close earlier."""
        self._transport = transport
        self._clock = clock
        self._writable = asyncio.Event()
        self._writable.set()
        self._close_at: timedelta | None = None
        self._written_bytes = 0
        self._progress_bytes = 0
        self._progress_at = clock.monotonic()

    @property
    def is_open(self) -> bool:
        """Whether more can be sent."""
        return self._close_at is None and not self._transport.is_closing()

    @property
    def is_ended(self) -> bool:
        """Whether the end of output has been written."""
        return self._close_at is not None

    @property
    def is_flushing(self) -> bool:
        """Whether the client lacks bytes, or the close is to come."""
        return self.is_ended or read_queues(self._transport).unsent_bytes > 0

    def pause_streams(self) -> None:
        """Pause streams while the client does not read."""
        self._writable.clear()

    def resume_streams(self) -> None:
        """Resume streams."""
        self._writable.set()

    def send_continue(self) -> None:
        """Send the interim response that asks for the request's body."""
        self._write(b'HTTP/1.1 100 Continue\r\n\r\n')

    async def send(
        self, request: Request, response: Response, *, close: bool
    ) -> bool:
        """Send a response; return False if its body was truncated."""
        if response.rest is None:
            head_only = request.method == b'HEAD'
            encoded = encode_response(
                response, close=close, head_only=head_only
            )
            return await self._send_whole(encoded)
        unsized = stated_length(response) is None
        chunked = unsized and request.accepts_chunked
        framed = chunked or not unsized
        self._write(
            encode_stream_head(
                response,
                close=close or not framed,
                chunked=chunked,
            ),
        )
        is_whole = await self._send_rest(response.rest, chunked=chunked)
        if not is_whole:
            self._truncate(framed=framed)
        elif not framed:
            self.end()
        return is_whole

    def end(self) -> None:
        """End the output; the connection closes once the client has all."""
        if not self.is_open:
            return
        now = self._clock.monotonic()
        self._close_at = now + CLOSE_DELAY
        try:
            self._transport.write_eof()
        except OSError as problem:
            # The client has reset the connection, which the loop reads later.
            _log.info('client connection reset', problem=str(problem))
            self._transport.abort()
            return
        # From now on, bytes that only the kernel holds count as unsent.
        self._progress_bytes = self._written_bytes - self._unsent_bytes()
        self._progress_at = now

    def check_timeouts(self, now: timedelta, stall_limit: timedelta) -> None:
        """Close an ended connection; abort one that the client stopped reading.

        ``stall_limit`` is the longest time in which the client reads less than
        MIN_PROGRESS_BYTES.
        """
        unsent_bytes = self._unsent_bytes()
        sent_bytes = self._written_bytes - unsent_bytes
        read_bytes = sent_bytes - self._progress_bytes
        if read_bytes >= MIN_PROGRESS_BYTES or not unsent_bytes:
            self._progress_bytes = sent_bytes
            self._progress_at = now
        if now - self._progress_at > stall_limit:
            _log.info('client does not read', unsent_bytes=unsent_bytes)
            self._transport.abort()
        elif self._close_at is not None and now > self._close_at:
            if not unsent_bytes:
                self._transport.close()

    def _unsent_bytes(self) -> int:
        if not self.is_ended:
            return self._transport.get_write_buffer_size()
        queues = read_queues(self._transport)
        return 0 if queues.has_ended else queues.unsent_bytes

    async def _send_whole(self, encoded: bytes) -> bool:
        # The transport copies what it cannot send at once.
        for start in range(0, len(encoded), MAX_WRITE_BYTES):
            await self._writable.wait()
            if self._transport.is_closing():
                return False
            self._write(encoded[start : start + MAX_WRITE_BYTES])
        return True

    async def _send_rest(self, rest: BodyStream, *, chunked: bool) -> bool:
        while True:
            part = await rest.next_part()
            if isinstance(part, Err) or self._transport.is_closing():
                return False
            if chunked:
                self._write(encode_chunk(part.ok_value))
            elif part.ok_value:
                self._write(part.ok_value)
            if not part.ok_value:
                return True
            await self._writable.wait()

    def _write(self, payload: bytes) -> None:
        self._written_bytes += len(payload)
        self._transport.write(payload)

    def _truncate(self, *, framed: bool) -> None:
        """End the connection in the middle of a response.

        A client detects that a framed response is truncated; any other one
        looks complete unless the connection is reset.
        """
        if framed:
            self.end()
        else:
            self._transport.abort()
