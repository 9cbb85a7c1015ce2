"""Free ports for processes of the tests."""

import socket
from collections.abc import Sequence
from contextlib import ExitStack


def free_ports(count: int) -> Sequence[int]:
    """Return ports that the system chose and that are free again."""
    with ExitStack() as sockets:
        bound = [sockets.enter_context(_bind()) for _number in range(count)]
        return [sock.getsockname()[1] for sock in bound]


def _bind() -> socket.socket:
    sock = socket.socket()
    sock.bind(('127.0.0.1', 0))
    return sock
