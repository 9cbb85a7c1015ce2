"""Event loops in threads, so that each side's processor time is apart."""

import asyncio
import socket
import threading
import time
from collections.abc import Coroutine, Iterator
from contextlib import closing, contextmanager, suppress
from typing import Any, TypeVar

ResultT = TypeVar('ResultT')

HOST = '127.0.0.1'
_TIMEOUT_S = 60
_CANCEL_S = 0.1
_CHUNK_BYTES = 65536


class LoopThread:
    """An event loop in its own thread."""

    def __init__(self) -> None:
        """Start the thread."""
        self.loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self.loop.run_forever)
        self._thread.start()

    def run(self, work: Coroutine[Any, Any, ResultT]) -> ResultT:
        """Run a coroutine on the loop and return its result."""
        future = asyncio.run_coroutine_threadsafe(work, self.loop)
        return future.result(_TIMEOUT_S)

    def processor_time(self) -> float:
        """Return the seconds of processor time the thread has used."""
        return self.run(_thread_time())

    def close(self) -> None:
        """Cancel what still runs and end the thread."""
        # Tasks that end with an error while they are cancelled are no finding.
        self.loop.set_exception_handler(lambda _loop, _context: None)
        self.run(_cancel_others())
        self.loop.call_soon_threadsafe(self.loop.stop)
        self._thread.join()
        self.loop.close()


class CountingRelay:
    """Passes TCP connections on and counts their bytes, both directions."""

    def __init__(self, port: int) -> None:
        """Listen on a free port for connections to ``port``."""
        self.port = free_port()
        self.sent = 0
        """Bytes from the side that connected."""

        self.received = 0
        self._target_port = port
        self._thread = LoopThread()
        self._server = self._thread.run(
            asyncio.start_server(self._serve, HOST, self.port),
        )

    def close(self) -> None:
        """Stop listening and close every connection."""
        self._thread.loop.call_soon_threadsafe(self._server.close)
        self._thread.close()

    def processor_time(self) -> float:
        """Return the seconds of processor time the relay has used."""
        return self._thread.processor_time()

    async def _serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        far_reader, far_writer = await asyncio.open_connection(
            HOST,
            self._target_port,
        )
        # An event loop logs the cancellation of a connection's task.
        with (
            suppress(asyncio.CancelledError),
            closing(writer),
            closing(far_writer),
        ):
            await asyncio.gather(
                self._pass_on(reader, far_writer, is_sent=True),
                self._pass_on(far_reader, writer, is_sent=False),
            )

    async def _pass_on(
        self,
        source: asyncio.StreamReader,
        destination: asyncio.StreamWriter,
        *,
        is_sent: bool,
    ) -> None:
        with suppress(OSError):
            while chunk := await source.read(_CHUNK_BYTES):
                if is_sent:
                    self.sent += len(chunk)
                else:
                    self.received += len(chunk)
                destination.write(chunk)
        destination.close()


@contextmanager
def loop_thread() -> Iterator[LoopThread]:
    """Run a loop in a thread for a block."""
    with closing(LoopThread()) as thread:
        yield thread


def free_port() -> int:
    """Return a loopback port that nothing listens on."""
    with closing(socket.socket()) as probe:
        probe.bind((HOST, 0))
        port: int = probe.getsockname()[1]
        return port


async def _thread_time() -> float:
    return time.thread_time()


async def _cancel_others() -> None:
    # A stream that is being closed can turn a cancellation into an error, and
    # its task then goes on; so tasks are cancelled until none is left.
    while others := asyncio.all_tasks() - {asyncio.current_task()}:
        for task in others:
            task.cancel()
        await asyncio.wait(others, timeout=_CANCEL_S)
