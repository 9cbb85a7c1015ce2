"""Fakes shared by the daemon's tests."""

from datetime import timedelta
from random import Random

from plantainstand_core import Clock, LogIndex, ManualClock, RequestId
from plantainstand_daemon._control_problems import (
    ControlFailure,
    ControlProblem,
)
from plantainstand_daemon._control_state import ControlState
from plantainstand_daemon._instruments import Instruments
from plantainstand_daemon._metrics import HELP_TEXTS
from plantainstand_records import encode_outcome
from plantainstand_telemetry import Metrics
from plantainstand_telemetry.traces import Tracing
from result import Err, Ok, Result


def make_instruments(clock: Clock | None = None) -> Instruments:
    """Build instruments with a fixed seed and, by default, a manual clock."""
    return Instruments(
        clock or ManualClock(),
        Metrics(HELP_TEXTS),
        Tracing('test'),
        Random(1),
    )


class FakeLog:
    """Commits each command immediately.

    Without ``reachable`` commands are lost, without ``replies`` their outcomes.
    """

    def __init__(self) -> None:
        """Start with an empty log."""
        self.state = ControlState()
        self.reachable = True
        self.replies = True
        self._index = LogIndex(0)

    async def propose(
        self,
        command: bytes,
        timeout: timedelta,
    ) -> Result[bytes, ControlProblem]:
        """Stand in for :meth:`ControlClient.propose`."""
        if not self.reachable:
            return Err(ControlProblem(ControlFailure.NOT_PROPOSED, 'cut'))
        outcome = self.commit(command)
        if self.replies:
            return Ok(outcome)
        return Err(ControlProblem(ControlFailure.OUTCOME_UNKNOWN, 'lost'))

    async def look_up_record(
        self,
        request_id: str,
    ) -> Result[bytes, ControlProblem]:
        """Stand in for :meth:`ControlClient.look_up_record`."""
        if not self.reachable:
            return Err(ControlProblem(ControlFailure.NOT_PROPOSED, 'cut'))
        found = self.state.records.lookup(RequestId(request_id))
        return Ok(encode_outcome(found))

    def commit(self, command: bytes) -> bytes:
        """Append and apply one command."""
        self._index = LogIndex(self._index + 1)
        return self.state.apply(self._index, command)
