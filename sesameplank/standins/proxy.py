"""A TCP proxy that injects faults into the connections that it forwards."""

import contextlib
import itertools
import random
import socket
from collections.abc import Collection
from enum import Enum

import gevent
import msgspec
from gevent.event import Event
from gevent.server import StreamServer

from ..net import LINGER_RESET, Address, open_connection, set_no_delay

CHUNK_BYTES = 65_536
CONNECT_TIMEOUT_S = 5.0


class Direction(Enum):
    """The direction of a byte stream: requests to the upstream, answers from it."""

    REQUEST = "request"
    ANSWER = "answer"


class Faults(msgspec.Struct):
    """The faults that a proxy injects into its connections.

    `refuse` resets new connections. `delay_s` and a random part of up to
    `jitter_s` seconds delay each chunk of bytes. Bytes in a `stalled` direction
    are held back until the stall is removed. Reset rates are the probabilities,
    for each chunk, that the connection is reset before the chunk is forwarded.
    `reset_at_byte` resets a connection after that many request bytes.
    `close_in_answer_at_byte` closes it after that many bytes of a chunk of an answer.
    """

    refuse: bool = False
    delay_s: float = 0.0
    jitter_s: float = 0.0
    stalled: tuple[Direction, ...] = ()
    request_reset_rate: float = 0.0
    answer_reset_rate: float = 0.0
    reset_at_byte: int | None = None
    close_in_answer_at_byte: int | None = None


def reset_socket(sock) -> None:
    """Close a socket with a TCP reset, which wakes greenlets that wait on it."""
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
    sock.close()


class ProxiedConnection:
    """One connection through a proxy: a socket to each side and two greenlets."""

    def __init__(self, proxy: "FaultProxy", source: str, downstream, upstream) -> None:
        self.proxy = proxy
        self.source = source
        self.downstream = downstream
        self.upstream = upstream
        self.request_bytes = 0

    def run(self) -> None:
        """Forward both directions until both have ended, then close the sockets."""
        pumps = [
            gevent.spawn(self.pump, Direction.REQUEST, self.downstream, self.upstream),
            gevent.spawn(self.pump, Direction.ANSWER, self.upstream, self.downstream),
        ]
        try:
            gevent.joinall(pumps)
        finally:
            gevent.killall(pumps)
            self.downstream.close()
            self.upstream.close()

    def pump(self, direction: Direction, source, sink) -> None:
        """Forward chunks in one direction, with the faults in force for each chunk."""
        try:
            while chunk := source.recv(CHUNK_BYTES):
                if not self.apply_faults(direction, chunk, sink):
                    self.reset()
                    return
                cut_at = self.proxy.get_faults(self.source).close_in_answer_at_byte
                if direction is Direction.ANSWER and cut_at is not None:
                    sink.sendall(chunk[:cut_at])
                    break
                sink.sendall(chunk)
            sink.shutdown(socket.SHUT_WR)
        except OSError:
            self.reset()

    def apply_faults(self, direction: Direction, chunk: bytes, sink) -> bool:
        """Delay a chunk as the faults require, and return whether to forward it.

        If the result is False, the connection must be reset. At `reset_at_byte`,
        the part of the chunk up to that byte is sent first.
        """
        faults = self.proxy.get_faults(self.source)
        rng = self.proxy.rng
        if faults.delay_s or faults.jitter_s:
            gevent.sleep(faults.delay_s + rng.uniform(0.0, faults.jitter_s))
        self.proxy.wait_while_stalled(self.source, direction)
        if direction is Direction.ANSWER:
            return rng.random() >= faults.answer_reset_rate
        limit = faults.reset_at_byte
        if limit is not None and self.request_bytes + len(chunk) > limit:
            sink.sendall(chunk[: max(0, limit - self.request_bytes)])
            return False
        self.request_bytes += len(chunk)
        return rng.random() >= faults.request_reset_rate

    def reset(self) -> None:
        """Reset the connections to both sides."""
        for sock in (self.downstream, self.upstream):
            reset_socket(sock)


class FaultProxy:
    """Listens on one address and forwards to another; a context manager.

    Faults apply to all connections, or to those from one source host.
    """

    def __init__(self, listen: Address, upstream: Address, rng: random.Random) -> None:
        self.listen = listen
        self.upstream = upstream
        self.rng = rng
        self.faults = Faults()
        self.faults_by_source: dict[str, Faults] = {}
        self.changed = Event()
        self.connections: set[ProxiedConnection] = set()
        self.accepted = 0
        self.server = StreamServer(tuple(listen), self.handle)

    def __enter__(self) -> "FaultProxy":
        self.server.start()
        return self

    def __exit__(self, *exc_info: object) -> None:
        self.server.stop(timeout=0.1)
        self.reset_all()

    def get_faults(self, source: str) -> Faults:
        """Return the faults in force for connections from a host."""
        return self.faults_by_source.get(source, self.faults)

    def set_faults(self, faults: Faults, source: str | None = None) -> None:
        """Set the faults of open and new connections from the host `source`.

        Without `source`, set those of all hosts that have no faults of their own.
        """
        if source is None:
            self.faults = faults
        else:
            self.faults_by_source[source] = faults
        self.wake()

    def clear_faults(self) -> None:
        """Remove all faults, and reset the connections that are subject to one."""
        for connection in list(self.connections):
            if self.get_faults(connection.source) != Faults():
                connection.reset()
        self.faults = Faults()
        self.faults_by_source.clear()
        self.wake()

    def wake(self) -> None:
        """Make stalled connections check the faults again."""
        changed, self.changed = self.changed, Event()
        changed.set()

    def wait_while_stalled(self, source: str, direction: Direction) -> None:
        """Block until the direction is not stalled."""
        while direction in self.get_faults(source).stalled:
            self.changed.wait()

    def reset_all(self) -> None:
        """Reset all open connections."""
        for connection in list(self.connections):
            connection.reset()

    def handle(self, sock, address) -> None:
        """Forward one accepted connection."""
        self.accepted += 1
        source = address[0]
        if self.get_faults(source).refuse:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
            sock.close()
            return
        set_no_delay(sock)
        try:
            upstream = open_connection(self.upstream, CONNECT_TIMEOUT_S)
        except OSError:
            sock.close()
            return
        upstream.settimeout(None)
        connection = ProxiedConnection(self, source, sock, upstream)
        self.connections.add(connection)
        try:
            connection.run()
        finally:
            self.connections.discard(connection)


class ProxyGroup:
    """One proxy in front of each node, to block traffic between pairs of nodes.

    `proxies` maps the host of a node to the proxy in front of it. Nodes connect
    from their own host, so that a proxy can tell which node a connection is from.
    """

    def __init__(self, proxies: dict[str, FaultProxy]) -> None:
        self.proxies = proxies
        self.resources = contextlib.ExitStack()

    def __enter__(self) -> "ProxyGroup":
        with contextlib.ExitStack() as stack:
            for proxy in self.proxies.values():
                stack.enter_context(proxy)
            self.resources = stack.pop_all()
        return self

    def __exit__(self, *exc_info: object) -> None:
        self.resources.close()

    def partition(self, left: Collection[str], right: Collection[str]) -> None:
        """Stall open connections and refuse new ones between two groups of hosts."""
        partitioned = Faults(refuse=True, stalled=(Direction.REQUEST, Direction.ANSWER))
        for source, sink in itertools.product(left, right):
            self.proxies[sink].set_faults(partitioned, source)
            self.proxies[source].set_faults(partitioned, sink)

    def block_one_way(self, source: str, sink: str) -> None:
        """Hold back all bytes from one host to another.

        This applies to the connections that either of them opened.
        """
        self.proxies[sink].set_faults(Faults(stalled=(Direction.REQUEST,)), source)
        self.proxies[source].set_faults(Faults(stalled=(Direction.ANSWER,)), sink)

    def heal(self) -> None:
        """Remove all faults, and reset the connections that are subject to one."""
        for proxy in self.proxies.values():
            proxy.clear_faults()
