"""Benchmarks: ``python -m plantainstand_bench [PART ...]``."""

import argparse
import importlib
import sys
from collections.abc import Callable, Mapping
from pathlib import Path
from types import ModuleType

import msgspec

_INDENT = 2

Figures = Mapping[str, float]


def main() -> int:
    """Run the named parts, all by default; print and write their figures."""
    parts = _parts()
    options = _parser(tuple(parts)).parse_args()
    folder: Path = options.out
    folder.mkdir(parents=True, exist_ok=True)
    broken: list[str] = []
    for name in options.parts or parts:
        figures = parts[name](options)
        _publish(name, figures, folder)
        if name == 'system':
            module = _load('_system_benchmark')
            broken.extend(module.broken_runs(figures))
    if broken:
        names = ', '.join(broken)
        sys.stderr.write(f'broken promises: {names}\n')
    return 1 if broken else 0


def _run_allotments(_options: argparse.Namespace) -> Figures:
    return _call('_allotment_benchmark', 'measure_allotments')


def _parts() -> Mapping[str, Callable[[argparse.Namespace], Figures]]:
    """Return the parts; a module is loaded only when its part is run."""

    def run_log(options: argparse.Namespace) -> Figures:
        folder = options.out / 'log-data'
        folder.mkdir(parents=True, exist_ok=True)
        return _call('_log_benchmark', 'measure_log', folder)

    def run_recovery(options: argparse.Namespace) -> Figures:
        folder = options.out / 'recovery-data'
        folder.mkdir(parents=True, exist_ok=True)
        return _call('_recovery_benchmark', 'measure_recovery', folder)

    def run_shares(options: argparse.Namespace) -> Figures:
        return _call('_share_benchmark', 'measure_shares')

    def run_policies(options: argparse.Namespace) -> Figures:
        module = '_policy_benchmark'
        return _call(module, 'measure_policies', options.seed)

    def run_membership(options: argparse.Namespace) -> Figures:
        return _call('_membership_benchmark', 'measure_membership')

    def run_capacity(options: argparse.Namespace) -> Figures:
        module = '_capacity_benchmark'
        return _call(module, 'measure_capacity', options.seed)

    def run_system(options: argparse.Namespace) -> Figures:
        module = '_system_benchmark'
        folder = options.out / 'system'
        return _call(module, 'measure_system', options.seed, folder)

    def run_steering(options: argparse.Namespace) -> Figures:
        module = '_steering_benchmark'
        folder = options.out / 'steering'
        return _call(module, 'measure_steering', options.seed, folder)

    return {
        'log': run_log,
        'recovery': run_recovery,
        'shares': run_shares,
        'allotments': _run_allotments,
        'policies': run_policies,
        'membership': run_membership,
        'capacity': run_capacity,
        'steering': run_steering,
        'system': run_system,
    }


def _call(module: str, function: str, *arguments: object) -> Figures:
    figures: Figures = getattr(_load(module), function)(*arguments)
    return figures


def _load(module: str) -> ModuleType:
    return importlib.import_module(f'plantainstand_bench.{module}')


def _publish(name: str, figures: Figures, folder: Path) -> None:
    print(name)
    width = max(map(len, figures), default=0)
    for label, figure in figures.items():
        print(f'  {label:{width}}  {figure:,.3f}')
    encoded = msgspec.json.encode(figures)
    formatted = msgspec.json.format(encoded, indent=_INDENT)
    (folder / f'{name}.json').write_bytes(formatted)


def _parser(parts: tuple[str, ...]) -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(prog='python -m plantainstand_bench')
    parser.add_argument('parts', nargs='*', help=f'of {", ".join(parts)}')
    parser.add_argument('--out', type=Path, default=Path('out/bench'))
    parser.add_argument('--seed', type=int, default=1)
    return parser


if __name__ == '__main__':
    sys.exit(main())
