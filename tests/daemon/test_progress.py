"""Progress reports of drains and changes."""

import unittest
from typing import Any

from plantainstand_shares import DepartVm, MarkLeaving

from tests.catalogue import examples
from tests.daemon.deployment import OWN, with_slots
from tests.daemon.operators import OperatorFixture

_DRAIN = '/operator/v1/drains/target/catalogue-1'
_VM_DRAIN = '/operator/v1/drains/vm/bajio-a-1'


class ProgressTest(unittest.TestCase):
    """Guards against reporting a drain or a change as finished too early."""

    def test_target_drain(self) -> None:
        """A target is drained once none of its slots can be in use."""
        fixture = OperatorFixture()
        self._expect_state(fixture, _DRAIN, 'not-draining')
        fixture.call('PUT', f'{_DRAIN}?operation_id=o')
        self._expect_state(fixture, _DRAIN, 'draining')
        fixture.deployment.settle()
        self._expect_state(fixture, _DRAIN, 'drained')
        fixture.call('DELETE', f'{_DRAIN}?operation_id=p')
        self._expect_state(fixture, _DRAIN, 'not-draining')

    def test_vm_drain(self) -> None:
        """A VM is drained once it has departed, not when it is silent."""
        fixture = OperatorFixture()
        fixture.add_vm_report('bajio-a-1', 1)
        fixture.call('PUT', f'{_VM_DRAIN}?operation_id=o')
        progress = self._expect_state(fixture, _VM_DRAIN, 'draining')
        self.assertEqual(progress['in_flight'], 3)
        fixture.deployment.commit_share_command(MarkLeaving(*OWN))
        fixture.deployment.settle()
        self._expect_state(fixture, _VM_DRAIN, 'draining')
        fixture.deployment.commit_share_command(DepartVm(*OWN))
        progress = self._expect_state(fixture, _VM_DRAIN, 'drained')
        self.assertEqual(progress['in_flight'], 0)

    def test_change(self) -> None:
        """A change is in force at the VMs that have applied it."""
        fixture = OperatorFixture()
        fixture.add_vm_report('bajio-a-1', 8)
        fixture.add_vm_report('bajio-b-1', 7)
        self._expect_change(fixture, ['bajio-a-1'], ['bajio-b-1'])
        fixture.report.vms[1].applied_index = 8
        self._expect_change(fixture, ['bajio-a-1', 'bajio-b-1'], [])

    def test_lowered_limit(self) -> None:
        """A lowered limit is pending until the shares are reduced."""
        fixture = OperatorFixture()
        few = with_slots(examples.target('catalogue-1'), 2)
        fixture.deployment.put(few)
        fixture.add_vm_report('bajio-a-1', 100)
        fixture.add_vm_report('bajio-b-1', 100)
        self._expect_change(fixture, ['bajio-b-1'], ['bajio-a-1'])
        fixture.deployment.settle()
        self._expect_change(fixture, ['bajio-a-1', 'bajio-b-1'], [])

    def test_vms(self) -> None:
        """A VM without a heartbeat for 3 s is reported as not heard."""
        fixture = OperatorFixture()
        applied = fixture.report.commit_index - 4
        fixture.add_vm_report('bajio-a-1', applied, age_ms=2999)
        fixture.add_vm_report('bajio-b-1', applied, age_ms=3000)
        vms = fixture.call('GET', '/operator/v1/vms').document['vms']
        found = [(vm['vm'], vm['heard'], vm['behind']) for vm in vms]
        self.assertEqual(
            found,
            [('bajio-a-1', True, 4), ('bajio-b-1', False, 4)],
        )

    def _expect_state(
        self, fixture: OperatorFixture, uri: str, state: str
    ) -> Any:
        progress = fixture.call('GET', uri).document
        self.assertEqual(progress['state'], state)
        return progress

    def _expect_change(
        self,
        fixture: OperatorFixture,
        in_force: list[str],
        pending: list[str],
    ) -> None:
        self.assertEqual(
            fixture.call('GET', '/operator/v1/changes/8').document,
            {'revision': 8, 'in_force': in_force, 'pending': pending},
        )
