"""Guards the readiness and the planned stop of a whole entry VM."""

import asyncio
import io
import json
import unittest
from contextlib import AsyncExitStack, redirect_stderr, redirect_stdout
from dataclasses import replace
from datetime import timedelta
from unittest.mock import patch

import msgspec
import urllib3
from plantainstand_core import SystemClock, VmId
from plantainstand_ctl import ExitCode, run_command
from plantainstand_edge import EntryNode, EntrySettings
from plantainstand_edge._control_links import REPORT_INTERVAL
from plantainstand_fleet import (
    DesiredUpdate,
    EntryReport,
    LoadUpdate,
    TargetLoad,
    TargetUpdate,
    decode_fleet_message,
    encode_fleet_message,
)
from plantainstand_links import Link, LinkCallbacks, LinkServer, LinkTimings
from plantainstand_placement import LoadReport
from plantainstand_placement._other_load import SHARED_LOAD_LEAD

from tests.desired.builders import route_item, service_item
from tests.edge.builders import HEADER_CODEC, SETTINGS
from tests.placement.builders import entry

_HOST = '127.0.0.1'
_LINK_PORT = 17571
_CLIENT_PORT = 17572
_DEADLINE_SECONDS = 10
_SHORT_NOTICE = timedelta(milliseconds=200)
_ANSWER = b'HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 5\r\n\r\nwhole'


def _settings() -> EntrySettings:
    return replace(
        SETTINGS,
        vm=VmId(_HOST),
        client_address=f'{_HOST}:{_CLIENT_PORT}',
        ready_address=f'{_HOST}:17573',
        metrics_port=17574,
        link_port=_LINK_PORT,
        seeds=(VmId(_HOST),),
        stop_grace_period=timedelta(seconds=6),
    )


class SlowTarget:
    """Answers each request once ``release`` is set."""

    def __init__(self) -> None:
        self.received = asyncio.Event()
        self.release = asyncio.Event()
        self.address = ''

    async def start(self, stack: AsyncExitStack) -> None:
        """Listen on a free port until the stack is closed."""
        server = await asyncio.start_server(self._serve, _HOST, 0)
        stack.callback(server.close)
        port = server.sockets[0].getsockname()[1]
        self.address = f'{_HOST}:{port}'

    async def _serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        await reader.readuntil(b'\r\n\r\n')
        self.received.set()
        await self.release.wait()
        writer.write(_ANSWER)
        await writer.drain()
        writer.close()


class EntryNodeTests(unittest.IsolatedAsyncioTestCase):
    """The test's control VM sends the desired state and the target list."""

    async def asyncSetUp(self) -> None:
        """Start a target, a control VM and an entry VM."""
        self.stack = AsyncExitStack()
        self.addAsyncCleanup(self.stack.aclose)
        self.target = SlowTarget()
        await self.target.start(self.stack)
        self.reports: list[EntryReport] = []
        self.links: list[Link] = []
        events = LinkCallbacks(self._send_state, self._receive, _ignore)
        server = LinkServer(events, SystemClock(), LinkTimings())
        await server.start(_HOST, _LINK_PORT, self.stack)
        self.stop = asyncio.Event()
        self.node = EntryNode(_settings(), HEADER_CODEC, SystemClock())
        self.running = asyncio.create_task(self.node.run(self.stop))
        self.stack.callback(self.running.cancel)
        async with asyncio.timeout(_DEADLINE_SECONDS):
            while not self.node.is_ready:
                await asyncio.sleep(0.01)

    async def test_readiness_is_reported_at_once(self) -> None:
        """Readiness must not wait for the next periodic report.

        After a power loss, clients have no VM before one reports readiness.
        """
        async with asyncio.timeout(REPORT_INTERVAL.total_seconds() / 2):
            while not any(report.ready for report in self.reports):
                await asyncio.sleep(0.01)

    async def test_explain(self) -> None:
        """Guards against output that differs from what the node answers."""
        code, text = await asyncio.to_thread(_explain, '/orders/1')
        self.assertEqual(code, ExitCode.DONE, text)
        self.assertIn('decision: send to t1: first target', text)
        code, text = await asyncio.to_thread(_explain, '/none/', '--json')
        self.assertEqual(code, ExitCode.DONE, text)
        found = json.loads(text)
        self.assertIsNone(found['route'])
        self.assertEqual(found['decision']['status'], 404)
        self.assertFalse(self.target.received.is_set())

    async def test_explain_without_host(self) -> None:
        """Guards against an answer to a question that is not complete."""
        code, text = await asyncio.to_thread(_explain, '/orders/1', host='')
        self.assertEqual(code, ExitCode.INVALID, text)
        self.assertIn('host', text)

    async def test_stop_answers_in_flight_requests(self) -> None:
        """A planned stop must not abort a request that runs at a target."""
        asking = asyncio.create_task(asyncio.to_thread(_ask))
        async with asyncio.timeout(_DEADLINE_SECONDS):
            await self.target.received.wait()
            self.stop.set()
            await asyncio.sleep(0.1)
            self.assertFalse(self.node.is_ready)
            self.target.release.set()
            response = await asking
            self.assertEqual((response.status, response.data), (200, b'whole'))
            self.assertEqual(response.headers['connection'], 'close')
            await self.running

    async def test_late_client_connection_is_refused(self) -> None:
        """A stopping VM must not accept a request that it cannot finish."""
        with patch('plantainstand_edge._node.STOP_NOTICE', _SHORT_NOTICE):
            asking = asyncio.create_task(asyncio.to_thread(_ask))
            async with asyncio.timeout(_DEADLINE_SECONDS):
                await self.target.received.wait()
                self.stop.set()
                await asyncio.sleep(_SHORT_NOTICE.total_seconds() * 2)
                with self.assertRaises(ConnectionRefusedError):
                    await asyncio.open_connection(_HOST, _CLIENT_PORT)
                self.target.release.set()
                self.assertEqual((await asking).status, 200)
                await self.running

    async def test_exchange_of_loads(self) -> None:
        """A VM must report loads, and go by those that others report.

        Its first report already says that it knows updates: with few requests
        of its own it needs them most.
        """
        state = self.node._target_table.states[0]
        self.assertEqual(self.reports[0].loads, ())
        report = LoadReport(1, 0, 4, 2.5, states_speed=True)
        state.record_response(SystemClock().monotonic(), report, failed=False)
        async with asyncio.timeout(_DEADLINE_SECONDS):
            while not any(each.loads for each in self.reports):
                await asyncio.sleep(0.01)
            await asyncio.sleep(SHARED_LOAD_LEAD.total_seconds())
            load = TargetLoad(state.entry.target, 1, 4, 4, 100, 0)
            for link in self.links:
                link.send(encode_fleet_message(LoadUpdate((load,))))
            while state.load(SystemClock().monotonic()) < 4:
                await asyncio.sleep(0.01)
        metrics = self.node._render_metrics()
        for line in (
            b'plantainstand_entry_loads_taken 1',
            b'plantainstand_entry_load_update_age_seconds ',
        ):
            self.assertIn(line, metrics.replace(b'{}', b''))

    def _receive(self, _link: Link, frame: bytes) -> None:
        message = decode_fleet_message(frame).unwrap()
        if isinstance(message, EntryReport):
            self.reports.append(message)

    def _send_state(self, link: Link) -> None:
        self.links.append(link)
        items = (service_item(), route_item('shop', 5, timeout=8))
        address = self.target.address
        listed = (msgspec.structs.replace(entry('t1'), address=address),)
        for message in (
            DesiredUpdate(items, (), 1),
            TargetUpdate(full=True, updated=listed, removed=(), age_seconds=0),
        ):
            link.send(encode_fleet_message(message))


def _ignore(_link: Link) -> None:
    """Do nothing with an event."""


def _explain(
    path: str, *options: str, host: str = 'shop.example'
) -> tuple[int, str]:
    address = f'{_HOST}:{_settings().metrics_port}'
    line = ['explain', '--address', address, '--host', host, '--path', path]
    output = io.StringIO()
    with redirect_stdout(output), redirect_stderr(output):
        code = run_command(
            [*line, '--object', 'a&b', *options],
            lambda _wait: None,
            lambda: None,
        )
    return code, output.getvalue()


def _ask() -> urllib3.BaseHTTPResponse:
    return urllib3.request(
        'POST',
        f'http://{_settings().client_address}/orders/1',
        headers={'id': '1'},
        retries=False,
        timeout=_DEADLINE_SECONDS,
    )
