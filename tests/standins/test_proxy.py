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
    """The proxy forwards bytes and injects the faults that are set."""

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
        """Send back all received bytes, and store them in `received`."""
        try:
            while chunk := sock.recv(1_000):
                self.received += chunk
                self.got_request.set()
                sock.sendall(chunk)
        except OSError:
            pass

    def send_request(self) -> bytes:
        """Send a request and return the answer, empty if the connection ends."""
        try:
            self.sock.sendall(b"hello")
            return self.sock.recv(1_000)
        except ConnectionResetError:
            return b""

    def test_bytes_are_forwarded_without_faults(self):
        self.assertEqual(b"hello", self.send_request())

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
            self.assertEqual(b"", self.send_request())
            if received:
                self.assertTrue(self.got_request.wait(TIMEOUT_S))
            self.assertEqual(received, self.received)
            self.sock.close()
            self.sock = open_connection(self.proxy.listen, TIMEOUT_S)

    def test_stalled_answer_arrives_when_the_stall_ends(self):
        self.proxy.set_faults(Faults(stalled=(Direction.ANSWER,)))
        request = gevent.spawn(self.send_request)
        self.assertTrue(self.got_request.wait(TIMEOUT_S))
        self.assertFalse(request.ready())
        self.proxy.set_faults(Faults())
        self.assertEqual(b"hello", request.get(timeout=TIMEOUT_S))

    def test_faults_of_one_source_do_not_affect_others(self):
        self.proxy.set_faults(Faults(refuse=True), source="127.0.0.77")
        refused = open_connection(self.proxy.listen, TIMEOUT_S, "127.0.0.77")
        self.addCleanup(refused.close)
        self.assertRaises(ConnectionResetError, refused.recv, 1)
        self.assertEqual(b"hello", self.send_request())
