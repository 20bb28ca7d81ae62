"""Tests of the fault-injecting proxy."""

import random

import gevent
import testtools
from gevent.event import Event
from gevent.server import StreamServer

from sesameplank.net import Address, open_connection
from sesameplank.standins.fleet import reserve_block
from sesameplank.standins.proxy import Direction, FaultProxy, Faults

TIMEOUT_S = 30.0


class FaultProxyTests(testtools.TestCase):
    """The proxy passes bytes on, and breaks connections when told."""

    def setUp(self):
        super().setUp()
        block = self.enterContext(reserve_block())
        self.received = b""
        self.got_request = Event()
        upstream = Address(f"{block}.0.1", 7000)
        server = StreamServer(tuple(upstream), self.echo)
        server.start()
        self.addCleanup(server.stop, 0.1)
        listen = Address(f"{block}.0.2", 7000)
        self.proxy = self.enterContext(FaultProxy(listen, upstream, random.Random(1)))
        self.sock = open_connection(listen, TIMEOUT_S)
        self.addCleanup(self.sock.close)

    def echo(self, sock, address):
        """Send back what comes, and keep it."""
        try:
            while chunk := sock.recv(1_000):
                self.received += chunk
                self.got_request.set()
                sock.sendall(chunk)
        except OSError:
            pass

    def ask(self) -> bytes:
        """Send a request and return the answer, empty when the connection ends."""
        try:
            self.sock.sendall(b"hello")
            return self.sock.recv(1_000)
        except ConnectionResetError:
            return b""

    def test_bytes_pass_without_faults(self):
        self.assertEqual(b"hello", self.ask())

    def test_resets(self):
        table = [
            (Faults(request_reset_rate=1.0), b""),
            (Faults(answer_reset_rate=1.0), b"hello"),
            (Faults(reset_at_byte=3), b"hel"),
        ]
        for faults, received in table:
            self.received = b""
            self.got_request.clear()
            self.proxy.set_faults(faults)
            self.assertEqual(b"", self.ask())
            if received:
                self.assertTrue(self.got_request.wait(TIMEOUT_S))
            self.assertEqual(received, self.received)
            self.sock.close()
            self.sock = open_connection(self.proxy.listen, TIMEOUT_S)

    def test_stalled_answer_arrives_after_the_stall(self):
        self.proxy.set_faults(Faults(stalled=(Direction.ANSWER,)))
        asking = gevent.spawn(self.ask)
        self.assertTrue(self.got_request.wait(TIMEOUT_S))
        self.assertFalse(asking.ready())
        self.proxy.set_faults(Faults())
        self.assertEqual(b"hello", asking.get(timeout=TIMEOUT_S))

    def test_faults_of_one_source_leave_others_alone(self):
        self.proxy.set_faults(Faults(refuse=True), source="127.0.0.77")
        cut = open_connection(self.proxy.listen, TIMEOUT_S, "127.0.0.77")
        self.addCleanup(cut.close)
        self.assertRaises(ConnectionResetError, cut.recv, 1)
        self.assertEqual(b"hello", self.ask())
