"""Settings of the daemon: one JSON file with comments."""

from enum import Enum
from ipaddress import ip_address
from pathlib import Path
from typing import Annotated

import msgspec
from plantainstand_core import (
    AvailabilityZoneId,
    RegionId,
    SettingsProblem,
    VmId,
    load_settings,
)
from plantainstand_protocol import Endpoint
from plantainstand_telemetry import LogFormat, LogLevel
from result import Err, Ok, Result

_MAX_PORT = 65535
_MAX_THREADS = 1024

Port = Annotated[int, msgspec.Meta(gt=0, le=_MAX_PORT)]
Ratio = Annotated[float, msgspec.Meta(ge=0, le=1)]
ThreadCount = Annotated[int, msgspec.Meta(gt=0, le=_MAX_THREADS)]
PositiveCount = Annotated[int, msgspec.Meta(gt=0)]


class Role(Enum):
    """Role of a daemon; one daemon may have both."""

    ENTRY = 'entry'
    """Accepts requests from callers and dispatches them to targets."""

    VOTER = 'voter'
    """Stores the replicated log and votes on its entries."""


class _Strict(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Immutable part of the settings; unknown fields are rejected."""


class HttpSettings(_Strict, frozen=True):
    """Address for callers and operators."""

    host: str
    port: Port
    threads: ThreadCount = 96
    """Largest number of concurrent requests; each occupies a thread."""


class RpcSettings(_Strict, frozen=True):
    """Address for gRPC calls of other VMs."""

    host: str
    port: Port


class VoterAddress(_Strict, frozen=True):
    """gRPC address of a voter."""

    vm: VmId
    host: str
    rpc_port: Port

    @property
    def endpoint(self) -> Endpoint:
        """Address in the form that the channel pool uses."""
        return Endpoint(self.host, self.rpc_port)


class LogSettings(_Strict, frozen=True):
    """Format and level of the log on standard error."""

    format: LogFormat = LogFormat.JSON
    level: LogLevel = LogLevel.INFO


class TraceSettings(_Strict, frozen=True):
    """Folder of the trace file, and the fraction of traces to sample."""

    folder: str
    sample_ratio: Ratio = 0.01


class DaemonSettings(_Strict, frozen=True):
    """All settings of one daemon."""

    vm: VmId
    availability_zone: AvailabilityZoneId
    region: RegionId
    roles: frozenset[Role]
    http: HttpSettings
    rpc: RpcSettings
    voters: tuple[VoterAddress, ...]
    data_folder: str | None = None
    """Folder of a voter's log; required for the role ``voter``."""

    platform_list_url: str | None = None
    """Base URL of the platform's VM list."""

    sole_member_grace_s: PositiveCount = 3900
    """How long the only entry VM of an isolated zone keeps its shares."""

    logs: LogSettings = LogSettings()
    traces: TraceSettings | None = None

    @property
    def is_voter(self) -> bool:
        """Whether this daemon stores the log."""
        return Role.VOTER in self.roles

    @property
    def is_entry(self) -> bool:
        """Whether this daemon accepts requests from callers."""
        return Role.ENTRY in self.roles


def load_daemon_settings(path: Path) -> Result[DaemonSettings, SettingsProblem]:
    """Read and validate the settings file of a daemon."""
    loaded = load_settings(path, DaemonSettings)
    if isinstance(loaded, Err):
        return loaded
    message = _find_fault(loaded.ok_value)
    if message:
        return Err(SettingsProblem(str(path), message))
    return Ok(loaded.ok_value)


def _find_fault(settings: DaemonSettings) -> str:
    voter_vms = [voter.vm for voter in settings.voters]
    checks = (
        (not settings.roles, '`roles` is empty; name `entry`, `voter` or both'),
        (not settings.voters, '`voters` is empty; name every voter'),
        (
            len(set(voter_vms)) != len(voter_vms),
            '`voters` names a VM twice',
        ),
        (
            settings.is_voter and settings.data_folder is None,
            '`data_folder` is missing; the role `voter` needs one',
        ),
        (
            settings.is_voter and settings.vm not in voter_vms,
            f'`voters` does not name this VM, `{settings.vm}`',
        ),
    )
    faults = [message for is_wrong, message in checks if is_wrong]
    return faults[0] if faults else _find_address_fault(settings)


def _find_address_fault(settings: DaemonSettings) -> str:
    hosts = {
        '$.http.host': settings.http.host,
        '$.rpc.host': settings.rpc.host,
    }
    for voter in settings.voters:
        hosts[f'`host` of voter `{voter.vm}`'] = voter.host
    for where, host in hosts.items():
        try:
            ip_address(host)
        except ValueError:
            return f'{where}: `{host}` is not an IP address'
    return ''
