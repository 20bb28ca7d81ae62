"""The WSGI server and handler that all processes of the project use."""

from collections.abc import Callable, Iterable

import gevent.pywsgi

from .net import Address, set_no_delay

WsgiApp = Callable[[dict, Callable], Iterable[bytes]]


class QuietHandler(gevent.pywsgi.WSGIHandler):
    """Handler of one HTTP connection, with TCP_NODELAY set and no access log."""

    def __init__(self, sock, address, server, rfile=None) -> None:
        set_no_delay(sock)
        super().__init__(sock, address, server, rfile)

    def log_request(self) -> None:
        """Log nothing, since the application logs its own events."""


def make_server(address: Address, app: WsgiApp) -> gevent.pywsgi.WSGIServer:
    """Return a WSGI server for the app; the server is not started yet."""
    return gevent.pywsgi.WSGIServer(
        tuple(address), app, log=None, error_log=None, handler_class=QuietHandler
    )
