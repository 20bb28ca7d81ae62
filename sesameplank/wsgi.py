"""WSGI servers as every process of the project sets them up."""

from collections.abc import Callable, Iterable

import gevent.pywsgi

from .net import Address, set_no_delay

WsgiApp = Callable[[dict, Callable], Iterable[bytes]]


class QuietHandler(gevent.pywsgi.WSGIHandler):
    """Handle one HTTP connection without send delay or access log."""

    def __init__(self, sock, address, server, rfile=None) -> None:
        set_no_delay(sock)
        super().__init__(sock, address, server, rfile)

    def log_request(self) -> None:
        """Log nothing; the application logs its own events."""


def make_server(address: Address, app: WsgiApp) -> gevent.pywsgi.WSGIServer:
    """Return a WSGI server for the app, not yet started."""
    return gevent.pywsgi.WSGIServer(
        tuple(address), app, log=None, error_log=None, handler_class=QuietHandler
    )
