"""Guards the exchange of request limits between control VMs."""

import unittest

from plantainstand_control._limits import LimitExchange
from plantainstand_core import ManualClock, TargetId, VmId
from plantainstand_fleet import LimitStatement

_ENTRY_VM = VmId('10.0.0.9')
_PEER = VmId('10.0.0.2')


class LimitExchangeTests(unittest.TestCase):
    """A limit must reach all entry VMs, and end everywhere."""

    def test_who_gets_a_statement(self) -> None:
        """Statements that control VMs sent back and forth would not age."""
        exchange = LimitExchange(ManualClock())
        reported = LimitStatement(TargetId('t1'), 1, 6.5, 0)
        received = LimitStatement(TargetId('t2'), 1, 3, 0)
        self.assertTrue(exchange.record_report(_ENTRY_VM, (reported,)))
        self.assertTrue(exchange.record_from_peer(_PEER, (received,)))
        self.assertFalse(exchange.record_from_peer(_PEER, (received,)))
        self.assertEqual(exchange.for_control_vms(), (reported,))
        self.assertEqual(exchange.for_entry_vms(), (reported, received))
