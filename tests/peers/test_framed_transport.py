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
    """What one side sends the other receives; what is no frame ends the link."""

    def setUp(self):
        super().setUp()
        server = gevent.socket.create_server(("127.0.0.1", 0))
        self.addCleanup(server.close)
        self.near = gevent.socket.create_connection(server.getsockname())
        self.far, _ = server.accept()
        for sock in (self.near, self.far):
            self.addCleanup(sock.close)

    def test_frames_of_all_sizes_arrive_as_they_were(self):
        sender, receiver = FramedConnection(self.near), FramedConnection(self.far)
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

    def test_what_repeats_itself_takes_few_bytes(self):
        FramedConnection(self.near).send(b"repeated " * 1_000)
        self.assertLess(len(self.far.recv(65_536)), 900)

    def test_what_is_no_frame_ends_the_link(self):
        bomb = zlib.compress(bytes(MAX_FRAME_BYTES + 1))
        whole = zlib.compress(b"cut short " * 100)
        for size, data in (
            (MAX_FRAME_BYTES + 1, b""),
            (4 | COMPRESSED_FLAG, b"junk"),
            (len(bomb) | COMPRESSED_FLAG, bomb),
            (len(whole) - 3 | COMPRESSED_FLAG, whole[:-3]),
        ):
            self.near.sendall(LENGTH_HEADER.pack(size) + data)
            receiver = FramedConnection(self.far)
            self.assertRaises(LinkClosedError, receiver.recv)
