"""Fake of ``plantainstandd`` that proxies directly, without any promise.

It keeps no records and no shares, so resends run again: the tests of the load
tool use it both for runs that go well and for runs that break a promise.
"""

import argparse
import itertools
import sys
from collections.abc import Iterable
from http import HTTPStatus
from pathlib import Path
from typing import Any

import msgspec
import urllib3
from plantainstand_bench._connections import ConnectionRegistry
from plantainstand_bench._deployment import Deployment, load_deployment
from plantainstand_bench._http_server import (
    ServedApplication,
    serve_until_signal,
)
from plantainstand_bench._system_map import SystemMap, load_system_map
from plantainstand_bench._wsgi import (
    Answer,
    Environment,
    StartResponse,
    make_answer,
    read_body,
    send_answer,
)
from plantainstand_core import ServiceId

_THREADS = 32
_CONNECTIONS = 1000
_LIFETIME_MS = 3000
_TIMEOUT_SECONDS = 5


class FakeDaemon:
    """WSGI callable with the routes that the load tool uses."""

    def __init__(self, deployment: Deployment, system_map: SystemMap):
        """Send to the targets of the catalogue in turn."""
        self._deployment = deployment
        self._map = system_map
        self._turns = itertools.count()
        self._http = urllib3.PoolManager(maxsize=_THREADS)

    def __call__(
        self,
        environment: Environment,
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        """Answer one request."""
        path = environment['PATH_INFO']
        if path.startswith('/v1/services/'):
            return self._forward(environment, start_response)
        if path == '/v1/entries':
            answer = self._entries()
        elif path.startswith('/operator/v1/drains'):
            # Accepted and then not heeded: a broken promise.
            answer = make_answer(HTTPStatus.OK, {'revision': 1})
        else:
            answer = make_answer(HTTPStatus.OK, {})
        return send_answer(answer, start_response)

    def _entries(self) -> Answer:
        entries = [
            {'vm': vm.id, 'url': f'http://{vm.host}:{vm.http_port}'}
            for vm in self._deployment.vms
        ]
        document = {
            'version': 1,
            'lifetime_ms': _LIFETIME_MS,
            'entries': entries,
        }
        return make_answer(HTTPStatus.OK, document)

    def _forward(
        self,
        environment: Environment,
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        service, _slash, path = (
            environment['PATH_INFO']
            .removeprefix('/v1/services/')
            .partition('/')
        )
        targets = self._map.targets_of(ServiceId(service))
        target = targets[next(self._turns) % len(targets)]
        request_id = environment['HTTP_REQUEST_ID']
        try:
            response = self._http.request(
                environment['REQUEST_METHOD'],
                f'http://{target.host}:{target.port}/{path}',
                body=read_body(environment),
                headers={
                    'Request-Id': request_id,
                    'Request-Deadline-Ms': environment[
                        'HTTP_REQUEST_DEADLINE_MS'
                    ],
                },
                retries=False,
                timeout=_TIMEOUT_SECONDS,
            )
        except urllib3.exceptions.HTTPError:
            return send_answer(_unknown_answer(request_id), start_response)
        return _pass_on(response, start_response)


def _unknown_answer(request_id: str) -> Answer:
    return make_answer(
        HTTPStatus.GATEWAY_TIMEOUT,
        {},
        Request_Id=request_id,
        Request_Outcome='unknown',
    )


def _pass_on(response: Any, start_response: StartResponse) -> Iterable[bytes]:
    names = ('Request-Id', 'Request-Outcome', 'Content-Length')
    headers = [(name, response.headers[name]) for name in names]
    start_response(f'{response.status} {response.reason}', headers)
    return [response.data]


def main() -> int:
    """Serve one VM of a deployment until SIGTERM."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--deployment', type=Path, required=True)
    parser.add_argument('--settings', type=Path, required=True)
    parser.add_argument('--format', action='store_true')
    options = parser.parse_args()
    if options.format:
        return 0
    deployment = load_deployment(options.deployment).unwrap()
    system_map = load_system_map(Path(deployment.catalogue)).unwrap()
    http = msgspec.json.decode(options.settings.read_bytes())['http']
    serve_until_signal(
        [
            ServedApplication(
                name='fake',
                host=http['host'],
                port=http['port'],
                threads=_THREADS,
                application=FakeDaemon(deployment, system_map),
                registry=ConnectionRegistry(_CONNECTIONS),
            ),
        ],
    )
    return 0


if __name__ == '__main__':
    sys.exit(main())
