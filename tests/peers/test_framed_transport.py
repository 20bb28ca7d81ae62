"""Tests of frames over plain TCP."""

import os
import zlib

import gevent.socket
import testtools

from sesameplank.peers.framed_transport import (
    COMPRESSED_FLAG,
    LENGTH_HEADER,
    MIN_COMPRESSED_BYTES,
    FramedConnection,
)
from sesameplank.peers.transport import MAX_FRAME_BYTES, LinkClosedError


class FramedConnectionTests(testtools.TestCase):
    """Frames arrive unchanged, and malformed data closes the link."""

    def setUp(self):
        super().setUp()
        server = gevent.socket.create_server(("127.0.0.1", 0))
        self.addCleanup(server.close)
        self.client_socket = gevent.socket.create_connection(server.getsockname())
        self.server_socket, _ = server.accept()
        for sock in (self.client_socket, self.server_socket):
            self.addCleanup(sock.close)

    def test_frames_of_all_sizes_arrive_unchanged(self):
        sender, receiver = (
            FramedConnection(self.client_socket),
            FramedConnection(self.server_socket),
        )
        for frame in (
            b"",
            b"x",
            b"x" * (MIN_COMPRESSED_BYTES - 1),
            b"x" * MIN_COMPRESSED_BYTES,
            os.urandom(5_000),
            b"repeated " * 3_000,
        ):
            sender.send(frame)
            self.assertEqual(frame, receiver.recv())

    def test_repetitive_frames_are_compressed(self):
        FramedConnection(self.client_socket).send(b"repeated " * 1_000)
        self.assertLess(len(self.server_socket.recv(65_536)), 900)

    def test_malformed_frame_closes_the_link(self):
        bomb = zlib.compress(bytes(MAX_FRAME_BYTES + 1))
        compressed = zlib.compress(b"cut short " * 100)
        for size, data in (
            (MAX_FRAME_BYTES + 1, b""),
            (4 | COMPRESSED_FLAG, b"junk"),
            (len(bomb) | COMPRESSED_FLAG, bomb),
            (len(compressed) - 3 | COMPRESSED_FLAG, compressed[:-3]),
        ):
            self.client_socket.sendall(LENGTH_HEADER.pack(size) + data)
            receiver = FramedConnection(self.server_socket)
            self.assertRaises(LinkClosedError, receiver.recv)
