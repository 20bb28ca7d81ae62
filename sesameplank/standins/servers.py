"""Servers of the stand-ins, which know how many connections they hold."""

import gevent.pywsgi

from ..net import Address, QuietHandler
from .targets import ConnectionMeter, TargetStandin


class MeteredServer(gevent.pywsgi.WSGIServer):
    """A WSGI server that refuses connections over a target's limit."""

    def __init__(
        self, address: Address, standin: TargetStandin, meter: ConnectionMeter
    ) -> None:
        super().__init__(
            tuple(address),
            standin,
            log=None,
            error_log=None,
            handler_class=QuietHandler,
        )
        self.meter = meter

    def handle(self, sock, address) -> None:
        """Serve one connection, or close it when it is one too many."""
        try:
            if self.meter.admit():
                super().handle(sock, address)
            else:
                sock.close()
        finally:
            self.meter.leave()
