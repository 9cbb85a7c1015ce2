"""CherryPy server of the daemon."""

from contextlib import ExitStack
from datetime import timedelta
from threading import Thread

import cherrypy

from plantainstand_daemon._http import Application
from plantainstand_daemon._settings import HttpSettings
from plantainstand_daemon._tasks import sleep

# Above any request body limit that a catalogue entry is expected to set. The
# handler checks the limit of the service.
_MAX_BODY_BYTES = 16777216
_LISTEN_BACKLOG = 1024
_IDLE_TIMEOUT_SECONDS = 30
_SHUTDOWN_TIMEOUT_SECONDS = 5
_CLOSE_TIMEOUT = timedelta(seconds=7)
_POLL_INTERVAL = timedelta(milliseconds=50)


def start_web_server(
    stack: ExitStack,
    settings: HttpSettings,
    application: Application,
) -> None:
    """Serve ``application`` until ``stack`` is closed.

    The application is grafted as a plain WSGI callable, because CherryPy's page
    handlers cost more than twice as much per request.
    """
    cherrypy.config.update(
        {
            'environment': 'production',
            'engine.autoreload.on': False,
            'log.screen': False,
            'log.access_file': '',
            'log.error_file': '',
            'server.socket_host': settings.host,
            'server.socket_port': settings.port,
            'server.thread_pool': settings.threads,
            'server.socket_queue_size': _LISTEN_BACKLOG,
            'server.socket_timeout': _IDLE_TIMEOUT_SECONDS,
            'server.max_request_body_size': _MAX_BODY_BYTES,
            'server.shutdown_timeout': _SHUTDOWN_TIMEOUT_SECONDS,
        }
    )
    cherrypy.tree.graft(application, '')
    cherrypy.engine.start()
    stack.callback(cherrypy.engine.exit)


async def close_web_server(stack: ExitStack) -> None:
    """Close ``stack``, but do not wait for HTTP threads that do not end.

    After its shutdown timeout, the server joins its threads without a limit. A
    thread that reads from a silent connection would keep the process from
    exiting after a graceful stop.
    """
    closing = Thread(target=stack.close, daemon=True)
    closing.start()
    polls = _CLOSE_TIMEOUT // _POLL_INTERVAL
    while closing.is_alive() and polls:
        polls -= 1
        await sleep(_POLL_INTERVAL)
