"""Addresses and sockets as every process of the project sets them up."""

import socket
import struct

import gevent.socket

TCP_INFO_BYTES = 104
LAST_DATA_RECEIVED_OFFSET = 52
ROUND_TRIP_OFFSET = 68


class Address(tuple):
    """An IP number and port, written `host:port`."""

    __slots__ = ()

    def __new__(cls, host: str, port: int) -> "Address":
        """Make an address from its two parts."""
        return super().__new__(cls, (host, port))

    @classmethod
    def parse(cls, text: str) -> "Address":
        """Parse `host:port`, or raise ValueError naming the form."""
        host, separator, port = text.rpartition(":")
        if not separator or not host or not port.isdigit():
            raise ValueError(f"{text!r} is not an address; write it as IP:PORT")
        return cls(host, int(port))

    @property
    def host(self) -> str:
        """The IP number."""
        return self[0]

    @property
    def port(self) -> int:
        """The port."""
        return self[1]

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


def set_no_delay(sock: socket.socket) -> None:
    """Send small writes at once; delayed acknowledgements cost 40 ms otherwise."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


def get_receive_age_s(sock: socket.socket) -> float:
    """Return the seconds since the kernel last received data on the socket.

    A request that waited in the buffers of a stopped process is known by it.
    """
    return read_tcp_info(sock, LAST_DATA_RECEIVED_OFFSET) / 1_000


def get_round_trip_s(sock: socket.socket) -> float:
    """Return the kernel's estimate of the time to the peer and back, in seconds."""
    return read_tcp_info(sock, ROUND_TRIP_OFFSET) / 1_000_000


def read_tcp_info(sock: socket.socket, offset: int) -> int:
    """Return one whole number of the kernel's `tcp_info`."""
    info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
    (value,) = struct.unpack_from("=I", info, offset)
    return value


def open_connection(
    address: Address, timeout_s: float, source_host: str | None = None
) -> gevent.socket.socket:
    """Open a TCP connection without send delay, or raise OSError.

    `source_host` is the IP number to connect from; by default the machine's.
    """
    source = (source_host, 0) if source_host else None
    sock = gevent.socket.create_connection(address, timeout_s, source)
    set_no_delay(sock)
    return sock
