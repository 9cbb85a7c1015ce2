"""Latency, headroom and drain times, and the arrivals they come from."""

import unittest

import msgspec
from plantainstand_bench._arrivals import (
    draw_arrivals,
    occupancy_rates,
    planned_rates,
)
from plantainstand_bench._deployment import Deployment, TrafficPlan
from plantainstand_bench._headroom import measure_headroom
from plantainstand_bench._journal import JournalEvent, JournalKind
from plantainstand_bench._measures import (
    measure_drains,
    measure_latency,
)
from plantainstand_bench._records import (
    CallerRecord,
    Drain,
    LostTarget,
    Outcome,
    PlannedStop,
    RunLog,
)
from plantainstand_bench._system_map import map_entries
from plantainstand_core import RequestId, ServiceId, TargetId, TrafficClass


def _record(outcome: Outcome, ended: float) -> CallerRecord:
    return CallerRecord(
        caller='caller',
        service=ServiceId('look-up'),
        traffic_class=TrafficClass.CRITICAL,
        is_idempotent=True,
        scheduled=100,
        begun=100,
        deadline_ms=2000,
        ended=ended,
        outcome=outcome,
        attempts=(),
    )


def _event(
    kind: JournalKind,
    time: float,
    in_use: int,
    target: str = 't',
) -> JournalEvent:
    return JournalEvent(
        event=kind,
        time=time,
        target=TargetId(target),
        service=ServiceId('look-up'),
        request_id=RequestId('r'),
        in_use=in_use,
        slots=10,
    )


class MeasuresTest(unittest.TestCase):
    """Guards against figures that look better than the run was."""

    def test_failures_count_as_late(self) -> None:
        """Refused requests do not lower the 99th percentile."""
        records = [
            _record(Outcome.NOT_RUN, 100.01)
            if number < 5
            else _record(Outcome.ANSWERED, 100.1)
            for number in range(100)
        ]
        latency = measure_latency(records)['critical']
        self.assertEqual(latency.answered, 95)
        self.assertAlmostEqual(latency.percentiles_ms['p99'], 100, delta=1)
        self.assertAlmostEqual(latency.p99_with_failures_ms, 2000, delta=2)

    def test_headroom_ends_at_the_first_shed(self) -> None:
        """Use after the first shed, and overruns, do not count."""
        events = [
            _event(JournalKind.BOOT, 90, 0),
            _event(JournalKind.BOOT, 90, 0, 'u'),
            _event(JournalKind.QUEUE, 100, 14),
            _event(JournalKind.START, 101, 6, 'u'),
            _event(JournalKind.START, 103, 10, 'u'),
        ]
        records = [_record(Outcome.NOT_RUN, 102)]
        headroom = measure_headroom(RunLog(records=records), events)
        self.assertEqual(headroom.first_shed, 102)
        self.assertAlmostEqual(headroom.highest_share, 0.8)

    def test_killed_target_has_no_slots_in_use(self) -> None:
        """Work that a killed target never ended does not count as use."""
        events = [
            _event(JournalKind.START, 100, 4),
            _event(JournalKind.START, 101, 10, 'u'),
            _event(JournalKind.START, 103, 5),
        ]
        log = RunLog(
            measured_from=100,
            records=[_record(Outcome.ANSWERED, 103)],
            lost_targets=[LostTarget(target='u', time=102)],
        )
        headroom = measure_headroom(log, events)
        self.assertAlmostEqual(headroom.highest_share, 0.7)

    def test_drain_times(self) -> None:
        """A drain ends with its last work, a stop with the exit."""
        log = RunLog(
            planned_stops=[
                PlannedStop(vm='v', started=100, exited=104),
                PlannedStop(vm='w', started=100),
            ],
            drains=[
                Drain(
                    subject='target/t',
                    targets=['t'],
                    announced=100,
                    withdrawn=108,
                ),
            ],
        )
        events = [
            _event(JournalKind.END, 99, 0),
            _event(JournalKind.END, 102.5, 0),
            _event(JournalKind.END, 107, 0, 'u'),
            _event(JournalKind.END, 109, 0),
        ]
        times = [drain.seconds for drain in measure_drains(log, events)]
        self.assertEqual(times, [4, None, 2.5])


class ArrivalsTest(unittest.TestCase):
    """Guards against runs that cannot be set beside each other."""

    def setUp(self) -> None:
        """Make a deployment with one service of twelve slots."""
        traffic = TrafficPlan(
            service=ServiceId('look-up'),
            requests_per_second=200,
            deadline_ms=2000,
        )
        self._deployment = Deployment(
            catalogue='',
            vms=(),
            traffic=(traffic,),
            duration_s=10,
        )

    def test_same_seed_same_arrivals(self) -> None:
        """Arrivals depend on the seed and on nothing else."""
        rates = planned_rates(self._deployment, 1)
        first, again, other = (
            draw_arrivals(self._deployment, rates, 5, seed)
            for seed in (1, 1, 2)
        )
        self.assertEqual(first, again)
        self.assertNotEqual(first, other)
        self.assertAlmostEqual(len(first), 2000, delta=200)

    def test_rate_rises_during_the_warm_up(self) -> None:
        """Half as many arrivals come while the rate rises from zero."""
        rates = planned_rates(self._deployment, 1)
        warm = msgspec.structs.replace(self._deployment, warm_up_s=10)
        arrivals = draw_arrivals(warm, rates, 5, 1)
        self.assertAlmostEqual(len(arrivals), 1000, delta=150)
        early = [arrival for arrival in arrivals if arrival.at_s < 2]
        self.assertLess(len(early), 100)

    def test_occupancy_leaves_out_the_lost_zone(self) -> None:
        """The rate fills the stated share of the slots that remain."""
        entries = [
            {
                'kind': 'target',
                'id': zone,
                'service': 'look-up',
                'availability_zone': zone,
                'host': '127.0.0.1',
                'port': 1,
                'limits': {'slots': slots, 'connections': 1},
            }
            for zone, slots in (('a', 4), ('b', 8))
        ]
        system_map = map_entries(entries)
        service = ServiceId('look-up')
        mean = self._deployment.target_plan(service).mean_seconds
        rates = occupancy_rates(
            self._deployment,
            system_map,
            0.9,
            system_map.targets[0].availability_zone,
        )
        self.assertAlmostEqual(rates[service] * mean, 0.9 * 8)
