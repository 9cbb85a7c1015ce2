"""``plantainstand-load``: the load and experiment tool."""

import argparse
import asyncio
import shlex
import shutil
import sys
from collections.abc import Mapping, Sequence
from pathlib import Path

import msgspec
from plantainstand_core import AvailabilityZoneId, SettingsProblem
from result import Err, Ok, Result

from plantainstand_bench._arrivals import occupancy_rates, planned_rates
from plantainstand_bench._deployment import load_deployment
from plantainstand_bench._direct import POLICIES
from plantainstand_bench._faults import FaultList, load_faults
from plantainstand_bench._journal import read_journals
from plantainstand_bench._load_run import RunPlan, run
from plantainstand_bench._records import RunLog, read_run_log, write_run_log
from plantainstand_bench._report import (
    Report,
    make_report,
    render_table,
    write_plot,
    write_report,
)
from plantainstand_bench._run_files import RunFolder
from plantainstand_bench._system import Commands, StartProblem
from plantainstand_bench._system_map import load_system_map

_EXIT_BROKEN_PROMISE = 1
_EXIT_CANNOT_RUN = 2


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the load; return 1 for a broken promise, 2 if it cannot run."""
    options = parse_arguments(arguments)
    done = check_run(options) if options.check else run_load(options)
    if isinstance(done, Err):
        sys.stderr.write(f'{done.err_value}\n')
        return _EXIT_CANNOT_RUN
    report = done.ok_value
    print(render_table(report))
    # Baselines promise nothing; their counts are there to be compared.
    is_kept = options.direct is not None or report.broken_promises.is_kept
    return 0 if is_kept else _EXIT_BROKEN_PROMISE


def parse_arguments(arguments: Sequence[str] | None) -> argparse.Namespace:
    """Parse the options of the command line."""
    return _parser().parse_args(arguments)


def run_load(options: argparse.Namespace) -> Result[Report, object]:
    """Run the load and write its reports."""
    planned = make_plan(options)
    if isinstance(planned, Err):
        return planned
    out: Path = options.out
    # A journal of an earlier run would be counted again.
    shutil.rmtree(out / 'journals', ignore_errors=True)
    shutil.rmtree(out / 'data', ignore_errors=True)
    folder = RunFolder(out)
    try:
        finished = asyncio.run(run(planned.ok_value, folder))
    except asyncio.CancelledError:
        # Leaves the benchmarks too, which would begin their next run.
        sys.stderr.write('stopped by SIGTERM\n')
        sys.exit(_EXIT_CANNOT_RUN)
    if isinstance(finished, Err):
        return finished
    return Ok(_write_reports(options, finished.ok_value, folder))


def check_run(options: argparse.Namespace) -> Result[Report, object]:
    """Count again what an earlier run has written to ``--out``."""
    folder = RunFolder(options.out)
    try:
        log = read_run_log(folder.root)
        events = read_journals(folder.journals)
    except (OSError, msgspec.MsgspecError) as problem:
        return Err(f'{options.out}: {problem}')
    settings = _settings_of(options)
    return Ok(make_report('check of an earlier run', settings, log, events))


def make_plan(
    options: argparse.Namespace,
) -> Result[RunPlan, SettingsProblem | StartProblem]:
    """Read the files that the options name."""
    deployment = load_deployment(options.deployment)
    if isinstance(deployment, Err):
        return deployment
    system_map = load_system_map(Path(deployment.ok_value.catalogue))
    if isinstance(system_map, Err):
        return system_map
    faults = load_faults(options.faults) if options.faults else Ok(FaultList())
    if isinstance(faults, Err):
        return faults
    rates = planned_rates(deployment.ok_value, options.load_factor)
    if options.occupancy is not None:
        rates = occupancy_rates(
            deployment.ok_value,
            system_map.ok_value,
            options.occupancy,
            options.lost_zone,
        )
    return Ok(
        RunPlan(
            deployment=deployment.ok_value,
            system_map=system_map.ok_value,
            rates=rates,
            faults=faults.ok_value.faults,
            seed=options.seed,
            policy=options.direct,
            commands=Commands(
                daemon=shlex.split(options.daemon),
                control=shlex.split(options.control),
            ),
        ),
    )


def _write_reports(
    options: argparse.Namespace,
    log: RunLog,
    folder: RunFolder,
) -> Report:
    events = read_journals(folder.journals)
    settings = _settings_of(options)
    report = make_report(_title_of(options), settings, log, events)
    write_run_log(folder.root, log)
    write_report(report, folder.root)
    write_plot(report, log, folder.root / 'plot.png')
    return report


def _title_of(options: argparse.Namespace) -> str:
    policy = options.direct or 'plantainstand'
    return f'{options.deployment.stem}, {policy}, seed {options.seed}'


def _settings_of(options: argparse.Namespace) -> Mapping[str, object]:
    files = {
        name: path.name
        for name, path in (
            ('deployment', options.deployment),
            ('faults', options.faults),
        )
        if path is not None
    }
    return {
        **files,
        'seed': options.seed,
        'load_factor': options.load_factor,
        'occupancy': options.occupancy,
        'lost_zone': options.lost_zone,
        'direct': options.direct,
    }


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog='plantainstand-load',
        description='Runs a deployment under load and checks its promises.',
    )
    add = parser.add_argument
    files = parser.add_mutually_exclusive_group(required=True)
    files.add_argument('--deployment', type=Path, help='deployment file')
    files.add_argument(
        '--check',
        action='store_true',
        help='start nothing; count again what is in --out',
    )
    add('--out', type=Path, required=True, help='folder of the reports')
    add('--seed', type=int, default=1)
    add('--load-factor', type=float, default=1, help='times the file rates')
    add(
        '--occupancy',
        type=float,
        help='share of the slots to keep busy, in place of the file rates',
    )
    add(
        '--lost-zone',
        type=AvailabilityZoneId,
        help='zone whose slots --occupancy leaves out',
    )
    add('--faults', type=Path, help='fault file')
    add('--direct', choices=POLICIES, help='baseline without the system')
    add('--daemon', default='plantainstandd', help='command of the daemon')
    add('--control', default='plantainstandctl', help='command of the tool')
    return parser


if __name__ == '__main__':
    sys.exit(main())
