"""Runs operators' changes and reports on the event loop."""

from datetime import timedelta

from plantainstand_catalogue import (
    CatalogueCommand,
    ChangeOutcome,
    decode_outcome,
    encode_command,
)
from plantainstand_protocol.steering_pb2 import ReportReply
from result import Err, Result

from plantainstand_daemon._caller_bridge import CallerBridge
from plantainstand_daemon._control_client import ControlClient
from plantainstand_daemon._control_problems import (
    ControlFailure,
    ControlProblem,
)
from plantainstand_daemon._control_state import CommandKind, wrap_command

_CHANGE_TIMEOUT = timedelta(seconds=6)
_BRIDGE_TIMEOUT = timedelta(seconds=8)


class OperatorBridge:
    """Proposes changes and requests reports; thread-safe."""

    def __init__(self, bridge: CallerBridge, control: ControlClient) -> None:
        """Use the event loop of ``bridge``."""
        self._bridge = bridge
        self._control = control

    def change(
        self,
        command: CatalogueCommand,
    ) -> Result[ChangeOutcome, ControlProblem]:
        """Commit a catalogue change; blocks the calling thread."""
        payload = wrap_command(CommandKind.CATALOGUE, encode_command(command))
        proposed: Result[bytes, ControlProblem] = self._bridge.run(
            self._control.propose(payload, _CHANGE_TIMEOUT),
            _BRIDGE_TIMEOUT,
            Err(
                ControlProblem(
                    ControlFailure.OUTCOME_UNKNOWN,
                    'no reply',
                ),
            ),
        )
        if isinstance(proposed, Err):
            return proposed
        decoded = decode_outcome(proposed.ok_value)
        if isinstance(decoded, Err):
            message = str(decoded.err_value)
            return Err(ControlProblem(ControlFailure.NOT_PROPOSED, message))
        return decoded

    def report(self) -> Result[ReportReply, ControlProblem]:
        """Ask the leader for its report; blocks the calling thread."""
        fallback: Result[ReportReply, ControlProblem] = Err(
            ControlProblem(
                ControlFailure.NOT_PROPOSED,
                'no reply',
            ),
        )
        return self._bridge.run(
            self._control.report(), _BRIDGE_TIMEOUT, fallback
        )
