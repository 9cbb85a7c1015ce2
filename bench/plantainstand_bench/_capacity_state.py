"""Cost of the control state: snapshots, changes and membership events."""

import subprocess
import sys
import tempfile
import time
from collections import defaultdict
from collections.abc import Callable, Mapping
from functools import partial
from pathlib import Path

import msgspec
from plantainstand_core import Incarnation, LogIndex
from plantainstand_shares import ReclaimVm

from plantainstand_bench._capacity_deployment import (
    PLANNED,
    TODAY,
    ControlModel,
    Size,
    target,
    vm_name,
)
from plantainstand_bench._capacity_statistics import describe

SIZES = (TODAY, Size(8, 16, 100, 170), Size(27, 64, 825, 1375), PLANNED)
_REPEATS = 3
_MICROSECONDS = 1_000_000
_MILLISECONDS = 1000
_CHANGES = 20
_TIMEOUT_S = 120
_PLANNED_BLOCKS = 150_000

Samples = dict[str, list[float]]


def measure_state() -> Mapping[str, float]:
    """Return figures by number of VMs; the sizes are in ``SIZES``."""
    figures: dict[str, float] = {}
    for size in SIZES:
        samples: Samples = defaultdict(list)
        _measure_size(size, samples)
        for name, found in samples.items():
            figures.update(describe(f'{name} at {size.vms} VMs', found))
    return figures


def _measure_size(size: Size, samples: Samples) -> None:
    model = ControlModel(size)
    shares = model.state.view().shares
    samples['shares, count'] = [
        sum(len(known.holders) for known in shares.resources.values()),
    ]
    samples['resources, count'] = [len(shares.resources)]
    snapshot = b''
    for _ in range(_REPEATS):
        began = time.process_time()
        snapshot = model.state.follower_snapshot()
        samples['build snapshot, s'].append(time.process_time() - began)
        samples['settled plan, s'].append(_processor_time(model.plan))
    samples['snapshot, bytes'] = [len(snapshot)]
    samples.update(_measure_process(snapshot, size))
    _measure_changes(model, samples)
    repeats = 1 if size == PLANNED else _REPEATS
    for repeat in range(repeats):
        _measure_membership(model, repeat, samples)


def _measure_process(snapshot: bytes, size: Size) -> Samples:
    blocks = _PLANNED_BLOCKS if size == PLANNED else 0
    with tempfile.NamedTemporaryFile() as file:
        Path(file.name).write_bytes(snapshot)
        module = 'plantainstand_bench._capacity_process'
        completed = subprocess.run(
            [sys.executable, '-m', module, file.name, str(blocks)],
            capture_output=True,
            check=True,
            timeout=_TIMEOUT_S,
        )
    return msgspec.json.decode(completed.stdout, type=Samples)


def _measure_changes(model: ControlModel, samples: Samples) -> None:
    """Change the host limits of targets, as an operator does."""
    for repeat in range(_REPEATS):
        sent = len(model.commands)
        spent = _processor_time(partial(_change_targets, model, repeat + 1))
        changes = model.commands[sent:]
        samples['apply change, us'].append(_MICROSECONDS * spent / _CHANGES)
        samples['change, bytes'].append(sum(map(len, changes)) / _CHANGES)
        samples['view after a change, ms'].append(
            _MILLISECONDS * _processor_time(model.state.view),
        )
        samples['commands after a change, count'].append(
            model.settle() / _CHANGES,
        )


def _change_targets(model: ControlModel, slots: int) -> None:
    for number in range(_CHANGES):
        model.put(target(number, model.size, slots))


def _measure_membership(
    model: ControlModel,
    repeat: int,
    samples: Samples,
) -> None:
    """Take the last VM's shares away, and give it shares again."""
    number = model.size.vms - 1
    incarnation = Incarnation(repeat + 1)
    decided_at = LogIndex(len(model.commands))
    lost = ReclaimVm(vm_name(number), incarnation, decided_at)
    events: Mapping[str, Callable[[], None]] = {
        'reclaim': partial(model.share_command, lost),
        'register': partial(model.register, number, incarnation + 1),
    }
    for name, event in events.items():
        sent = len(model.commands)
        event()
        samples[f'{name}, planner, ms'].append(
            _MILLISECONDS * _processor_time(model.plan),
        )
        samples[f'{name}, all steps, s'].append(_processor_time(model.settle))
        commands = model.commands[sent:]
        samples[f'{name}, commands'].append(len(commands))
        samples[f'{name}, bytes of commands'].append(sum(map(len, commands)))


def _processor_time(step: Callable[[], object]) -> float:
    began = time.process_time()
    step()
    return time.process_time() - began
