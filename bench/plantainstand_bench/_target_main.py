"""``plantainstand-target``: the stand-in for targets."""

import argparse
import sys
from collections.abc import Sequence
from contextlib import ExitStack
from pathlib import Path

from plantainstand_core import (
    ServiceId,
    SettingsProblem,
    SystemClock,
    TargetId,
    load_settings,
)
from result import Err, Ok, Result

from plantainstand_bench._connections import ConnectionRegistry
from plantainstand_bench._http_server import (
    ServedApplication,
    serve_until_signal,
)
from plantainstand_bench._journal import JournalWriter
from plantainstand_bench._target_application import TargetApplication
from plantainstand_bench._target_settings import (
    ColdStart,
    ServiceTime,
    TargetHostSettings,
    TargetSettings,
)
from plantainstand_bench._target_work import TargetWork

# Threads beyond the accepted work, for reports, cancels and refusals.
_SPARE_THREADS = 6


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the targets of a settings file or of the arguments."""
    options = _parser().parse_args(arguments)
    loaded = _read_settings(options)
    if isinstance(loaded, Err):
        sys.stderr.write(f'{loaded.err_value}\n')
        return 2
    _serve(loaded.ok_value)
    return 0


def _serve(settings: TargetHostSettings) -> None:
    folder = Path(settings.journal_folder)
    folder.mkdir(parents=True, exist_ok=True)
    with ExitStack() as resources:
        serve_until_signal(
            [
                _make_target(target, folder, resources)
                for target in settings.targets
            ],
        )


def _make_target(
    settings: TargetSettings,
    folder: Path,
    resources: ExitStack,
) -> ServedApplication:
    path = folder / f'{settings.id}.jsonl'
    stream = resources.enter_context(path.open('a', encoding='utf-8'))
    clock = SystemClock()
    work = TargetWork(settings, clock, JournalWriter(stream))
    registry = ConnectionRegistry(settings.connections)
    return ServedApplication(
        name=settings.id,
        host=settings.host,
        port=settings.port,
        threads=settings.effective_shed_limit + _SPARE_THREADS,
        application=TargetApplication(settings, clock, work, registry),
        registry=registry,
    )


def _read_settings(
    options: argparse.Namespace,
) -> Result[TargetHostSettings, SettingsProblem]:
    if options.settings is not None:
        return load_settings(options.settings, TargetHostSettings)
    return Ok(
        TargetHostSettings(
            journal_folder=options.journal_folder,
            targets=(_target_of(options),),
        ),
    )


def _target_of(options: argparse.Namespace) -> TargetSettings:
    return TargetSettings(
        id=TargetId(options.id),
        service=ServiceId(options.service),
        host=options.host,
        port=options.port,
        slots=options.slots,
        shed_limit=options.shed_limit,
        connections=options.connections,
        service_time=ServiceTime(median_ms=options.median_ms),
        cold_start=ColdStart(requests=options.cold_requests),
        seed=options.seed,
    )


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog='plantainstand-target',
        description='Stand-in for targets; prints its ports when it listens.',
    )
    add = parser.add_argument
    add('--settings', type=Path, help='settings file for several targets')
    add('--journal-folder', default='.', help='folder of the journal')
    add('--id', default='target', help='name of the target')
    add('--service', default='work', help='service of the target')
    add('--host', default='127.0.0.1')
    add('--port', type=int, default=0, help='0: chosen by the system')
    add('--slots', type=int, default=4)
    add('--shed-limit', type=int, default=0, help='0: twice the slots')
    add('--connections', type=int, default=330)
    add('--median-ms', type=float, default=20, help='service time')
    add('--cold-requests', type=int, default=0)
    add('--seed', type=int, default=1)
    return parser
