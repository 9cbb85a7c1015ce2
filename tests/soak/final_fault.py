"""Plays losses of control VMs that end with a final fault, as real processes.

At most as many VMs are lost at once as the settings tolerate. In the final
fault all control VMs are killed, and disks are lost up to the same number.
What was acknowledged has to be read back afterwards.

    python -m tests.soak.final_fault --seeds 1..50 --plan random
"""

import argparse
import asyncio
import sys
import time
from collections.abc import Awaitable, Callable, Mapping, Sequence
from contextlib import suppress
from dataclasses import dataclass
from enum import Enum
from pathlib import Path
from random import Random
from types import MappingProxyType

from review import harness
from tests.soak import changes
from tests.soak._programs import installed_packages
from tests.soak.fleet import CATCH_UP_SECONDS, TOLERATED_LOSSES, Fleet

CONTROL_VMS = 6
VOTERS = 2 * TOLERATED_LOSSES + 1
RECOVERY_SECONDS: float = harness.BOUNDS['recoveryS']
READ_BACK_SECONDS: float = harness.BOUNDS['stabilityWindowS']
PLAY_SECONDS = 180

_FORMING_SECONDS = 30
_ORDER_SECONDS = 20
_DOWN_SECONDS = 1
_MARGIN_SECONDS = 0.5
_READ_SECONDS = 1.5
_READ_PAUSE_SECONDS = 0.2
_SHORT_FREEZE_SECONDS = (1.5, 2)
"""Shorter than the time after which a voter is replaced."""

_LONG_LOSS_SECONDS = 4
"""Longer than the time after which a voter is replaced."""

_MAX_LEADER_FREEZES = 40
_LOST_LEADER_SHARE = 0.5
_DISRUPTED_LEADER_SHARE = 0.3
_MAX_DISRUPTIONS = 8
_MAX_WRITERS = 8


class Outcome(Enum):
    """Outcome of one play."""

    HELD = 'held'
    BROKEN = 'broken'
    NOT_RUN = 'not run'


@dataclass(frozen=True)
class Verdict:
    """Outcome of one play, and what was found."""

    outcome: Outcome
    detail: str


@dataclass(frozen=True)
class Play:
    """What a plan acts on."""

    fleet: Fleet
    ledger: changes.Ledger
    rng: Random


Plan = Callable[[Play], Awaitable[Sequence[str]]]
"""Plays the losses and the final fault; returns what was found broken."""

Disruption = Callable[[Fleet, harness.Machine], None]


async def replaced_voter(play: Play) -> Sequence[str]:
    """Lose a voter without power, as :func:`_replaced_and_back` goes on."""
    return await _replaced_and_back(play, Fleet.kill, Fleet.start)


async def frozen_voter(play: Play) -> Sequence[str]:
    """Lose a frozen voter, as :func:`_replaced_and_back` goes on.

    What was sent to it meanwhile waits in its sockets, unlike after a kill.
    """
    return await _replaced_and_back(play, Fleet.freeze, Fleet.thaw)


async def _replaced_and_back(
    play: Play, lose: Disruption, bring_back: Disruption
) -> Sequence[str]:
    """Lose a voter until it is replaced, and let its successor lead.

    Then another voter loses its disk, and after it is back, the final fault
    takes the disks of the leader and of one more voter.
    """
    fleet = play.fleet
    lost, successor = await _replace_voter(play, lose)
    bring_back(fleet, lost)
    await _make_leader(play, successor)
    wiped = play.rng.choice(
        [
            fleet.machine(ip)
            for ip in fleet.voters()
            if ip not in {lost.ip, successor.ip}
        ]
    )
    await _wait_for_losses(fleet, 0)
    fleet.kill(wiped)
    fleet.wipe(wiped)
    await asyncio.sleep(CATCH_UP_SECONDS)
    fleet.start(wiped)
    await _wait_for_losses(fleet, 0)
    await asyncio.sleep(_MARGIN_SECONDS)
    broken = await _change(play, changes.random_change(play.ledger, play.rng))
    leader = await _leader(fleet)
    voters = fleet.voters()
    fleet.note(f'voters {voters}')
    remaining = [ip for ip in voters if ip not in {wiped.ip, leader.ip}]
    second = fleet.machine(play.rng.choice(remaining))
    return (*broken, *await _final_fault(play, (leader, second)))


async def replacements(play: Play) -> Sequence[str]:
    """Lose voters one after another for long enough to be replaced.

    Mostly the successor then becomes the leader. The final fault comes when
    all is repaired, and takes the disks of the leader and of another voter.
    """
    fleet = play.fleet
    broken: list[str] = []
    for _ in range(play.rng.randint(2, 3)):
        broken.extend(await _replace_once(play))
    await asyncio.sleep(_MARGIN_SECONDS)
    leader = await _leader(fleet)
    voters = fleet.voters()
    fleet.note(f'leader {leader.ip}, voters {voters}')
    second = play.rng.choice([ip for ip in voters if ip != leader.ip])
    wiped = [each for each in fleet.controls if each.ip == second]
    return (*broken, *await _final_fault(play, (leader, *wiped)))


async def _replace_once(play: Play) -> Sequence[str]:
    fleet = play.fleet
    before = sorted(fleet.voters())
    lost = fleet.machine(play.rng.choice(before))
    await play.rng.choice((_restart_late, _wipe_for_long))(play, lost)
    successors = set(fleet.voters()).difference(before)
    if successors and play.rng.randrange(3):
        await _make_leader(play, fleet.machine(successors.pop()))
    await _wait_for_losses(fleet, 0)
    await _leader(fleet)
    return await _change(play, changes.random_change(play.ledger, play.rng))


async def random_losses(play: Play) -> Sequence[str]:
    """Play losses that overlap, with changes all the while."""
    return await _random_losses(play, play.rng.randint(2, _MAX_DISRUPTIONS))


async def few_random_losses(play: Play) -> Sequence[str]:
    """Play two losses that overlap, with changes all the while."""
    return await _random_losses(play, 2)


PLANS: Mapping[str, Plan] = MappingProxyType(
    {
        'replaced-voter': replaced_voter,
        'frozen-voter': frozen_voter,
        'replacements': replacements,
        'random': random_losses,
        'few-random': few_random_losses,
    }
)


async def run_play(plan: str, seed: int, kept: Path | None = None) -> Verdict:
    """Run one play; if it does not hold, keep its logs below ``kept``."""
    record = _Record()
    deployment = harness.Deployment(record, controls=CONTROL_VMS, entries=1)
    try:
        verdict = await _verdict(plan, seed, deployment)
        record.note(f'{verdict.outcome.value}: {verdict.detail}')
        if verdict.outcome is not Outcome.HELD and kept is not None:
            _keep(kept / f'{plan}-{seed}', record, deployment)
    finally:
        deployment.close()
    return verdict


async def _verdict(
    plan: str, seed: int, deployment: harness.Deployment
) -> Verdict:
    play = Play(Fleet(deployment), changes.Ledger(), Random(f'{plan}-{seed}'))
    try:
        async with asyncio.timeout(PLAY_SECONDS):
            await _start(play)
            broken = await PLANS[plan](play)
    except (harness.CaseError, TimeoutError) as problem:
        return Verdict(Outcome.NOT_RUN, repr(problem))
    if broken:
        return Verdict(Outcome.BROKEN, '; '.join(broken[:3]))
    return Verdict(Outcome.HELD, '')


async def _start(play: Play) -> None:
    fleet = play.fleet
    first = play.ledger.send((*changes.small_names(), *changes.bulk_names()))
    fleet.deployment.add_backend('i-0', 'pedidos', 'bajio-a')
    await fleet.deployment.start(changes.first_document(first))
    play.ledger.acknowledge(first)
    await fleet.wait(
        lambda: len(fleet.voters()) == VOTERS,
        _FORMING_SECONDS,
        f'{VOTERS} voters',
    )
    await asyncio.sleep(READ_BACK_SECONDS)


async def _replace_voter(
    play: Play, lose: Disruption
) -> tuple[harness.Machine, harness.Machine]:
    """Return the lost VM and the voter in its place."""
    fleet = play.fleet
    voters = set(fleet.voters())
    successor = next(each for each in fleet.controls if each.ip not in voters)
    leader = await _leader(fleet)
    followers = sorted(voters - {leader.ip})
    lost = fleet.machine(play.rng.choice(followers))
    lose(fleet, lost)
    await fleet.wait(
        lambda: (
            successor.ip in fleet.voters() and lost.ip not in fleet.voters()
        ),
        CATCH_UP_SECONDS * 2,
        'replaced',
    )
    return lost, successor


async def _make_leader(play: Play, machine: harness.Machine) -> None:
    fleet = play.fleet
    for _ in range(_MAX_LEADER_FREEZES):
        leader = await _leader(fleet)
        if leader is machine:
            fleet.note(f'{machine.ip} leads')
            return
        await _wait_for_losses(fleet, TOLERATED_LOSSES - 1)
        if leader is not fleet.leader():
            continue
        fleet.freeze(leader)
        await asyncio.sleep(play.rng.uniform(*_SHORT_FREEZE_SECONDS))
        fleet.thaw(leader)
        await asyncio.sleep(_MARGIN_SECONDS)
    raise harness.CaseError(f'{machine.ip} does not lead')


async def _leader(fleet: Fleet) -> harness.Machine:
    await fleet.wait(
        lambda: fleet.leader() is not None, RECOVERY_SECONDS, 'led'
    )
    return fleet.leader()


async def _wait_for_losses(fleet: Fleet, count: int) -> None:
    """Wait until at most ``count`` control VMs count as lost."""
    await fleet.wait(
        lambda: len(fleet.lost) <= count,
        PLAY_SECONDS,
        f'at most {count} lost',
    )


async def _random_losses(play: Play, disruptions: int) -> Sequence[str]:
    broken: list[str] = []
    async with asyncio.TaskGroup() as tasks:
        running = [
            tasks.create_task(_write(play, f'{play.rng.random()}', broken))
            for _writer in range(play.rng.randint(1, _MAX_WRITERS))
        ]
        for _ in range(disruptions):
            await _wait_for_losses(play.fleet, TOLERATED_LOSSES - 1)
            running.append(tasks.create_task(_disrupt(play)))
            await asyncio.sleep(play.rng.uniform(0, 3))
        await play.rng.choice(_LAST_STEPS)(play)
        broken.extend(await _change_before_fault(play))
        wiped = _chosen_disks(play)
        for task in running:
            task.cancel()
        play.fleet.lose_all(wiped)
    return (*broken, *await _read_back(play))


async def _change_before_fault(play: Play) -> Sequence[str]:
    """Apply a change before the final fault, in two of three plays."""
    if not play.rng.randrange(3):
        return ()
    return await _change(play, changes.random_change(play.ledger, play.rng))


def _chosen_disks(play: Play) -> Sequence[harness.Machine]:
    """Return the VMs whose disks the final fault takes."""
    fleet = play.fleet
    count = TOLERATED_LOSSES - len(fleet.lost_disks)
    voters = set(fleet.voters())
    leader = fleet.leader()
    found = [each for each in fleet.controls if each.ip not in fleet.lost_disks]
    play.rng.shuffle(found)
    found.sort(key=lambda each: each.ip not in voters)
    if leader in found and play.rng.random() < _LOST_LEADER_SHARE:
        found.remove(leader)
        found.insert(0, leader)
    fleet.note(f'leader {leader and leader.ip}, voters {sorted(voters)}')
    fleet.note(f'lost {sorted(fleet.lost)}, disks {sorted(fleet.lost_disks)}')
    return found[: max(0, count)]


async def _write(play: Play, seed: str, broken: list[str]) -> None:
    rng = Random(seed)
    while True:
        change = changes.random_change(play.ledger, rng)
        with suppress(harness.CaseError):
            # Without a clear answer the change may or may not be in force.
            broken.extend(await _change(play, change))
        await asyncio.sleep(rng.uniform(0, 0.5))


async def _change(play: Play, change: changes.Sent) -> Sequence[str]:
    """Send a change until it is acknowledged; return why it was refused."""
    answer = await play.fleet.deployment.order(
        '/config/patch', change.document(), _ORDER_SECONDS
    )
    if answer.status != 200:
        return (f'change {change.version} refused: {answer.status}',)
    play.ledger.acknowledge(change)
    return ()


async def _disrupt(play: Play) -> None:
    machine = _target(play)
    disruption = play.rng.choice(_DISRUPTIONS)
    await disruption(play, machine)


def _target(play: Play) -> harness.Machine:
    """Return a VM that is not lost; the leader more often than others."""
    fleet = play.fleet
    leader = fleet.leader()
    found = [each for each in fleet.controls if each.ip not in fleet.lost]
    if leader in found and play.rng.random() < _DISRUPTED_LEADER_SHARE:
        return leader
    return play.rng.choice(found)


async def _freeze(play: Play, machine: harness.Machine) -> None:
    play.fleet.freeze(machine)
    await asyncio.sleep(play.rng.uniform(0.5, 6))
    play.fleet.thaw(machine)


async def _restart(play: Play, machine: harness.Machine) -> None:
    play.fleet.kill(machine)
    await asyncio.sleep(play.rng.choice((0.1, play.rng.uniform(0.1, 5))))
    play.fleet.start(machine)


async def _restart_late(play: Play, machine: harness.Machine) -> None:
    play.fleet.kill(machine)
    await asyncio.sleep(_LONG_LOSS_SECONDS)
    play.fleet.start(machine)


async def _wipe_for_long(play: Play, machine: harness.Machine) -> None:
    play.fleet.kill(machine)
    play.fleet.wipe(machine)
    await asyncio.sleep(_LONG_LOSS_SECONDS)
    play.fleet.start(machine)


async def _restart_slowly(play: Play, machine: harness.Machine) -> None:
    play.fleet.kill(machine)
    play.fleet.start(machine)
    await asyncio.sleep(play.rng.uniform(0, 0.6))
    await _freeze(play, machine)


async def _wipe(play: Play, machine: harness.Machine) -> None:
    play.fleet.kill(machine)
    play.fleet.wipe(machine)
    await asyncio.sleep(play.rng.uniform(0.1, 5))
    play.fleet.start(machine)


async def _remove(play: Play, machine: harness.Machine) -> None:
    successor = play.fleet.remove(machine)
    await asyncio.sleep(play.rng.uniform(0.1, 4))
    play.fleet.start(successor)


_DISRUPTIONS = (_freeze, _freeze, _restart, _restart_slowly, _wipe, _remove)


async def _wait_until_calm(play: Play) -> None:
    await _wait_for_losses(play.fleet, 0)
    await asyncio.sleep(_MARGIN_SECONDS)


async def _wait_any_time(play: Play) -> None:
    await asyncio.sleep(play.rng.uniform(0, CATCH_UP_SECONDS))


async def _catch_up_partly(play: Play) -> None:
    await _wait_for_losses(play.fleet, TOLERATED_LOSSES - 1)
    await _wipe(play, _target(play))
    await asyncio.sleep(play.rng.uniform(0.3, CATCH_UP_SECONDS))


async def _change_voters(play: Play) -> None:
    """Freeze a voter until the voters change, or are about to."""
    fleet = play.fleet
    await _wait_for_losses(fleet, TOLERATED_LOSSES - 1)
    voters = fleet.voters()
    fleet.freeze(_target(play))
    with suppress(harness.CaseError):
        await fleet.wait(
            lambda: fleet.voters() != voters,
            play.rng.uniform(2.5, 4),
            'voters changed',
        )


_LAST_STEPS = (
    _wait_until_calm,
    _wait_until_calm,
    _wait_any_time,
    _catch_up_partly,
    _change_voters,
)


async def _final_fault(
    play: Play, wiped: Sequence[harness.Machine]
) -> Sequence[str]:
    play.fleet.lose_all(wiped)
    return await _read_back(play)


async def _read_back(play: Play) -> Sequence[str]:
    """Start all VMs; return what is not read back as it has to be."""
    fleet = play.fleet
    await asyncio.sleep(_DOWN_SECONDS)
    apart = play.rng.choice((0, 0, 1))
    for machine in play.rng.sample(fleet.controls, len(fleet.controls)):
        await asyncio.sleep(apart * play.rng.uniform(0, 1))
        fleet.start(machine)
    started = time.monotonic()
    read_until = started + RECOVERY_SECONDS
    read_count = 0
    while time.monotonic() < read_until:
        with suppress(harness.CaseError):
            answer = await fleet.deployment.order(
                '/config/get', None, _READ_SECONDS
            )
            problems = _read_problems(play, answer)
            if problems:
                return problems
            read_count += 1
            if read_count == 1:
                fleet.note(f'read after {time.monotonic() - started:.1f} s')
                read_until = time.monotonic() + READ_BACK_SECONDS
        await asyncio.sleep(_READ_PAUSE_SECONDS)
    if read_count:
        return ()
    return (f'nothing is read back within {RECOVERY_SECONDS} s',)


def _read_problems(play: Play, answer: harness.Answer) -> Sequence[str]:
    if answer.status != 200:
        return (f'status {answer.status} while reading back',)
    return play.ledger.problems(changes.read_items(answer.body))


class _Record:
    """Lines of a play, with the seconds since its start."""

    def __init__(self) -> None:
        self.lines: list[str] = []
        self._began = time.monotonic()

    def note(self, text: str) -> None:
        """Add a line."""
        self.lines.append(f'{time.monotonic() - self._began:9.3f} {text}')


def _keep(
    folder: Path, record: _Record, deployment: harness.Deployment
) -> None:
    folder.mkdir(parents=True, exist_ok=True)
    text = '\n'.join(record.lines)
    (folder / 'record.txt').write_text(text, encoding='utf-8')
    for machine in deployment.machines:
        if machine.process is not None:
            (folder / f'{machine.ip}.log').write_text(
                machine.log_text(), encoding='utf-8'
            )


def _seeds(text: str) -> range:
    first, _dots, last = text.partition('..')
    return range(int(first), int(last or first) + 1)


def main() -> int:
    """Run the plays of the command line; return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seeds', type=_seeds, default=_seeds('1..50'))
    parser.add_argument('--plan', choices=sorted(PLANS), default='random')
    parser.add_argument('--kept', type=Path, default=Path('out/final-fault'))
    options = parser.parse_args()
    counts = dict.fromkeys(Outcome, 0)
    for seed in options.seeds:
        began = time.monotonic()
        verdict = asyncio.run(run_play(options.plan, seed, options.kept))
        counts[verdict.outcome] += 1
        took = time.monotonic() - began
        sys.stdout.write(
            f'{options.plan} seed {seed}: {verdict.outcome.value},'
            f' {took:.0f} s {verdict.detail}\n'
        )
        sys.stdout.flush()
    summary = ', '.join(f'{counts[each]} {each.value}' for each in Outcome)
    sys.stdout.write(f'{options.plan}: {summary}\n')
    return 0 if counts[Outcome.HELD] == len(options.seeds) else 1


if __name__ == '__main__':
    with installed_packages():
        sys.exit(main())
