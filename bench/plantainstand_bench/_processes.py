"""Processes that the load tool starts, and only those."""

import asyncio
import os
import signal
import subprocess  # noqa: S404
from collections.abc import Sequence
from contextlib import ExitStack
from pathlib import Path

_STOP_SECONDS = 20
_KILL_SECONDS = 5
_POLL_SECONDS = 0.02


class Processes:
    """Child processes by name; every signal goes to one process id."""

    def __init__(self, log_folder: Path):
        """Write the output of every process to ``log_folder``."""
        self._log_folder = log_folder
        self._running: dict[str, subprocess.Popen[bytes]] = {}

    def start(self, name: str, arguments: Sequence[str]) -> None:
        """Start a process; its output is appended to its log file."""
        self._log_folder.mkdir(parents=True, exist_ok=True)
        path = self._log_folder / f'{name}.log'
        with ExitStack() as files:
            log = files.enter_context(path.open('ab'))
            self._running[name] = subprocess.Popen(
                arguments,
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
                start_new_session=True,
            )

    def is_running(self, name: str) -> bool:
        """Whether the process was started and has not exited."""
        process = self._running.get(name)
        return process is not None and process.poll() is None

    def exit_code(self, name: str) -> int | None:
        """Exit code of a process, if it has exited."""
        process = self._running.get(name)
        return None if process is None else process.poll()

    def send_signal(self, name: str, number: signal.Signals) -> bool:
        """Send a signal; false when the process no longer runs."""
        process = self._running.get(name)
        if process is None or process.poll() is not None:
            return False
        os.kill(process.pid, number)
        return True

    async def wait(self, name: str, seconds: float) -> bool:
        """Wait for the exit of a process; false when it still runs."""
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        while self.is_running(name) and loop.time() < end:
            await asyncio.sleep(_POLL_SECONDS)
        return not self.is_running(name)

    async def stop_all(self) -> Sequence[str]:
        """Stop every process; return the names of those that were killed."""
        names = tuple(self._running)
        for number in (signal.SIGCONT, signal.SIGTERM):
            for running in names:
                self.send_signal(running, number)
        stopping = [self._stop_or_kill(name) for name in names]
        outcomes = await asyncio.gather(*stopping)
        self._running.clear()
        return [killed for killed in outcomes if killed]

    async def _stop_or_kill(self, name: str) -> str:
        if await self.wait(name, _STOP_SECONDS):
            return ''
        self.send_signal(name, signal.SIGKILL)
        await self.wait(name, _KILL_SECONDS)
        return name
