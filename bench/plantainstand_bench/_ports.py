"""Check that the ports of a run are free."""

import socket
from collections.abc import Iterable, Sequence
from contextlib import closing

from plantainstand_bench._deployment import Deployment
from plantainstand_bench._http_client import Address
from plantainstand_bench._system_map import SystemMap

_LOOPBACK = '127.0.0.1'


def run_addresses(
    deployment: Deployment,
    system_map: SystemMap,
) -> Sequence[Address]:
    """Return every address that the processes of a run listen on."""
    addresses = [
        Address(target.host, target.port) for target in system_map.targets
    ]
    for vm in deployment.vms:
        addresses.append(Address(vm.host, vm.http_port))
        addresses.append(Address(vm.host, vm.rpc_port))
    if deployment.platform_list_port:
        addresses.append(Address(_LOOPBACK, deployment.platform_list_port))
    return addresses


def taken_addresses(addresses: Iterable[Address]) -> Sequence[Address]:
    """Return the addresses that another process listens on.

    A run beside another one on the same ports would find that one's
    processes ready and send requests to them.
    """
    return [address for address in addresses if not _is_free(address)]


def _is_free(address: Address) -> bool:
    with closing(socket.socket()) as probe:
        # As the servers do; connections of an earlier run may still linger.
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((address.host, address.port))
        except OSError:
            return False
    return True
