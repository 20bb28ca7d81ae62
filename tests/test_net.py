"""Tests of the end of connections, with packets that are lost."""

import socket

import gevent
import gevent.socket
import testtools

from sesameplank.net import close_connection, count_unacknowledged_bytes
from sesameplank.standins.packet_loss import lose_packets

HOST = "127.0.0.1"
OBSERVED_S = 1.0  # The kernel sends lost bytes again after 0.2 and 0.6 s.


class ClosedConnectionTests(testtools.TestCase):
    """Guards against bytes, and ends of connections, that outlive or are never told."""

    def setUp(self):
        super().setUp()
        listener = self.enterContext(gevent.socket.create_server((HOST, 0)))
        self.sock = gevent.socket.create_connection(listener.getsockname())
        self.addCleanup(self.sock.close)
        self.accepted = self.enterContext(listener.accept()[0])
        self.accepted.settimeout(OBSERVED_S)

    def lose_packets(self) -> None:
        """Lose all packets of the connection."""
        lose_packets(self.accepted, [HOST])

    def restore_link(self) -> None:
        """Let all packets pass again."""
        lose_packets(self.accepted, [])

    def test_bytes_that_were_not_acknowledged_never_arrive(self):
        self.lose_packets()
        self.sock.sendall(b"call")
        self.assertEqual(4, count_unacknowledged_bytes(self.sock))
        close_connection(self.sock)
        self.restore_link()
        self.assertRaises(TimeoutError, self.accepted.recv, 10)

    def test_peer_that_has_all_bytes_learns_of_the_end_once_links_are_back(self):
        self.sock.sendall(b"call")
        self.assertEqual(b"call", self.accepted.recv(10))
        self.lose_packets()
        close_connection(self.sock)
        gevent.sleep(0.01)
        self.restore_link()
        self.assertEqual(b"", self.accepted.recv(10))

    def test_connection_that_the_peer_has_reset_is_closed(self):
        linger = (1).to_bytes(4, "little") + bytes(4)
        self.accepted.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        self.sock.sendall(b"call")
        self.accepted.close()
        gevent.sleep(0.01)
        close_connection(self.sock)
        self.assertEqual(-1, self.sock.fileno())
