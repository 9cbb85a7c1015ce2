"""Settings files that the load tool writes for the processes it starts."""

from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Any

import msgspec
from plantainstand_core import AvailabilityZoneId, VmId

from plantainstand_bench._deployment import Deployment, VmPlan
from plantainstand_bench._system_map import MappedTarget, SystemMap
from plantainstand_bench._target_settings import (
    TargetHostSettings,
    TargetSettings,
)
from plantainstand_bench._vm_list import ListedVm, VmListSettings

_INDENT = 2


class RunFolder:
    """Layout of the output folder."""

    def __init__(self, root: Path):
        """Create the folders below ``root``."""
        self._root = root
        for folder in (self.settings, self.journals, self.logs, self.data):
            folder.mkdir(parents=True, exist_ok=True)

    @property
    def root(self) -> Path:
        """Folder of the reports."""
        return self._root

    @property
    def settings(self) -> Path:
        """Settings of daemons, targets and list."""
        return self._root / 'settings'

    @property
    def journals(self) -> Path:
        """Journals of the targets."""
        return self._root / 'journals'

    @property
    def logs(self) -> Path:
        """Output of every process."""
        return self._root / 'logs'

    @property
    def data(self) -> Path:
        """Data folders of the voters."""
        return self._root / 'data'

    def data_of(self, vm: VmId) -> Path:
        """Data folder of one voter."""
        return self.data / vm


def write_daemon_settings(
    deployment: Deployment,
    plan: VmPlan,
    folder: RunFolder,
) -> Path:
    """Write the settings of one daemon."""
    document: dict[str, Any] = {
        'vm': plan.id,
        'availability_zone': plan.availability_zone,
        'region': plan.region,
        'roles': plan.roles,
        'http': {
            'host': plan.host,
            'port': plan.http_port,
            'threads': plan.http_threads,
        },
        'rpc': {'host': plan.host, 'port': plan.rpc_port},
        'voters': _voters(deployment),
        'logs': {'format': 'json', 'level': 'info'},
    }
    if plan.is_voter:
        document['data_folder'] = str(folder.data_of(plan.id))
    if deployment.platform_list_port:
        port = deployment.platform_list_port
        document['platform_list_url'] = f'http://127.0.0.1:{port}'
    return _write(folder.settings / f'{plan.id}.jsonc', document)


def write_target_settings(
    deployment: Deployment,
    system_map: SystemMap,
    folder: RunFolder,
    seed: int,
) -> Mapping[AvailabilityZoneId, Path]:
    """Write one settings file for the targets of each zone."""
    by_zone: dict[AvailabilityZoneId, list[TargetSettings]] = {}
    for target in system_map.targets:
        settings = _target_settings(deployment, target, seed)
        by_zone.setdefault(target.availability_zone, []).append(settings)
    return {
        zone: _write(
            folder.settings / f'targets-{zone}.jsonc',
            TargetHostSettings(
                journal_folder=str(folder.journals),
                targets=tuple(targets),
            ),
        )
        for zone, targets in by_zone.items()
    }


def write_list_settings(deployment: Deployment, folder: RunFolder) -> Path:
    """Write the settings of the platform's list."""
    vms = [
        ListedVm(id=vm.id, availability_zone=vm.availability_zone)
        for vm in deployment.vms
    ]
    settings = VmListSettings(
        port=deployment.platform_list_port,
        lag_ms=deployment.platform_list_lag_ms,
        vms=tuple(vms),
    )
    return _write(folder.settings / 'vm-list.jsonc', settings)


def _voters(deployment: Deployment) -> Sequence[Mapping[str, Any]]:
    return [
        {'vm': vm.id, 'host': vm.host, 'rpc_port': vm.rpc_port}
        for vm in deployment.vms
        if vm.is_voter
    ]


def _target_settings(
    deployment: Deployment,
    target: MappedTarget,
    seed: int,
) -> TargetSettings:
    plan = deployment.target_plan(target.service)
    return TargetSettings(
        id=target.id,
        service=target.service,
        host=target.host,
        port=target.port,
        slots=target.slots,
        shed_limit=plan.shed_limit,
        connections=target.connections,
        response_bytes=plan.response_bytes,
        service_time=plan.service_time,
        cold_start=plan.cold_start,
        seed=seed,
    )


def _write(path: Path, document: object) -> Path:
    encoded = msgspec.json.encode(document)
    path.write_bytes(msgspec.json.format(encoded, indent=_INDENT))
    return path
