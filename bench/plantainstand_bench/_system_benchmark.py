"""Whole deployments under the faults of the goals, against the baselines."""

import sys
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path

from result import Err

from plantainstand_bench._direct import POLICIES
from plantainstand_bench._load_main import parse_arguments, run_load
from plantainstand_bench._report import Report, render_table

_DEPLOYMENTS = Path(__file__).parent.parent / 'deployments'
_OCCUPANCY = 0.9
_CRITICAL = 'critical'


@dataclass(frozen=True)
class _Experiment:
    deployment: str
    lost_zone: str


_EXPERIMENTS = (
    _Experiment('trefila', 'bajio-a'),
    _Experiment('edredao', 'norte-a'),
)


def measure_system(seed: int, out: Path) -> Mapping[str, float]:
    """Run every deployment with the system and with each baseline.

    All runs of a deployment have the same arrivals and the same faults. The
    reports of the runs are in folders below ``out``.
    """
    figures: dict[str, float] = {}
    for experiment in _EXPERIMENTS:
        runs = {
            policy: _run(experiment, policy, seed, out)
            for policy in ('plantainstand', *POLICIES)
        }
        reports = {
            policy: report
            for policy, report in runs.items()
            if report is not None
        }
        figures.update(_figures(experiment.deployment, reports))
    return figures


def _run(
    experiment: _Experiment,
    policy: str,
    seed: int,
    out: Path,
) -> Report | None:
    arguments = _arguments(experiment, seed)
    if policy != 'plantainstand':
        arguments.extend(['--direct', policy])
    folder = out / experiment.deployment / policy
    arguments.extend(['--out', str(folder)])
    done = run_load(parse_arguments(arguments))
    if isinstance(done, Err):
        sys.stderr.write(f'{experiment.deployment}: {done.err_value}\n')
        return None
    print(render_table(done.ok_value))
    return done.ok_value


def _arguments(experiment: _Experiment, seed: int) -> list[str]:
    deployment = _DEPLOYMENTS / f'{experiment.deployment}.jsonc'
    faults = _DEPLOYMENTS / f'{experiment.deployment}-zone-loss.jsonc'
    return [
        '--deployment',
        str(deployment),
        '--faults',
        str(faults),
        '--seed',
        str(seed),
        '--occupancy',
        str(_OCCUPANCY),
        '--lost-zone',
        experiment.lost_zone,
    ]


def _figures(
    deployment: str,
    reports: Mapping[str, Report],
) -> Mapping[str, float]:
    figures: dict[str, float] = {}
    for policy, report in reports.items():
        for name, figure in _run_figures(report).items():
            figures[f'{deployment}/{policy}/{name}'] = figure
    ratio = _ratio_to_best_baseline(reports)
    if ratio is not None:
        figures[f'{deployment}/p99_to_best_baseline_ratio'] = ratio
    return figures


def _ratio_to_best_baseline(reports: Mapping[str, Report]) -> float | None:
    measured = {policy: _p99(report) for policy, report in reports.items()}
    own = measured.pop('plantainstand', None)
    return own / min(measured.values()) if own and measured else None


def _run_figures(report: Report) -> Mapping[str, float]:
    outcomes = report.outcomes
    headroom = report.measures.headroom
    critical = report.measures.latency[_CRITICAL]
    return {
        'critical_p50_ms': critical.percentiles_ms['p50'],
        'critical_p99_ms': critical.percentiles_ms['p99'],
        'critical_p99_with_failures_ms': critical.p99_with_failures_ms,
        'answered_ratio': outcomes.answered_whole / max(outcomes.requests, 1),
        'slots_in_use_before_shed_ratio': headroom.highest_share,
        **_broken(report),
    }


def _broken(report: Report) -> Mapping[str, float]:
    broken = report.broken_promises
    return {
        'executed_twice': broken.executed_twice,
        'executed_after_not_run': broken.executed_after_not_run,
        'foreign_answers': broken.foreign_answers,
        'above_slots': broken.above_slots,
    }


def _p99(report: Report) -> float:
    # With failures, because a run may refuse what would have been slow.
    return report.measures.latency[_CRITICAL].p99_with_failures_ms


def broken_runs(figures: Mapping[str, float]) -> Sequence[str]:
    """Return the figures by which the system itself broke a promise."""
    promises = (
        'executed_twice',
        'executed_after_not_run',
        'foreign_answers',
        'above_slots',
    )
    return [
        name
        for name, figure in figures.items()
        if figure
        and '/plantainstand/' in name
        and name.rpartition('/')[2] in promises
    ]
