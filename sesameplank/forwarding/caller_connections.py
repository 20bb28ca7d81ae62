"""Connections of callers: requests read whole, answers in order.

A connection is read while its request is served, so that a caller who leaves is
noticed; requests that follow wait their turn.
"""

import contextlib
from collections import deque
from collections.abc import Callable
from http import HTTPStatus

import gevent
import gevent.socket
import msgspec
from gevent.server import StreamServer

from ..core.routes import RequestLimits
from ..logs import log_event
from ..net import Address, get_round_trip_s, set_no_delay
from .http_messages import (
    Headers,
    MessageError,
    Request,
    RequestReader,
    encode_response,
)

READ_BYTES = 65_536
WRITE_TIMEOUT_S = 10.0
MAX_PIPELINED = 8
OPENING_TRIPS = 1
LOOK_UP_TRIPS = 2  # A connection to the directory, and the question itself.
LISTEN_BACKLOG = 1_024
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


class Reply(msgspec.Struct):
    """An answer to a caller; `close` ends the connection behind it.

    `body` is None if only the head is sent, as an answer to HEAD.
    """

    status: int
    headers: Headers = []
    body: bytes | None = b""
    close: bool = False

    def encode(self, close: bool) -> bytes:
        """Return the answer's bytes."""
        try:
            reason = HTTPStatus(self.status).phrase
        except ValueError:
            reason = "Unknown"
        return encode_response(
            self.status, reason, self.headers, self.body, close=close or self.close
        )


class RequestContext:
    """Tells the serving of a request whether its caller is still there.

    `received_at` is when the request was read, and `transit_s` the time that
    passes on the network before that and after the answer, both in seconds.
    """

    def __init__(self, received_at: float, transit_s: float = 0.0) -> None:
        self.received_at = received_at
        self.transit_s = transit_s
        self.is_disconnected = False
        self.on_disconnect: Callable[[], None] = lambda: None

    def mark_disconnected(self) -> None:
        """Note that the caller closed its connection."""
        self.is_disconnected = True
        self.on_disconnect()


Handler = Callable[[Request, RequestContext], Reply]


class CallerServer:
    """Listens on one address; a context manager that closes.

    `get_limits` returns the limits in force. While `is_stopping` every answer
    ends its connection.
    """

    def __init__(
        self,
        address: Address,
        handler: Handler,
        get_limits: Callable[[], RequestLimits],
        now: Callable[[], float],
    ) -> None:
        self.address = address
        self.handler = handler
        self.get_limits = get_limits
        self.now = now
        self.is_stopping = False
        self.connections: set[CallerConnection] = set()
        self.server = StreamServer(tuple(address), self.accept, backlog=LISTEN_BACKLOG)

    def __enter__(self) -> "CallerServer":
        self.server.start()
        return self

    def __exit__(self, *exc_info: object) -> None:
        self.server.stop(timeout=0)
        for connection in list(self.connections):
            connection.close()

    @property
    def in_flight(self) -> int:
        """Requests that were read and are not answered."""
        return sum(connection.in_flight for connection in self.connections)

    def accept(self, sock: gevent.socket.socket, source: tuple) -> None:
        """Serve one connection until it ends."""
        connection = CallerConnection(self, sock)
        self.connections.add(connection)
        try:
            connection.run()
        finally:
            self.connections.discard(connection)

    def stop_accepting(self) -> None:
        """Take no further connections."""
        self.server.close()

    def close_idle(self) -> None:
        """Close the connections on which no request is read or served.

        A request that crosses the close is not passed on, so its caller may
        send it elsewhere.
        """
        for connection in list(self.connections):
            if connection.is_idle:
                connection.close()


class CallerConnection:
    """One connection of a caller."""

    def __init__(self, server: CallerServer, sock: gevent.socket.socket) -> None:
        self.server = server
        self.sock = sock
        self.queue: deque[Request] = deque()
        self.current: RequestContext | None = None
        self.worker: gevent.Greenlet | None = None
        self.is_open = True
        self.is_finishing = False
        self.served = 0
        self.round_trip_s = 0.0
        self.reader: RequestReader | None = None

    @property
    def in_flight(self) -> int:
        """Requests that were read and are not answered."""
        return len(self.queue) + (self.current is not None)

    @property
    def is_idle(self) -> bool:
        """Tell whether no request is being read or served."""
        reading = self.reader is not None and self.reader.in_message
        return not reading and not self.in_flight and self.worker is None

    def run(self) -> None:
        """Read requests until the caller or this side closes."""
        set_no_delay(self.sock)
        self.round_trip_s = get_round_trip_s(self.sock)
        limits = self.server.get_limits()
        reader = RequestReader(limits.max_header_bytes, limits.max_body_bytes)
        self.reader = reader
        try:
            while self.is_open and not self.is_finishing:
                data = self.receive(reader, limits)
                if not data:
                    break
                self.take(reader, data)
        except MessageError as error:
            self.refuse(error)
        except OSError:
            pass  # A caller that resets its connection has left; see below.
        finally:
            self.end()

    def receive(self, reader: RequestReader, limits: RequestLimits) -> bytes:
        """Return the next bytes, or none at the end or after too long a wait."""
        while len(self.queue) >= MAX_PIPELINED and self.worker is not None:
            self.worker.join()
        self.sock.settimeout(self.get_timeout_s(reader, limits))
        try:
            return self.sock.recv(READ_BYTES)
        except TimeoutError:
            if self.in_flight:
                return self.receive(reader, limits)
            if reader.in_message:
                raise MessageError(
                    "the request took too long; send it at once", 408
                ) from None
            return b""

    def get_timeout_s(
        self, reader: RequestReader, limits: RequestLimits
    ) -> float | None:
        """Return how long to wait for bytes, in seconds; None without limit."""
        if reader.in_message:
            return limits.header_timeout_s
        return None if self.in_flight else limits.idle_timeout_s

    def take(self, reader: RequestReader, data: bytes) -> None:
        """Feed bytes to the parser and serve the requests that are whole."""
        try:
            reader.feed(data)
        finally:
            complete, reader.complete = reader.complete, []
            self.queue.extend(complete)
            self.start_worker()
        if reader.expects_continue and not reader.in_headers and reader.in_message:
            reader.expects_continue = False
            self.send(CONTINUE)

    def start_worker(self) -> None:
        """Serve the requests that wait, one after the other."""
        if self.queue and self.worker is None:
            self.worker = gevent.spawn(self.work)

    def work(self) -> None:
        """Answer requests until none waits."""
        try:
            while self.queue and self.is_open:
                request = self.queue.popleft()
                self.current = RequestContext(self.server.now(), self.get_transit_s())
                self.served += 1
                reply = self.serve(request, self.current)
                is_disconnected = self.current.is_disconnected
                self.current = None
                close = self.server.is_stopping or not request.keep_alive
                if not is_disconnected:
                    self.send(reply.encode(close))
                if close or reply.close or is_disconnected:
                    self.close()
        finally:
            self.worker = None

    def get_transit_s(self) -> float:
        """Return the network's part of a request's time, in seconds.

        Besides its own way and back, a request may have waited while its caller
        asked for addresses, and the first one for the connection's opening.
        """
        trips = 1 + LOOK_UP_TRIPS + (0 if self.served else OPENING_TRIPS)
        return self.round_trip_s * trips

    def serve(self, request: Request, context: RequestContext) -> Reply:
        """Return the handler's answer; a fault of ours is answered too."""
        try:
            return self.server.handler(request, context)
        except Exception as error:
            log_event("request_failed", error=repr(error))
            return Reply(500, close=True)

    def refuse(self, error: MessageError) -> None:
        """Answer what is no proper request once all before it are answered."""
        self.is_finishing = True
        if self.worker is not None:
            self.worker.join()
        if self.is_open:
            self.send(Reply(error.status, body=str(error).encode()).encode(True))

    def send(self, data: bytes) -> None:
        """Write bytes; a caller that does not take them is closed."""
        if not self.is_open:
            return
        try:
            with gevent.Timeout(WRITE_TIMEOUT_S, TimeoutError):
                self.sock.sendall(data)
        except OSError:
            self.close()

    def end(self) -> None:
        """Close once the caller has left or the last request is answered."""
        if self.current is not None:
            self.current.mark_disconnected()
        self.close()

    def close(self) -> None:
        """Close the connection at once."""
        if not self.is_open:
            return
        self.is_open = False
        with contextlib.suppress(OSError):
            self.sock.shutdown(gevent.socket.SHUT_RDWR)
        self.sock.close()
