"""CherryPy servers, one per WSGI callable, on one engine."""

import sys
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from typing import Any

import cherrypy
import msgspec
from cherrypy._cpserver import Server
from cherrypy._cptree import Tree
from cherrypy._cpwsgi_server import CPWSGIServer

from plantainstand_bench._connections import (
    ConnectionRegistry,
    connection_factory,
    make_gateway,
)
from plantainstand_bench._wsgi import WsgiCallable

# Longer than the 15 s after which plantainstand drops idle connections, so
# that the stand-in is not the side that closes them.
_IDLE_TIMEOUT_SECONDS = 60
# The server looks for expired connections and for its stop this often; the
# default of 0.5 s adds up when a process stops many servers in a row.
_STOP_CHECK_SECONDS = 0.05


@dataclass(frozen=True)
class ServedApplication:
    """A WSGI callable and where it is served."""

    name: str
    """Name in the line that reports the ports."""

    host: str
    port: int
    """Port; zero lets the system choose one."""

    threads: int
    """Request threads."""

    application: WsgiCallable
    registry: ConnectionRegistry


def serve_until_signal(applications: Sequence[ServedApplication]) -> None:
    """Serve until SIGTERM or SIGINT; requests in flight are finished.

    Prints one JSON line with the port of every application when all listen.
    """
    cherrypy.config.update(
        {
            'environment': 'embedded',
            'log.screen': False,
            'engine.autoreload.on': False,
        },
    )
    cherrypy.server.unsubscribe()
    servers = {served.name: _make_server(served) for served in applications}
    cherrypy.engine.signals.subscribe()
    cherrypy.engine.subscribe('stop', _closer(applications))
    cherrypy.engine.start()
    _print_ports(servers)
    cherrypy.engine.block()


def _closer(applications: Sequence[ServedApplication]) -> Callable[[], None]:
    def close_silent_connections() -> None:
        for served in applications:
            served.registry.close_silent()

    return close_silent_connections


def _print_ports(servers: Mapping[str, Any]) -> None:
    ports = {name: server.bound_addr[1] for name, server in servers.items()}
    line = msgspec.json.encode({'ready': ports}).decode()
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()


def _make_server(served: ServedApplication) -> Any:
    server = Server()
    server.socket_host = served.host
    server.socket_port = served.port
    server.thread_pool = served.threads
    server.socket_timeout = _IDLE_TIMEOUT_SECONDS
    server.socket_queue_size = served.registry.limit
    server.instance = _make_http_server(server, served)
    server.subscribe()
    return server


def _make_http_server(server: Any, served: ServedApplication) -> Any:
    # The tree is the application's own, because the engine's tree would
    # offer every application on every port.
    tree = Tree()
    tree.graft(served.application, '')
    http_server = CPWSGIServer(server)
    http_server.wsgi_app = tree
    http_server.gateway = make_gateway
    http_server.ConnectionClass = connection_factory(served.registry)
    http_server.keep_alive_conn_limit = None
    http_server.expiration_interval = _STOP_CHECK_SECONDS
    return http_server
