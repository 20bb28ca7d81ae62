"""Transport of length-prefixed frames between peers over plain TCP.

It needs a tenth of the memory of websockets, which matters on small VMs, and it
works without a standard library patched by gevent. Long frames are compressed,
because traffic between data centres costs the operator money and documents are
repetitive.
"""

import contextlib
import socket
import struct
import zlib

import gevent
import gevent.socket
from gevent.server import StreamServer

from ..ids import EntryId
from ..net import Address, set_no_delay
from .transport import (
    LISTEN_BACKLOG,
    MAX_FRAME_BYTES,
    ConnectionHandler,
    LinkClosedError,
    PeerConnection,
    PeerTransport,
)

LENGTH_HEADER = struct.Struct("!I")
READ_BYTES = 65_536
SOCKET_TIMEOUT_S = 3.0
TCP_USER_TIMEOUT_MS = 3_000
MAX_HELLO_BYTES = 512
COMPRESSED_FLAG = 1 << 31  # The top bit of the length header; lengths are far smaller.
MIN_COMPRESSED_BYTES = 160  # Shorter frames hardly benefit from compression.
COMPRESSION_LEVEL = 1
HELLO_SEPARATOR = b"\n"


class FramedConnection(PeerConnection):
    """A TCP connection to a peer.

    It fails if nothing is received for `SOCKET_TIMEOUT_S`, which is longer than the
    interval of heartbeats.
    """

    def __init__(self, sock: gevent.socket.socket) -> None:
        self.sock = sock
        self.buffer = bytearray()
        set_no_delay(sock)
        sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS
        )
        sock.settimeout(SOCKET_TIMEOUT_S)

    def recv(self) -> bytes:
        """Return the next frame, or raise OSError such as LinkClosedError."""
        (header,) = LENGTH_HEADER.unpack(self.read(LENGTH_HEADER.size))
        size = header & ~COMPRESSED_FLAG
        if size > MAX_FRAME_BYTES:
            raise LinkClosedError(f"a frame of {size} bytes is too large")
        data = self.read(size)
        return decompress(data) if header & COMPRESSED_FLAG else data

    def read(self, size: int) -> bytes:
        """Return exactly `size` bytes, or raise OSError such as LinkClosedError."""
        while len(self.buffer) < size:
            data = self.sock.recv(READ_BYTES)
            if not data:
                raise LinkClosedError("the peer closed the connection")
            self.buffer += data
        data = bytes(self.buffer[:size])
        del self.buffer[:size]
        return data

    def send(self, frame: bytes) -> None:
        """Send a frame, or raise OSError."""
        if len(frame) >= MIN_COMPRESSED_BYTES:
            data = zlib.compress(frame, COMPRESSION_LEVEL)
            if len(data) < len(frame):
                self.sock.sendall(
                    LENGTH_HEADER.pack(len(data) | COMPRESSED_FLAG) + data
                )
                return
        self.sock.sendall(LENGTH_HEADER.pack(len(frame)) + frame)

    def close_socket(self) -> None:
        """Close the connection immediately."""
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR)
        self.sock.close()


def decompress(data: bytes) -> bytes:
    """Return a decompressed frame, or raise LinkClosedError."""
    inflater = zlib.decompressobj()
    try:
        frame = inflater.decompress(data, MAX_FRAME_BYTES)
    except zlib.error as error:
        raise LinkClosedError(f"a frame cannot be decompressed: {error}") from error
    if not inflater.eof:
        raise LinkClosedError("a compressed frame is too large or truncated")
    return frame


class FramedTransport(PeerTransport):
    """Opens and accepts plain TCP connections.

    The first frame of a connection is a hello with the ids of both peers, sent by
    the one that opened it.
    """

    def open_connection(
        self,
        own_id: EntryId,
        own_address: Address,
        peer: EntryId,
        address: Address,
        timeout_s: float,
    ) -> PeerConnection:
        """Return a connection to a peer, opened from the host of `own_address`."""
        sock = gevent.socket.create_connection(
            tuple(address), timeout_s, source_address=(own_address.host, 0)
        )
        connection = FramedConnection(sock)
        connection.send(HELLO_SEPARATOR.join((own_id.encode(), peer.encode())))
        return connection

    def make_server(
        self, own_id: EntryId, address: Address, on_connection: ConnectionHandler
    ) -> StreamServer:
        """Return a server that accepts connections from peers."""

        def accept(sock: gevent.socket.socket, source: tuple) -> None:
            connection = FramedConnection(sock)
            try:
                sender = read_hello(connection, own_id)
            except OSError:
                connection.close_socket()
                return
            on_connection(sender, connection)

        return StreamServer(tuple(address), accept, backlog=LISTEN_BACKLOG)


def read_hello(connection: FramedConnection, own_id: EntryId) -> EntryId:
    """Return the id of the peer that opened the connection, or raise OSError."""
    hello = connection.recv()
    sender, _, receiver = hello[:MAX_HELLO_BYTES].partition(HELLO_SEPARATOR)
    if receiver.decode("latin-1") != own_id or not sender:
        raise LinkClosedError(f"this is the entry {own_id}")
    return EntryId(sender.decode("latin-1"))
