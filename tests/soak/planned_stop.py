"""Stops entry VMs under load and checks that accepted requests are answered.

By hand, for many seeds: ``python -m tests.soak.planned_stop --seeds 1..50``.
It starts the programs of ``deploy/system.toml`` on loopback addresses.
"""

import argparse
import asyncio
import itertools
import random
import signal
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Sequence
from contextlib import suppress
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from types import MappingProxyType
from typing import Any

from review import harness
from tests.soak._clients import KINDS, Client, Sent, content, query_of
from tests.soak._programs import installed_packages

GRACE_SECONDS = 6.0
"""Time from SIGTERM to SIGKILL."""

SLACK_SECONDS = 0.1
"""Time before a deadline from which the request counts as timed out."""

ROUTE_SECONDS = MappingProxyType({'quick': 3.0, 'long': 10.0})
CLIENTS_PER_KIND = 5
CHANGE_SECONDS = 1.5
ROLL_SECONDS = 5.0
"""Time between the stops of two entry VMs."""

LATE_BODY = 'body not whole at the deadline'
BEHIND_LATE_BODY = 'behind a body that was not whole at its deadline'
"""Cause of a pipelined request whose connection an earlier one ended."""

BODY_PART_BYTES = 64 * 1024


@dataclass
class Run:
    """One run of a request at a target."""

    target: str
    began_at: float
    ended_at: float = 0
    """Monotonic time at which the whole response was written; 0: never."""

    outcome: str = 'broken off'


@dataclass
class Stop:
    """One planned stop of an entry VM."""

    entry: str
    term_at: float
    gone_at: float = 0
    exit_code: int | None = None
    killed: bool = False


@dataclass
class Day:
    """What was played with one seed."""

    seed: int
    sent: list[Sent] = field(default_factory=list)
    runs: dict[str, list[Run]] = field(default_factory=dict)
    stops: list[Stop] = field(default_factory=list)
    logs: dict[str, str] = field(default_factory=dict)


class Target(harness.Backend):  # type: ignore[misc]
    """Works for as long, and responds with as much, as the request says."""

    runs: dict[str, list[Run]]

    async def _answer(
        self,
        writer: asyncio.StreamWriter,
        first: str,
        headers: dict[str, str],
        body: bytes,
    ) -> None:
        path = first.split(' ')[1]
        request = headers.get('x-request-id', '')
        is_other = headers.get('x-expect-instance', self.ident) != self.ident
        if path == '/health' or is_other:
            await super()._answer(writer, first, headers, body)
            return
        run = Run(self.ident, time.monotonic())
        self.runs.setdefault(request, []).append(run)
        options = query_of(path)
        given = float(headers.get('x-deadline-ms', '30000')) / 1000
        if float(options['work']) > given:
            await asyncio.sleep(given)
            run.outcome = 'deadline'
            run.ended_at = time.monotonic()
            extra = {'X-Request-Id': request, 'X-Server-Stamp': '1'}
            self.send(writer, '504 Gateway Timeout', extra, b'')
            return
        await asyncio.sleep(float(options['work']))
        await _respond(writer, request, options)
        run.ended_at = time.monotonic()
        run.outcome = 'whole'
        if options['framing'] == 'close':
            writer.close()
            raise ConnectionResetError


async def _respond(
    writer: asyncio.StreamWriter, request: str, options: Any
) -> None:
    size = int(options['size'])
    lines = [
        'HTTP/1.1 200 OK',
        f'X-Request-Id: {request}',
        'X-Server-Stamp: 1',
        f'X-Body-Bytes: {size}',
    ]
    framing = options['framing']
    chunked = framing == 'chunked'
    if chunked:
        lines.append('Transfer-Encoding: chunked')
    elif framing == 'length':
        lines.append(f'Content-Length: {size}')
    else:
        lines.append('Connection: close')
    writer.write('\r\n'.join((*lines, '', '')).encode())
    body = content(size)
    for start in range(0, size, BODY_PART_BYTES):
        part = body[start : start + BODY_PART_BYTES]
        writer.write(b'%x\r\n%s\r\n' % (len(part), part) if chunked else part)
        await writer.drain()
    if chunked:
        writer.write(b'0\r\n\r\n')
    await writer.drain()


async def play(seed: int, rounds: int) -> Day:
    """Play ``rounds`` rolling stops of all entry VMs."""
    day = Day(seed)
    dice = random.Random(seed)
    with tempfile.TemporaryDirectory(prefix='soak-') as folder:
        record = harness.Record(Path(folder) / 'record.txt')
        deployment = harness.Deployment(record, controls=3, entries=3)
        try:
            await _play(day, deployment, dice, rounds)
            for entry in deployment.entries:
                day.logs[entry.front] = entry.log_text()
        finally:
            deployment.close()
            record.close()
    return day


async def _play(
    day: Day, deployment: Any, dice: random.Random, rounds: int
) -> None:
    zones = list(harness.ZONES)
    for number in range(6):
        target = deployment.add_backend(
            f'i-{number}', 'work', zones[number], kind=Target
        )
        target.runs = day.runs
        target.slots = 64
    await deployment.start(_desired_state())
    await asyncio.sleep(1)
    fronts = [entry.front for entry in deployment.entries]
    pick_entry = partial(dice.choice, fronts)
    clients = [
        Client(
            f's{day.seed}-{kind.name.replace(" ", "-")}-{number}',
            kind,
            random.Random(dice.random()),
            pick_entry,
            day.sent,
        )
        for kind in KINDS
        for number in range(CLIENTS_PER_KIND)
    ]
    tasks = [asyncio.create_task(client.run()) for client in clients]
    await asyncio.sleep(dice.uniform(0.5, 3))
    stops = []
    changes = asyncio.create_task(_change_forever(deployment))
    for _ in range(rounds):
        for entry in deployment.entries:
            stops.append(asyncio.create_task(_stop(day, entry)))
            if dice.choice((True, False)):
                stops.append(asyncio.create_task(_disturb(entry, dice)))
            await asyncio.sleep(ROLL_SECONDS + dice.uniform(-0.5, 0.5))
        await asyncio.gather(*stops)
    await asyncio.sleep(0.5)
    tasks.append(changes)
    for task in tasks:
        task.cancel()
    await asyncio.wait(tasks)
    # The processes write their log lines five times a second.
    await asyncio.sleep(0.5)


async def _stop(day: Day, entry: Any) -> None:
    stop = Stop(entry.front, time.monotonic())
    day.stops.append(stop)
    entry.signal(signal.SIGTERM)
    while entry.process.poll() is None:
        if time.monotonic() > stop.term_at + GRACE_SECONDS:
            stop.killed = True
            entry.signal(signal.SIGKILL)
        await asyncio.sleep(0.02)
    stop.gone_at = time.monotonic()
    stop.exit_code = entry.process.returncode
    await asyncio.sleep(0.3)
    entry.start()


async def _disturb(entry: Any, dice: random.Random) -> None:
    """Send a further signal to a process that is stopping."""
    await asyncio.sleep(dice.uniform(0, GRACE_SECONDS / 2))
    entry.signal(dice.choice((signal.SIGTERM, signal.SIGHUP)))


async def _change_forever(deployment: Any) -> None:
    """Send every route again with a higher version, again and again."""
    for version in itertools.count(2):
        await asyncio.sleep(CHANGE_SECONDS)
        await deployment.order(
            '/config/patch', _desired_state(f'r{version}'), GRACE_SECONDS
        )


def _desired_state(version: str = 'r1') -> dict[str, object]:
    routes = {}
    for name, seconds in ROUTE_SECONDS.items():
        for prefix, kind in ((name, 'safe'), (f'once-{name}', 'unsafe')):
            routes[prefix] = harness.route(
                'soak.example',
                f'/{prefix}/',
                'work',
                version,
                routeType=kind,
                timeoutS=seconds,
                sticky=False,
            )
    return {
        'upsert': {
            'routes': routes,
            'services': {
                'work': harness.service('r1', coldPerS=0, coldStartS=0),
            },
            'limits': harness.LIMITS,
        },
        'remove': {'routes': []},
    }


def judge(day: Day) -> list[tuple[str, Sent]]:
    """Return the requests that lack a whole answer, with the cause's name."""
    broken = []
    for sent in day.sent:
        runs = day.runs.get(sent.request, [])
        fault = _fault(sent, runs)
        if fault and not _is_excused(day, sent, runs):
            broken.append((fault, sent))
    return broken


def _fault(sent: Sent, runs: Sequence[Run]) -> str:
    """Name what is wrong with a request's end; empty if nothing is."""
    if not runs or not sent.ended_at:
        return ''
    once = '/once-' in sent.path
    if once and len(runs) > 1:
        return 'ran twice'
    if sent.is_whole and sent.from_target:
        return ''
    if sent.status == 503 and once:
        return '"not run" is untrue'
    if sent.is_whole:
        return f'own answer {sent.status}'
    return 'no whole answer'


def _is_excused(day: Day, sent: Sent, runs: Sequence[Run]) -> bool:
    seconds = ROUTE_SECONDS[sent.path.split('/')[1].removeprefix('once-')]
    allowed = min(sent.deadline_seconds, seconds) - SLACK_SECONDS
    if sent.ended_at - sent.begun_at >= allowed:
        return True
    return any(
        stop.entry == sent.entry and _is_late(stop, sent, runs)
        for stop in day.stops
    )


def _is_late(stop: Stop, sent: Sent, runs: Sequence[Run]) -> bool:
    """Whether a target was still at work near the end of the grace."""
    late_from = stop.term_at + GRACE_SECONDS * 5 / 6
    late_until = stop.term_at + GRACE_SECONDS
    if sent.sent_at > stop.term_at + 3 or sent.ended_at < late_from:
        return False
    return any(
        run.began_at < late_until and not 0 < run.ended_at < late_from
        for run in runs
    )


@dataclass
class Findings:
    """Requests without a whole answer, by cause."""

    requests: int = 0
    around_stops: Counter[str] = field(default_factory=Counter)
    """Those that ended between SIGTERM and a second after the grace."""

    at_other_times: Counter[str] = field(default_factory=Counter)

    def add(self, other: 'Findings') -> None:
        """Add what was found in another run."""
        self.requests += other.requests
        self.around_stops += other.around_stops
        self.at_other_times += other.at_other_times


def report(day: Day) -> Findings:
    """Print what was broken, and return it."""
    findings = Findings(len(day.sent))
    for fault, sent in judge(day):
        lines = _lines_of(day, sent)
        cause = _cause(day, sent) or fault
        is_around = any(
            stop.entry == sent.entry
            and 0 <= sent.ended_at - stop.term_at <= GRACE_SECONDS + 1
            for stop in day.stops
        )
        found = findings.at_other_times
        if is_around:
            found = findings.around_stops
        found[cause] += 1
        _print_case(day, cause, sent, lines)
    _print_summary(day, findings)
    return findings


def _cause(day: Day, sent: Sent) -> str:
    """Name the cause that the log tells; empty if it tells none."""
    if _has_late_body(day, sent):
        return LATE_BODY
    if sent.before is not None and _has_late_body(day, sent.before):
        return BEHIND_LATE_BODY
    return ''


def _has_late_body(day: Day, sent: Sent) -> bool:
    return any(LATE_BODY in line for line in _lines_of(day, sent))


def _print_summary(day: Day, findings: Findings) -> None:
    ended = Counter(
        str(sent.status) if sent.status else sent.detail
        for sent in day.sent
        if sent.ended_at
    )
    cuts = [
        line
        for log in day.logs.values()
        for line in log.splitlines()
        if '"client connection cut"' in line and 'process ends' in line
    ]
    for line in cuts:
        _say(f'seed {day.seed}: {line}')
    spans = [
        f'{stop.gone_at - stop.term_at:.2f}{"!" if stop.killed else ""}'
        for stop in day.stops
    ]
    _say(
        f'seed {day.seed}: {len(day.sent)} requests {dict(ended)},'
        f' stops took {spans} s, exit codes'
        f' {[stop.exit_code for stop in day.stops]},'
        f' connections cut at the exit: {len(cuts)},'
        f' broken around stops {dict(findings.around_stops)},'
        f' at other times {dict(findings.at_other_times)}'
    )


def _lines_of(day: Day, sent: Sent) -> list[str]:
    log = day.logs.get(sent.entry, '')
    return [line for line in log.splitlines() if f'"{sent.request}"' in line]


def _print_case(day: Day, cause: str, sent: Sent, lines: list[str]) -> None:
    _say(f'seed {day.seed}: {cause}: {sent}')
    for stop in day.stops:
        if stop.entry == sent.entry and stop.gone_at > sent.sent_at:
            _say(
                f'  SIGTERM {stop.term_at - sent.sent_at:+.3f} s, gone'
                f' {stop.gone_at - sent.sent_at:+.3f} s,'
                f' end {sent.ended_at - sent.sent_at:+.3f} s from its sending'
            )
    for run in day.runs.get(sent.request, []):
        _say(
            f'  {run.target} began {run.began_at - sent.sent_at:+.3f} s,'
            f' ended {run.ended_at - sent.sent_at:+.3f} s: {run.outcome}'
        )
    for line in lines:
        _say(f'  {line}')
    if sent.before is not None:
        _say('after, on the same connection:')
        _print_case(day, 'before', sent.before, _lines_of(day, sent.before))


def _say(text: str) -> None:
    sys.stdout.write(f'{text}\n')
    sys.stdout.flush()


def main(arguments: Sequence[str]) -> int:
    """Play the seeds; return 1 if a request was broken."""
    parser = argparse.ArgumentParser(prog='planned_stop')
    parser.add_argument('--seeds', default='1..50', help='first..last')
    parser.add_argument('--rounds', type=int, default=1)
    options = parser.parse_args(arguments)
    first, _dots, last = options.seeds.partition('..')
    total = Findings()
    broken_runs = 0
    seeds = range(int(first), int(last or first) + 1)
    for seed in seeds:
        found = report(asyncio.run(play(seed, options.rounds)))
        total.add(found)
        broken_runs += bool(found.around_stops)
    _say(
        f'{len(seeds)} runs, {broken_runs} broken around stops;'
        f' {total.requests} requests, broken around stops by cause:'
        f' {dict(total.around_stops)}, at other times:'
        f' {dict(total.at_other_times)}'
    )
    return int(broken_runs > 0)


if __name__ == '__main__':
    with suppress(KeyboardInterrupt), installed_packages():
        sys.exit(main(sys.argv[1:]))
