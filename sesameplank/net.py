"""Addresses, and the socket options that all processes of the project use."""

import contextlib
import fcntl
import re
import socket
import struct
import termios

import gevent.socket

PORT_PATTERN = re.compile("[0-9]{1,5}")
# Other hosts make the resolver raise errors that are no OSError.
HOST_LABEL = r"[0-9A-Za-z_:%\[\]-]{1,63}"
HOST_PATTERN = re.compile(rf"{HOST_LABEL}(\.{HOST_LABEL})*")
MAX_PORT = 65_535
# Connection states of Linux: closed, and closed by the peer alone.
TCP_CLOSE = 7
TCP_CLOSE_WAIT = 8
# Layout of `struct tcp_info` of Linux; the offsets are in bytes.
TCP_INFO_BYTES = 104
UNACCEPTED_OFFSET = 24
STATE_OFFSET = 0
LAST_DATA_RECEIVED_MS_OFFSET = 52
ROUND_TRIP_US_OFFSET = 68
# A `struct linger` with a timeout of 0: close() sends a TCP reset, not a FIN.
LINGER_RESET = struct.pack("ii", 1, 0)


class Address(tuple):
    """An IP address and a port, written `host:port`."""

    __slots__ = ()

    def __new__(cls, host: str, port: int) -> "Address":
        """Return the address of a host and a port."""
        return super().__new__(cls, (host, port))

    @classmethod
    def parse(cls, text: str) -> "Address":
        """Parse `host:port`, or raise ValueError, which states the expected form."""
        host, separator, port = text.rpartition(":")
        if not separator or not host or not PORT_PATTERN.fullmatch(port):
            raise ValueError(f"{text!r} is not an address; write it as IP:PORT")
        if not HOST_PATTERN.fullmatch(host):
            raise ValueError(f"{text!r} has no usable host; write it as IP:PORT")
        if int(port) > MAX_PORT:
            raise ValueError(f"{text!r} has a port over {MAX_PORT}; write a lower one")
        return cls(host, int(port))

    @property
    def host(self) -> str:
        """The IP address."""
        return self[0]

    @property
    def port(self) -> int:
        """The port number."""
        return self[1]

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


def set_no_delay(sock: socket.socket) -> None:
    """Set TCP_NODELAY, so that small writes are sent at once.

    Otherwise, they are held back for 40 ms by the peer's delayed acknowledgements.
    """
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


def get_receive_age_s(sock: socket.socket) -> float:
    """Return the seconds since the kernel last received data on the socket.

    A large value reveals a request that waited in the kernel's buffers while the
    process was stopped.
    """
    return read_tcp_info(sock, LAST_DATA_RECEIVED_MS_OFFSET) / 1_000


def get_round_trip_s(sock: socket.socket) -> float:
    """Return the kernel's estimate of the round-trip time, in seconds."""
    return read_tcp_info(sock, ROUND_TRIP_US_OFFSET) / 1_000_000


def has_peer_closed(sock: socket.socket) -> bool:
    """Return whether the peer has closed a connection, even if bytes are unread."""
    info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
    return info[STATE_OFFSET] in (TCP_CLOSE, TCP_CLOSE_WAIT)


def read_tcp_info(sock: socket.socket, offset: int) -> int:
    """Return the unsigned 32-bit integer at an offset of the kernel's `tcp_info`."""
    info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
    (value,) = struct.unpack_from("=I", info, offset)
    return value


def count_unaccepted(listener: socket.socket) -> int:
    """Return how many connections wait in the kernel's queue of a listening socket."""
    return read_tcp_info(listener, UNACCEPTED_OFFSET)


def count_unread_bytes(sock: socket.socket) -> int:
    """Return how many received bytes wait in the kernel to be read."""
    return read_queue_bytes(sock, termios.FIONREAD)


def count_unacknowledged_bytes(sock: socket.socket) -> int:
    """Return how many written bytes the peer's kernel has not acknowledged."""
    return read_queue_bytes(sock, termios.TIOCOUTQ)


def close_connection(sock: socket.socket) -> None:
    """Close a connection, so that no byte leaves the kernel afterwards.

    Bytes that the peer has not acknowledged would be sent again after an orderly close,
    for seconds; a reset drops them. If there are none, the close is orderly, since the
    kernel repeats the end of a connection that gets lost, but not a reset.

    Closing again has no effect.
    """
    if sock.fileno() < 0:
        return
    with contextlib.suppress(OSError):  # The connection may have failed already.
        if count_unacknowledged_bytes(sock):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
    sock.close()


def read_queue_bytes(sock: socket.socket, request: int) -> int:
    """Return the number of bytes that an ioctl request reports for a socket."""
    data = fcntl.ioctl(sock.fileno(), request, b"\0" * struct.calcsize("=i"))
    (value,) = struct.unpack("=i", data)
    return value


def open_connection(
    address: Address, timeout_s: float, source_host: str | None = None
) -> gevent.socket.socket:
    """Open a TCP connection with TCP_NODELAY set, or raise OSError.

    `source_host` is the local IP address to connect from. By default, the kernel
    chooses it.
    """
    source = (source_host, 0) if source_host else None
    sock = gevent.socket.create_connection(address, timeout_s, source)
    set_no_delay(sock)
    return sock


def is_refusing(address: Address, timeout_s: float) -> bool:
    """Return whether nothing listens at an address: it refuses a connection at once."""
    try:
        sock = gevent.socket.create_connection(tuple(address), timeout_s)
    except ConnectionRefusedError:
        return True
    except OSError:  # Whether anything listens there is unknown.
        return False
    sock.close()
    return False
