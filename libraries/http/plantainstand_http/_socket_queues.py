"""What the kernel holds of one connection."""

import asyncio
import fcntl
import os
import socket
import struct
import termios
from contextlib import suppress
from dataclasses import dataclass

_TCP_CLOSE = 7
"""State of a connection that has ended on both sides."""

_DISCARD_BYTES = 64 * 1024

_MAX_DISCARDED_BYTES = 4 * 1024 * 1024
"""Bytes after which a peer that goes on sending is not read any more."""

_INT = struct.Struct('i')


@dataclass(frozen=True, slots=True)
class SocketQueues:
    """Bytes of one connection that one of the sides has yet to take."""

    unsent_bytes: int
    """Bytes that the peer has not acknowledged."""

    unread_bytes: int
    """Bytes of the peer that this process has not read."""

    has_ended: bool
    """Whether both sides have closed, or one has reset the connection."""


def read_queues(transport: asyncio.Transport) -> SocketQueues:
    """Return what the transport and the kernel hold."""
    held_bytes = transport.get_write_buffer_size()
    peer = transport.get_extra_info('socket')
    if peer is None or peer.fileno() < 0:
        return SocketQueues(held_bytes, 0, has_ended=transport.is_closing())
    state = peer.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0]
    return SocketQueues(
        held_bytes + _queue_bytes(peer.fileno(), termios.TIOCOUTQ),
        _queue_bytes(peer.fileno(), termios.FIONREAD),
        has_ended=state == _TCP_CLOSE,
    )


def discard_unread(transport: asyncio.Transport) -> None:
    """Discard what the peer has sent and this process has not read."""
    peer = transport.get_extra_info('socket')
    if peer is None or peer.fileno() < 0:
        return
    # Ends with BlockingIOError, a kind of OSError, once the queue is empty.
    with suppress(OSError):
        bytes_left = _MAX_DISCARDED_BYTES
        while bytes_left > 0:
            part = os.read(peer.fileno(), _DISCARD_BYTES)
            bytes_left -= len(part) or bytes_left


def _queue_bytes(descriptor: int, queue: int) -> int:
    buffer = fcntl.ioctl(descriptor, queue, _INT.pack(0))
    size: int = _INT.unpack(buffer)[0]
    return size
