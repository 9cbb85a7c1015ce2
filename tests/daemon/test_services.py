"""Candidates of a service follow shares, drains and departures."""

import unittest
from datetime import timedelta
from random import Random

import msgspec
from plantainstand_catalogue import DrainSubjectKind
from plantainstand_core import ManualClock
from plantainstand_daemon._holding import create_incarnation_state
from plantainstand_daemon._services import ServiceRuntime, ServiceTable
from plantainstand_shares import (
    DepartVm,
    MarkLeaving,
    SupportTiming,
    VmIncarnation,
)
from plantainstand_steering import AttemptResult, CandidateId, rank_candidates

from tests.catalogue import examples
from tests.daemon.deployment import OWN, Deployment, slots
from tests.daemon.dispatching import PLACE, SERVICE

_TARGET = CandidateId('target/catalogue-1')
_REMOTE_TARGET = CandidateId('target/catalogue-2')
_NEAR = 'vm/bajio-a-2'
_FAR = 'vm/norte-a-1'
_WARM_UP = (timedelta(seconds=1),) * 30


class _Table:
    """Service table of one VM over a deployment."""

    def __init__(self, *vms: str) -> None:
        self.deployment = Deployment(examples.ENTRIES, (OWN.vm, *vms))
        self.clock = ManualClock()
        self.holding = create_incarnation_state(
            *OWN, self.clock, SupportTiming()
        )
        self._table = ServiceTable(PLACE, self.clock, Random(1))
        self.apply()

    @property
    def runtime(self) -> ServiceRuntime:
        """Present runtime of the service."""
        return self._table.runtimes[SERVICE]

    @property
    def known(self) -> set[str]:
        """Candidates with a route."""
        return {*self.runtime.targets, *self.runtime.peers}

    @property
    def ranked(self) -> tuple[str, ...]:
        """Candidates in the order in which they are tried."""
        return tuple(
            found.candidate.candidate_id
            for found in rank_candidates(self.runtime.view, limit=9)
        )

    def apply(self) -> None:
        """Settle shares and take the present view."""
        self.deployment.settle()
        view = self.deployment.view
        self.holding.apply(view.shares, self.clock.monotonic())
        self._table.apply(view, OWN, self.holding.ledger)


class CandidateTest(unittest.TestCase):
    """Guards against requests sent where nobody may serve them."""

    def test_peers(self) -> None:
        """VMs that own slots are candidates, this VM itself is not."""
        cases = (
            # Nobody else is left to own the slots of the other region.
            ((), {_TARGET, _REMOTE_TARGET}),
            (('bajio-a-2',), {_TARGET, _REMOTE_TARGET, _NEAR}),
            (('norte-a-1',), {_TARGET, _FAR}),
            # The VM of a zone without targets owns no slot.
            (('bajio-b-1', 'norte-a-1'), {_TARGET, _FAR}),
        )
        for vms, expected in cases:
            with self.subTest(vms=vms):
                table = _Table(*vms)
                self.assertEqual(table.known, expected)
                self.assertEqual(set(table.ranked), expected)
                self.assertEqual(table.ranked[0], _TARGET)

    def test_slots(self) -> None:
        """The slots of a candidate are those that its VM owns."""
        table = _Table('bajio-a-2', 'norte-a-1')
        self.assertEqual(table.runtime.view.local_slots, 2)
        self.assertEqual(table.runtime.queue.slots, 2)
        table.deployment.put(slots(examples.target('catalogue-1'), 8))
        table.apply()
        self.assertEqual(table.runtime.view.local_slots, 4)
        self.assertEqual(table.runtime.queue.slots, 4)

    def test_drains(self) -> None:
        """A draining target leaves at once and comes back afterwards."""
        drains = (
            (DrainSubjectKind.TARGET, 'catalogue-1'),
            (DrainSubjectKind.AVAILABILITY_ZONE, 'bajio-a'),
            (DrainSubjectKind.REGION, 'bajio'),
        )
        for kind, name in drains:
            with self.subTest(kind):
                table = _Table('norte-a-1')
                table.deployment.drain(kind, name)
                table.apply()
                self.assertEqual(table.ranked, (_FAR,))
                table.deployment.withdraw(kind, name)
                table.apply()
                self.assertEqual(table.ranked, (_TARGET, _FAR))

    def test_drain_before_the_shares_change(self) -> None:
        """A leader that is lost does not keep the target in use."""
        table = _Table('norte-a-1')
        table.deployment.drain(DrainSubjectKind.TARGET, 'catalogue-1')
        view = table.deployment.view
        ledger = table.holding.ledger
        table._table.apply(view, OWN, ledger)
        self.assertEqual(table.known, {_FAR})

    def test_departures(self) -> None:
        """A VM that leaves or has left gets no more requests."""
        for command in (MarkLeaving, DepartVm):
            with self.subTest(command.__name__):
                table = _Table('bajio-a-2')
                peer = VmIncarnation(
                    table.runtime.peers[CandidateId(_NEAR)].key.vm,
                    OWN.incarnation,
                )
                table.deployment.share(command(*peer))
                table.apply()
                self.assertNotIn(_NEAR, table.known)
                self.assertNotIn(_NEAR, table.ranked)

    def test_removed_target(self) -> None:
        """A target without slots is no candidate."""
        table = _Table('norte-a-1')
        table.deployment.put(slots(examples.target('catalogue-1'), 0))
        table.apply()
        self.assertEqual(table.ranked, (_FAR,))

    def test_connections(self) -> None:
        """A VM keeps no more connections than its share of the slots."""
        for vms, expected in ((('norte-a-1',), 4), (('bajio-a-2',), 2)):
            table = _Table(*vms)
            address = table.runtime.targets[_TARGET].address
            self.assertEqual(address.max_connections, expected)

    def test_claims(self) -> None:
        """A request at a target counts for its zone too."""
        table = _Table('norte-a-1')
        claims = table.runtime.targets[_TARGET].claims
        self.assertEqual(
            {claim.resource: claim.amount for claim in claims},
            {'target/catalogue-1': 1, 'zone/bajio-a': 1},
        )

    def test_claims_on_the_way(self) -> None:
        """Work at a target of another region uses the link and the cap."""
        table = _Table()
        claims = table.runtime.targets[_REMOTE_TARGET].claims
        claimed = {claim.resource for claim in claims}
        self.assertIn('shift/catalogue/bajio/norte', claimed)


class StatisticsTest(unittest.TestCase):
    """Guards against a change that makes a VM forget a bad target."""

    def test_kept(self) -> None:
        """Changes elsewhere leave budget, queue and results as they are."""
        table = _Table('norte-a-1')
        before = table.runtime
        before.budget.try_spend()
        tokens = before.budget.available
        attempt = before.view.start(_TARGET)
        table.deployment.put(examples.target('more', 'norte-a', 23000))
        table.deployment.register('bajio-a-2')
        table.apply()
        after = table.runtime
        self.assertEqual(after.budget.available, tokens)
        self.assertEqual(after.view.in_flight(_TARGET), 1)
        self.assertIs(after.queue, before.queue)
        self.assertIs(after.hedge, before.hedge)
        after.view.finish(attempt, AttemptResult.FAILED)
        self.assertEqual(after.view.in_flight(_TARGET), 0)

    def test_bad_results(self) -> None:
        """A target that failed stays behind after a change elsewhere."""
        table = _Table('norte-a-1')
        view = table.runtime.view
        attempts = [view.start(_TARGET) for _number in range(20)]
        for attempt in attempts:
            table.clock.advance(timedelta(milliseconds=10))
            view.finish(attempt, AttemptResult.FAILED)
        self.assertEqual(table.ranked, (_FAR, _TARGET))
        table.deployment.put(examples.target('more', 'norte-a', 23000))
        table.apply()
        self.assertEqual(table.ranked, (_FAR, _TARGET))

    def test_changed_service(self) -> None:
        """A changed service takes its new limits."""
        table = _Table('norte-a-1')
        before = table.runtime
        retry = msgspec.structs.replace(before.service.retry, budget_ratio=0.5)
        changed = msgspec.structs.replace(before.service, retry=retry)
        table.deployment.put(changed)
        table.apply()
        self.assertEqual(table.runtime.service, changed)
        self.assertIsNot(table.runtime.budget, before.budget)

    def test_warm_up_goes_on(self) -> None:
        """A change elsewhere does not make a warm target cold again."""
        table = _Table()
        ledger = table.holding.ledger
        now = table.clock.monotonic
        claims = table.runtime.targets[_TARGET].claims
        cold = ledger.free(claims[0].resource, now())
        table.holding.support.record_leader_support(now())
        for step in _WARM_UP:
            reserved = [ledger.reserve(claims, now()) for _slot in range(4)]
            for taken in reserved:
                if taken.is_ok():
                    ledger.release(taken.unwrap(), now())
            table.clock.advance(step)
        usable = ledger.free(claims[0].resource, now())
        self.assertGreater(usable, cold)
        table.deployment.put(examples.target('more', 'norte-a', 23000))
        table.apply()
        self.assertEqual(ledger.free(claims[0].resource, now()), usable)
