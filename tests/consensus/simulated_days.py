"""Random days of control VMs that end with a loss of disks.

``python -m tests.consensus.simulated_days --seeds 1..500`` plays many.
"""

import argparse
import random
import sys
from collections.abc import Callable, Collection, Sequence
from dataclasses import dataclass
from datetime import timedelta
from functools import partial
from itertools import count

from plantainstand_consensus import Configuration, InvariantError, Node
from plantainstand_control._node import SUPERVISION_INTERVAL
from plantainstand_control._peers import LIVENESS_TIMEOUT
from plantainstand_core import RegionId, VmId

from tests.consensus.simulated_faults import CATCH_UP, Faults, seconds
from tests.consensus.timed_cluster import TOLERATED_LOSSES, TimedCluster

RECOVERY = timedelta(seconds=15)
"""Longest time from the return of all VMs to the next accepted change."""

REPAIR_TIME = CATCH_UP + LIVENESS_TIMEOUT + SUPERVISION_INTERVAL
"""Longest time from the end of all faults to a voter set of present disks. A VM
that the last fault has silenced is noticed after the latter two."""

VOTER_COUNT = 2 * TOLERATED_LOSSES + 1

_REGIONS = tuple(RegionId(name) for name in ('norte', 'centro', 'sul'))
_SNAPSHOT_INTERVALS = (20, 60, 200)
_CLIENTS = ((1, 2), (1, 0.3), (3, 0.05), (8, 0.001))
"""Number of clients, and the pause of each between two proposals."""

_PROPOSAL_TIMEOUT = timedelta(seconds=2)
_RETRY_DELAY = timedelta(milliseconds=100)
_CHECK_INTERVAL = timedelta(milliseconds=100)
_STEP = timedelta(milliseconds=10)
_CALM_AFTER_SERIES_PERCENT = 40
_VICTIM_IS_VOTER_PERCENT = 80


@dataclass
class _Client:
    """Caller that proposes again and again."""

    pause: timedelta
    payload: bytes | None = None
    """Proposal whose outcome it awaits."""


class Day:
    """One random day: series of faults, and at the end lost disks."""

    def __init__(self, seed: int):
        """Create six VMs in three regions."""
        self._random = random.Random(seed)
        self._seed = seed
        self._steps: list[str] = []
        regions = list(_REGIONS) * 2
        self._random.shuffle(regions)
        self._cluster = TimedCluster(
            {
                VmId(f'v{number}'): region
                for number, region in enumerate(regions, 1)
            },
            self._random,
            self._random.choice(_SNAPSHOT_INTERVALS),
        )
        self._started_at = self._cluster.now
        self._faults = Faults(self._cluster, self._random, self._note)
        self._payloads = count(1)
        self._longest_quiet = timedelta(0)
        self._is_final = False

    def play(self) -> None:
        """Play the day; an AssertionError names the seed and the steps."""
        try:
            self._play()
        except (AssertionError, InvariantError) as problem:
            self._note('failed')
            lines = (
                f'seed {self._seed}: {problem}',
                *self._steps,
                self._cluster.describe(),
            )
            raise AssertionError('\n'.join(lines)) from problem

    def _play(self) -> None:
        cluster = self._cluster
        cluster.form(cluster.vms[:VOTER_COUNT])
        for vm in cluster.vms:
            cluster.start(vm)
        self._run(seconds(3))
        self._start_clients()
        cluster.at(cluster.now, self._check_often)
        self._run(seconds(1))
        series_count = self._random.randint(1, 3)
        while series_count:
            series_count -= 1
            self._play_series()
        self._await_final_moment()
        self._play_final_fault()

    def _note(self, step: str) -> None:
        elapsed = self._cluster.now - self._started_at
        self._steps.append(f'{elapsed.total_seconds():.3f} {step}')

    def _run(self, duration: timedelta) -> None:
        self._cluster.run_until(self._cluster.now + duration)

    def _start_clients(self) -> None:
        client_count, pause = self._random.choice(_CLIENTS)
        self._note(f'{client_count} clients, each with pauses of {pause} s')
        self._longest_quiet = _PROPOSAL_TIMEOUT + seconds(pause)
        while client_count:
            client_count -= 1
            self._propose(_Client(seconds(pause)))

    def _propose(self, client: _Client) -> None:
        if self._is_final:
            return
        payload = b'%d' % next(self._payloads)
        client.payload = payload
        go_on = partial(self._propose_after, client, payload)
        if self._cluster.propose(payload, partial(go_on, client.pause)):
            time_out = partial(go_on, timedelta(0))
            self._cluster.at(self._cluster.now + _PROPOSAL_TIMEOUT, time_out)
        else:
            go_on(_RETRY_DELAY)

    def _propose_after(
        self, client: _Client, payload: bytes, delay: timedelta
    ) -> None:
        if client.payload == payload:
            client.payload = None
            propose = partial(self._propose, client)
            self._cluster.at(self._cluster.now + delay, propose)

    def _play_series(self) -> None:
        end = self._cluster.now + seconds(self._random.uniform(2, 14))
        pauses_per_second = self._random.choice((0.5, 1, 2))
        while self._cluster.now < end:
            self._faults.begin_one()
            self._run(seconds(self._random.expovariate(pauses_per_second)))
        if self._random.randrange(100) < _CALM_AFTER_SERIES_PERCENT:
            calm = REPAIR_TIME + seconds(self._random.uniform(0.2, 3))
            while self._faults.calm_time < calm:
                self._run(_CHECK_INTERVAL)

    def _check_often(self) -> None:
        if self._is_final:
            return
        self._check_disks_suffice()
        if self._faults.calm_time > REPAIR_TIME:
            self._check_repaired()
        next_check = self._cluster.now + _CHECK_INTERVAL
        self._cluster.at(next_check, self._check_often)

    def _check_disks_suffice(self) -> None:
        """Check that each voter set in use may lose any disks it has to."""
        committed = [
            entry.body
            for _index, entry in sorted(self._cluster.committed.items())
            if isinstance(entry.body, Configuration)
        ]
        lost = self._faults.lost_disks()
        voter_sets = (committed[-1], self._newest_configuration())
        for voter_set in voter_sets:
            if voter_set is not None:
                kept = [
                    voter
                    for voter in voter_set.voters
                    if self._exists(voter) and voter.vm not in lost
                ]
                more = TOLERATED_LOSSES - len(lost)
                assert len(kept) - more >= voter_set.quorum, 'too few disks'

    def _check_repaired(self) -> None:
        configuration = self._newest_configuration()
        assert configuration is not None, 'no leader although all is calm'
        quiet = self._cluster.now - self._cluster.acknowledged_at
        assert quiet <= self._longest_quiet, 'no change although all is calm'
        present = [vote for vote in configuration.voters if self._exists(vote)]
        assert len(present) == len(configuration.voters), 'a lost disk votes'
        voters = {voter.vm for voter in configuration.voters}
        assert voters == set(configuration.members), 'voters are not members'
        assert len(present) == VOTER_COUNT, 'wrong number of voters'

    def _newest_configuration(self) -> Configuration | None:
        leaders = self._cluster.active_leaders()
        core = self._cluster.replicas[leaders[-1]].core if leaders else None
        return core.state.log.configuration if core else None

    def _exists(self, voter: Node) -> bool:
        replica = self._cluster.replicas.get(voter.vm)
        return replica is not None and replica.disk.node == voter

    def _await_final_moment(self) -> None:
        """Wait for a moment that may be worse than others, up to a limit."""
        moments: tuple[Callable[[], bool], ...] = (
            lambda: True,
            self._is_voter_change_pending,
            self._has_lost_voter,
        )
        is_moment = self._random.choice(moments)
        end = self._cluster.now + seconds(self._random.uniform(0.1, 6))
        while self._cluster.now < end and not is_moment():
            self._run(_STEP)

    def _is_voter_change_pending(self) -> bool:
        cores = [
            self._cluster.replicas[vm].core
            for vm in self._cluster.active_leaders()
        ]
        return any(
            core.leadership and not core.leadership.allows_voter_change
            for core in cores
            if core
        )

    def _has_lost_voter(self) -> bool:
        newest = self._newest_configuration()
        return newest is not None and not all(map(self._exists, newest.voters))

    def _play_final_fault(self) -> None:
        self._is_final = True
        cluster = self._cluster
        victims = self._choose_final_victims()
        lost = sorted(self._faults.lost_disks())
        self._steps.append(cluster.describe())
        self._note(f'all without power, {victims} lose disks, lost are {lost}')
        for vm in cluster.vms:
            cluster.stop(vm)
        for victim in victims:
            cluster.lose_disk(victim)
        self._faults.end_all()
        longest_pause = seconds(self._random.choice((0.2, 3)))
        for starting in cluster.vms:
            pause = longest_pause * self._random.random()
            start = partial(cluster.start, starting)
            cluster.at(cluster.now + pause, start)
        self._run(longest_pause)
        self._check_recovery(frozenset(cluster.acknowledged))

    def _choose_final_victims(self) -> Collection[VmId]:
        newest = self._newest_configuration()
        candidates = list(self._cluster.vms)
        if newest and self._random.randrange(100) < _VICTIM_IS_VOTER_PERCENT:
            candidates = [
                voter.vm for voter in newest.voters if self._exists(voter)
            ]
        self._random.shuffle(candidates)
        return self._faults.choose_lost_disks(candidates)

    def _check_recovery(self, acknowledged: Collection[bytes]) -> None:
        cluster = self._cluster
        end = cluster.now + RECOVERY
        accepted: list[VmId | None] = []
        payload = b''
        while not accepted and cluster.now < end:
            payload = b'%d' % next(self._payloads)
            cluster.propose(payload, partial(accepted.append, None))
            self._run(_RETRY_DELAY)
        assert accepted, 'no change accepted after the final fault'
        # The cluster checks that all replicas apply the same, in one order.
        replicas = cluster.replicas.values()
        applied = max((replica.applied for replica in replicas), key=len)
        lost = set(acknowledged).difference(applied)
        assert not lost, f'acknowledged, but lost: {lost}'


def play_days(
    seeds: Sequence[int], report: Callable[[str], object]
) -> Sequence[int]:
    """Play a day for each seed; report failures and return their seeds."""
    failed = []
    for seed in seeds:
        try:
            Day(seed).play()
        except AssertionError as failure:
            failed.append(seed)
            report(str(failure))
    return failed


def main() -> int:
    """Play the days of a range of seeds; return the exit code."""
    parser = argparse.ArgumentParser(description=main.__doc__)
    parser.add_argument('--seeds', default='1..100', metavar='FIRST..LAST')
    first, last = map(int, parser.parse_args().seeds.split('..'))
    seeds = range(first, last + 1)
    failed = play_days(seeds, partial(print, flush=True))
    passed_count = len(seeds) - len(failed)
    sys.stdout.write(f'{passed_count} passed, {len(failed)} failed\n')
    return 1 if failed else 0


if __name__ == '__main__':
    sys.exit(main())
