"""Tests of websockets between peers."""

import random

import testtools
from gevent.event import AsyncResult

from sesameplank.net import Address
from sesameplank.peers.backoff import MIN_DIAL_TIMEOUT_S
from sesameplank.peers.websocket_transport import WebSocketTransport
from sesameplank.standins.fleet import reserve_block
from sesameplank.standins.proxy import FaultProxy, Faults

WAIT_S = 10.0


class WebSocketTransportTests(testtools.TestCase):
    """Links open to peers that accept at once but answer slowly."""

    def test_busy_peer_has_longer_than_the_first_dial_to_answer(self):
        block = self.enterContext(reserve_block())
        upstream = Address(f"{block}.1.1", 8081)
        transport = WebSocketTransport()
        accepted: AsyncResult = AsyncResult()

        def on_connection(sender, connection):
            accepted.set((sender, connection.recv()))

        server = transport.make_server("b", upstream, on_connection)
        server.start()
        self.addCleanup(server.stop, timeout=0)
        proxy = FaultProxy(Address(f"{block}.2.1", 8081), upstream, random.Random(1))
        self.enterContext(proxy)
        proxy.faults = Faults(delay_s=0.75 * MIN_DIAL_TIMEOUT_S)
        connection = transport.open_connection(
            "a", Address(f"{block}.1.2", 8081), "b", proxy.listen, MIN_DIAL_TIMEOUT_S
        )
        self.addCleanup(connection.close_socket)
        connection.send(b"frame")
        self.assertEqual(("a", b"frame"), accepted.get(timeout=WAIT_S))
