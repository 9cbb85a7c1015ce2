"""A drain or a change counts as done only when it is."""

import unittest
from typing import Any

from plantainstand_shares import DepartVm, MarkLeaving

from tests.catalogue import examples
from tests.daemon.deployment import OWN, with_slots
from tests.daemon.operators import OperatorFixture

_DRAIN = '/operator/v1/drains/target/catalogue-1'
_VM_DRAIN = '/operator/v1/drains/vm/bajio-a-1'


class ProgressTest(unittest.TestCase):
    """Guards against a drain or a change that is reported done too early."""

    def test_target_drain(self) -> None:
        """A target is drained when no slot of it can be in use."""
        daemon = OperatorFixture()
        self._expect_state(daemon, _DRAIN, 'not-draining')
        daemon.call('PUT', f'{_DRAIN}?operation_id=o')
        self._expect_state(daemon, _DRAIN, 'draining')
        daemon.deployment.settle()
        self._expect_state(daemon, _DRAIN, 'drained')
        daemon.call('DELETE', f'{_DRAIN}?operation_id=p')
        self._expect_state(daemon, _DRAIN, 'not-draining')

    def test_vm_drain(self) -> None:
        """A VM is drained when it has departed, not when it is silent."""
        daemon = OperatorFixture()
        daemon.add_vm_report('bajio-a-1', 1)
        daemon.call('PUT', f'{_VM_DRAIN}?operation_id=o')
        progress = self._expect_state(daemon, _VM_DRAIN, 'draining')
        self.assertEqual(progress['in_flight'], 3)
        daemon.deployment.commit_share_command(MarkLeaving(*OWN))
        daemon.deployment.settle()
        self._expect_state(daemon, _VM_DRAIN, 'draining')
        daemon.deployment.commit_share_command(DepartVm(*OWN))
        progress = self._expect_state(daemon, _VM_DRAIN, 'drained')
        self.assertEqual(progress['in_flight'], 0)

    def test_change(self) -> None:
        """A change is in force where it is applied and nothing is held."""
        daemon = OperatorFixture()
        daemon.add_vm_report('bajio-a-1', 8)
        daemon.add_vm_report('bajio-b-1', 7)
        self._expect_change(daemon, ['bajio-a-1'], ['bajio-b-1'])
        daemon.report.vms[1].applied_index = 8
        self._expect_change(daemon, ['bajio-a-1', 'bajio-b-1'], [])

    def test_lowered_limit(self) -> None:
        """A limit is not in force before the shares under it are."""
        daemon = OperatorFixture()
        few = with_slots(examples.target('catalogue-1'), 2)
        daemon.deployment.put(few)
        daemon.add_vm_report('bajio-a-1', 100)
        daemon.add_vm_report('bajio-b-1', 100)
        self._expect_change(daemon, ['bajio-b-1'], ['bajio-a-1'])
        daemon.deployment.settle()
        self._expect_change(daemon, ['bajio-a-1', 'bajio-b-1'], [])

    def test_vms(self) -> None:
        """A VM that is silent for 3 s counts as not heard."""
        daemon = OperatorFixture()
        applied = daemon.report.commit_index - 4
        daemon.add_vm_report('bajio-a-1', applied, age_ms=2999)
        daemon.add_vm_report('bajio-b-1', applied, age_ms=3000)
        vms = daemon.call('GET', '/operator/v1/vms').document['vms']
        found = [(vm['vm'], vm['heard'], vm['behind']) for vm in vms]
        self.assertEqual(
            found,
            [('bajio-a-1', True, 4), ('bajio-b-1', False, 4)],
        )

    def _expect_state(
        self, daemon: OperatorFixture, uri: str, state: str
    ) -> Any:
        progress = daemon.call('GET', uri).document
        self.assertEqual(progress['state'], state)
        return progress

    def _expect_change(
        self,
        daemon: OperatorFixture,
        in_force: list[str],
        pending: list[str],
    ) -> None:
        self.assertEqual(
            daemon.call('GET', '/operator/v1/changes/8').document,
            {'revision': 8, 'in_force': in_force, 'pending': pending},
        )
