"""WSGI servers for stand-in targets, with a limit on open connections."""

import contextlib
import socket

import gevent.pywsgi

from ..net import Address
from ..wsgi import QuietHandler
from .targets import ConnectionLimiter, TargetStandin


class ConnectionLimitedServer(gevent.pywsgi.WSGIServer):
    """A WSGI server that closes connections over the limit of its target."""

    def __init__(
        self, address: Address, standin: TargetStandin, limiter: ConnectionLimiter
    ) -> None:
        super().__init__(
            tuple(address),
            standin,
            log=None,
            error_log=None,
            handler_class=QuietHandler,
        )
        self.limiter = limiter
        self.sockets: set = set()

    def break_connections(self) -> None:
        """Shut down all open connections, as the kernel does for a killed process."""
        for sock in list(self.sockets):
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)

    def handle(self, sock, address) -> None:
        """Serve one connection, or close it if it is over the limit."""
        self.sockets.add(sock)
        try:
            if self.limiter.admit():
                super().handle(sock, address)
            else:
                sock.close()
        finally:
            self.sockets.discard(sock)
            self.limiter.release()
