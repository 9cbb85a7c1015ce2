"""Fixture: the operator routes of a small deployment."""

from typing import Any

import plantainstand_catalogue as catalogue
from plantainstand_daemon._control_problems import (
    ControlFailure,
    ControlProblem,
)
from plantainstand_daemon._control_state import CommandKind, wrap_command
from plantainstand_daemon._operator_api import OperatorPort
from plantainstand_protocol.steering_pb2 import ReportReply, VmReport
from result import Err, Ok, Result

from tests.catalogue import examples
from tests.daemon.deployment import Deployment
from tests.daemon.http_calls import HttpReply, build_test_application, call


class OperatorFixture:
    """Operator routes with a leader report that the test controls."""

    def __init__(self) -> None:
        self.deployment = Deployment(
            examples.ENTRIES,
            ('bajio-a-1', 'bajio-b-1'),
        )
        self.failure: ControlFailure | None = None
        self.report = ReportReply(
            leader='bajio-a-1',
            commit_index=self.deployment.log.state.index,
            voters=['bajio-a-1', 'norte-a-1'],
        )
        self._application = build_test_application(
            operator=OperatorPort(
                lambda: self.deployment.view,
                self._change,
                lambda: self._result(self.report),
            ),
        )

    def call(self, method: str, uri: str, body: bytes = b'') -> HttpReply:
        """Call a route."""
        return call(self._application, method, uri, body)

    def add_vm_report(self, vm: str, applied: int, age_ms: int = 0) -> None:
        """Add a VM's last heartbeat to the leader's report."""
        vm_report = VmReport(
            applied_index=applied,
            heartbeat_age_ms=age_ms,
            in_flight=3,
        )
        vm_report.vm.vm = vm
        vm_report.vm.incarnation = 1
        self.report.vms.append(vm_report)

    def _change(
        self,
        command: catalogue.CatalogueCommand,
    ) -> Result[catalogue.ChangeOutcome, ControlProblem]:
        payload = catalogue.encode_command(command)
        wrapped = wrap_command(CommandKind.CATALOGUE, payload)
        applied = self.deployment.log.commit(wrapped)
        return self._result(catalogue.decode_outcome(applied).unwrap())

    def _result(self, found: Any) -> Result[Any, ControlProblem]:
        if self.failure is None:
            return Ok(found)
        return Err(ControlProblem(self.failure, 'no majority'))
