"""Candidates and statistics of a service."""

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
from tests.daemon.deployment import OWN, Deployment, with_slots
from tests.daemon.dispatching import PLACE, SERVICE

_TARGET = CandidateId('target/catalogue-1')
_REMOTE_TARGET = CandidateId('target/catalogue-2')
_NEAR_VM = 'vm/bajio-a-2'
_FAR_VM = 'vm/norte-a-1'
_WARM_UP = (timedelta(seconds=1),) * 30


class _TableFixture:
    """Service table of one VM in a deployment."""

    def __init__(self, *vms: str) -> None:
        self.deployment = Deployment(examples.ENTRIES, (OWN.vm, *vms))
        self.clock = ManualClock()
        self.incarnation_state = create_incarnation_state(
            *OWN, self.clock, SupportTiming()
        )
        self._table = ServiceTable(PLACE, self.clock, Random(1))
        self.apply()

    @property
    def runtime(self) -> ServiceRuntime:
        """Current runtime of the service."""
        return self._table.runtimes[SERVICE]

    @property
    def candidates(self) -> set[str]:
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
        """Plan all shares and apply the current view."""
        self.deployment.settle()
        view = self.deployment.view
        self.incarnation_state.apply(view.shares, self.clock.monotonic())
        self._table.apply(view, OWN, self.incarnation_state.ledger)


class CandidateTest(unittest.TestCase):
    """Guards against requests to candidates that may not serve them."""

    def test_peers(self) -> None:
        """VMs that own slots are candidates, this VM itself is not."""
        cases = (
            # No other VM can own the slots of the other region.
            ((), {_TARGET, _REMOTE_TARGET}),
            (('bajio-a-2',), {_TARGET, _REMOTE_TARGET, _NEAR_VM}),
            (('norte-a-1',), {_TARGET, _FAR_VM}),
            # The VM of a zone without targets owns no slot.
            (('bajio-b-1', 'norte-a-1'), {_TARGET, _FAR_VM}),
        )
        for vms, expected in cases:
            with self.subTest(vms=vms):
                fixture = _TableFixture(*vms)
                self.assertEqual(fixture.candidates, expected)
                self.assertEqual(set(fixture.ranked), expected)
                self.assertEqual(fixture.ranked[0], _TARGET)

    def test_slots(self) -> None:
        """The slots of a candidate are those that its VM owns."""
        fixture = _TableFixture('bajio-a-2', 'norte-a-1')
        self.assertEqual(fixture.runtime.view.local_slots, 2)
        self.assertEqual(fixture.runtime.queue.slots, 2)
        fixture.deployment.put(with_slots(examples.target('catalogue-1'), 8))
        fixture.apply()
        self.assertEqual(fixture.runtime.view.local_slots, 4)
        self.assertEqual(fixture.runtime.queue.slots, 4)

    def test_drains(self) -> None:
        """A draining target is removed at once and returns afterwards."""
        drains = (
            (DrainSubjectKind.TARGET, 'catalogue-1'),
            (DrainSubjectKind.AVAILABILITY_ZONE, 'bajio-a'),
            (DrainSubjectKind.REGION, 'bajio'),
        )
        for kind, name in drains:
            with self.subTest(kind):
                fixture = _TableFixture('norte-a-1')
                fixture.deployment.drain(kind, name)
                fixture.apply()
                self.assertEqual(fixture.ranked, (_FAR_VM,))
                fixture.deployment.withdraw(kind, name)
                fixture.apply()
                self.assertEqual(fixture.ranked, (_TARGET, _FAR_VM))

    def test_drain_before_the_shares_change(self) -> None:
        """A draining target is removed before the shares change."""
        fixture = _TableFixture('norte-a-1')
        fixture.deployment.drain(DrainSubjectKind.TARGET, 'catalogue-1')
        view = fixture.deployment.view
        ledger = fixture.incarnation_state.ledger
        fixture._table.apply(view, OWN, ledger)
        self.assertEqual(fixture.candidates, {_FAR_VM})

    def test_departures(self) -> None:
        """A VM that is leaving or has departed is no candidate."""
        for command in (MarkLeaving, DepartVm):
            with self.subTest(command.__name__):
                fixture = _TableFixture('bajio-a-2')
                peer = VmIncarnation(
                    fixture.runtime.peers[CandidateId(_NEAR_VM)].key.vm,
                    OWN.incarnation,
                )
                fixture.deployment.commit_share_command(command(*peer))
                fixture.apply()
                self.assertNotIn(_NEAR_VM, fixture.candidates)
                self.assertNotIn(_NEAR_VM, fixture.ranked)

    def test_removed_target(self) -> None:
        """A target without slots is no candidate."""
        fixture = _TableFixture('norte-a-1')
        fixture.deployment.put(with_slots(examples.target('catalogue-1'), 0))
        fixture.apply()
        self.assertEqual(fixture.ranked, (_FAR_VM,))

    def test_connections(self) -> None:
        """The connection limit is at most the VM's share of the slots."""
        for vms, expected in ((('norte-a-1',), 4), (('bajio-a-2',), 2)):
            fixture = _TableFixture(*vms)
            address = fixture.runtime.targets[_TARGET].address
            self.assertEqual(address.max_connections, expected)

    def test_claims(self) -> None:
        """A request at a target also claims a slot of its zone."""
        fixture = _TableFixture('norte-a-1')
        claims = fixture.runtime.targets[_TARGET].claims
        self.assertEqual(
            {claim.resource: claim.amount for claim in claims},
            {'target/catalogue-1': 1, 'zone/bajio-a': 1},
        )

    def test_cross_region_claims(self) -> None:
        """A request to another region claims the service's shift share."""
        fixture = _TableFixture()
        claims = fixture.runtime.targets[_REMOTE_TARGET].claims
        claimed = {claim.resource for claim in claims}
        self.assertIn('shift/catalogue/bajio/norte', claimed)


class StatisticsTest(unittest.TestCase):
    """Guards against changes that reset a VM's statistics."""

    def test_statistics_survive_changes(self) -> None:
        """Unrelated changes keep budget, queue and results."""
        fixture = _TableFixture('norte-a-1')
        before = fixture.runtime
        before.budget.try_spend()
        tokens = before.budget.available
        attempt = before.view.start(_TARGET)
        fixture.deployment.put(examples.target('more', 'norte-a', 23000))
        fixture.deployment.register('bajio-a-2')
        fixture.apply()
        after = fixture.runtime
        self.assertEqual(after.budget.available, tokens)
        self.assertEqual(after.view.in_flight(_TARGET), 1)
        self.assertIs(after.queue, before.queue)
        self.assertIs(after.hedge, before.hedge)
        after.view.finish(attempt, AttemptResult.FAILED)
        self.assertEqual(after.view.in_flight(_TARGET), 0)

    def test_bad_results(self) -> None:
        """A target that failed stays behind after a change elsewhere."""
        fixture = _TableFixture('norte-a-1')
        view = fixture.runtime.view
        attempts = [view.start(_TARGET) for _number in range(20)]
        for attempt in attempts:
            fixture.clock.advance(timedelta(milliseconds=10))
            view.finish(attempt, AttemptResult.FAILED)
        self.assertEqual(fixture.ranked, (_FAR_VM, _TARGET))
        fixture.deployment.put(examples.target('more', 'norte-a', 23000))
        fixture.apply()
        self.assertEqual(fixture.ranked, (_FAR_VM, _TARGET))

    def test_changed_service(self) -> None:
        """A changed service gets a new runtime with its new limits."""
        fixture = _TableFixture('norte-a-1')
        before = fixture.runtime
        retry = msgspec.structs.replace(before.service.retry, budget_ratio=0.5)
        changed = msgspec.structs.replace(before.service, retry=retry)
        fixture.deployment.put(changed)
        fixture.apply()
        self.assertEqual(fixture.runtime.service, changed)
        self.assertIsNot(fixture.runtime.budget, before.budget)

    def test_warm_up_survives_changes(self) -> None:
        """An unrelated change does not restart a target's warm-up."""
        fixture = _TableFixture()
        ledger = fixture.incarnation_state.ledger
        now = fixture.clock.monotonic
        claims = fixture.runtime.targets[_TARGET].claims
        cold = ledger.free(claims[0].resource, now())
        fixture.incarnation_state.support.record_leader_support(now())
        for step in _WARM_UP:
            reserved = [ledger.reserve(claims, now()) for _slot in range(4)]
            for reservation in reserved:
                if reservation.is_ok():
                    ledger.release(reservation.unwrap(), now())
            fixture.clock.advance(step)
        usable = ledger.free(claims[0].resource, now())
        self.assertGreater(usable, cold)
        fixture.deployment.put(examples.target('more', 'norte-a', 23000))
        fixture.apply()
        self.assertEqual(ledger.free(claims[0].resource, now()), usable)
