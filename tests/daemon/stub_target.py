"""Stub target whose raw HTTP responses come from a script."""

import socket
import threading
from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager, suppress

Script = Callable[[str], bytes | None]
"""Maps a request id to the raw response; ``None`` sends nothing."""


def response(
    request_id: str,
    status: str = '200 OK',
    body: bytes = b'done',
    length: int | None = None,
    extra_headers: str = '',
) -> bytes:
    """Build a raw HTTP response."""
    size = len(body) if length is None else length
    head = (
        f'HTTP/1.1 {status}\r\nRequest-Id: {request_id}\r\n'
        f'Content-Length: {size}\r\n{extra_headers}\r\n'
    )
    return head.encode() + body


@contextmanager
def run_target(script: Script) -> Iterator[int]:
    """Serve ``script`` on a loopback port during the ``with`` block."""
    stop = threading.Event()
    with ExitStack() as stack:
        server = stack.enter_context(socket.create_server(('127.0.0.1', 0)))
        thread = threading.Thread(
            target=_serve,
            args=(server, script, stop),
            daemon=True,
        )
        thread.start()
        stack.callback(thread.join)
        stack.callback(server.shutdown, socket.SHUT_RDWR)
        stack.callback(stop.set)
        yield server.getsockname()[1]


@contextmanager
def run_endless(head: bytes, pieces: bytes) -> Iterator[int]:
    """Answer with ``head`` and then ``pieces`` until the caller closes."""

    def answer(connection: socket.socket) -> None:
        with connection, suppress(OSError):
            connection.recv(65536)
            connection.sendall(head)
            while True:  # noqa: WPS457
                connection.sendall(pieces)

    def serve() -> None:
        with suppress(OSError):
            while True:  # noqa: WPS457
                connection, _address = server.accept()
                threading.Thread(
                    target=answer, args=(connection,), daemon=True
                ).start()

    with ExitStack() as stack:
        server = stack.enter_context(socket.create_server(('127.0.0.1', 0)))
        thread = threading.Thread(target=serve, daemon=True)
        thread.start()
        stack.callback(thread.join)
        stack.callback(server.shutdown, socket.SHUT_RDWR)
        yield server.getsockname()[1]


def _serve(
    server: socket.socket,
    script: Script,
    stop: threading.Event,
) -> None:
    while not stop.is_set():
        try:
            connection, _address = server.accept()
        except OSError:
            return
        threading.Thread(
            target=_answer,
            args=(connection, script, stop),
            daemon=True,
        ).start()


def _answer(
    connection: socket.socket,
    script: Script,
    stop: threading.Event,
) -> None:
    with connection:
        received = connection.recv(65536).decode()
        if not received:
            return
        lines = received.split('\r\n')
        request_ids = [
            line[12:] for line in lines if line.startswith('Request-Id: ')
        ]
        raw = script(request_ids[0] if request_ids else '')
        if raw is None:
            stop.wait()
        else:
            connection.sendall(raw)
