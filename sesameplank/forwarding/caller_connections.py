"""HTTP/1.1 server connections of callers, with pipelining.

Each request is read completely before it is served, and answers are sent in the
order of the requests. A connection is read while one of its requests is served, so
that the server notices when the caller disconnects; further requests are queued.
"""

from __future__ import annotations

import contextlib
from collections import deque
from typing import TYPE_CHECKING

import gevent
import gevent.socket

from ..logs import log_event
from ..net import (
    count_unacknowledged_bytes,
    count_unread_bytes,
    get_receive_age_s,
    get_round_trip_s,
    has_peer_closed,
    set_no_delay,
)
from .answer_accounts import AnswerStage, CloseCause, PendingRequest
from .http_messages import MessageError, Request, RequestReader
from .request_handling import Reply, RequestContext

if TYPE_CHECKING:
    from .caller_server import CallerServer

READ_BYTES = 65_536
WRITE_TIMEOUT_S = 10.0
LINGER_TIMEOUT_S = 2.0
MAX_LINGERING = 256  # Connections of one server, to leave descriptors for others.
MIN_WAIT_S = 0.02
MIN_READ_TIMEOUT_S = 0.01
FIRST_REQUEST_TIMEOUT_S = 0.2  # Callers connect when they have a request to send.
MAX_PIPELINED = 8
CLOSE_CHECK_INTERVAL_S = 0.1
CONNECT_ROUND_TRIPS = 1
LOOKUP_ROUND_TRIPS = 2  # One to connect to the directory, one for the look-up.
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


class CallerConnection:
    """One connection of a caller, with a queue of pipelined requests."""

    def __init__(
        self, server: CallerServer, sock: gevent.socket.socket, caller_host: str
    ) -> None:
        self.server = server
        self.sock = sock
        self.caller_host = caller_host
        self.accepted_at = server.now()
        self.accounts = server.accounts
        self.queue: deque[PendingRequest] = deque()
        self.last: PendingRequest | None = None
        self.current: RequestContext | None = None
        self.worker: gevent.Greenlet | None = None
        self.is_open = True
        self.close_cause = CloseCause.CALLER_LEFT
        self.is_end_announced = False
        self.is_finishing = False
        self.linger_timer: gevent.Greenlet | None = None
        self.finished_at = 0.0
        self.answered_at = self.accepted_at
        self.discarded_bytes = 0
        self.served = 0
        self.round_trip_s = 0.0
        self.reader: RequestReader | None = None
        self.head_began_at: float | None = None

    @property
    def in_flight(self) -> int:
        """The number of requests that have been read but not answered yet."""
        return len(self.queue) + (self.current is not None)

    @property
    def is_idle(self) -> bool:
        """Return whether no request is expected, arriving, queued or served."""
        if self.has_more or self.in_flight or self.worker is not None:
            return False
        age_s = self.server.now() - self.accepted_at
        return self.served > 0 or age_s >= FIRST_REQUEST_TIMEOUT_S

    def run(self) -> None:
        """Read requests until the caller or this process closes the connection."""
        set_no_delay(self.sock)
        self.round_trip_s = get_round_trip_s(self.sock)
        limits = self.server.get_limits()
        reader = RequestReader(limits.max_header_bytes, limits.max_body_bytes)
        self.reader = reader
        try:
            self.read_requests(reader)
            self.discard_rest()
        except OSError:
            pass  # A reset is handled like an orderly close by the caller.
        finally:
            self.disconnect()

    def read_requests(self, reader: RequestReader) -> None:
        """Read requests until the caller closes or this process ends the connection.

        The limits in force may change meanwhile.
        """
        try:
            while self.is_open and not self.is_finishing:
                data = self.receive(reader)
                self.accounts.bytes_read += len(data)
                limits = self.server.get_limits()
                reader.set_limits(limits.max_header_bytes, limits.max_body_bytes)
                if not data:
                    self.disconnect()
                elif self.is_end_announced:
                    self.discarded_bytes += len(data)
                else:
                    self.process_data(reader, data)
        except MessageError as error:
            self.refuse(error)

    def discard_rest(self) -> None:
        """Discard what the caller still sends until the connection is closed."""
        self.sock.settimeout(None)
        while self.is_open and (data := self.sock.recv(READ_BYTES)):
            self.discarded_bytes += len(data)

    def receive(self, reader: RequestReader) -> bytes:
        """Return the next bytes, or b"" at the end of the stream or idle timeout.

        Wait while the queue of pipelined requests is full; a caller that leaves
        meanwhile ends the stream, although bytes are unread. Raise MessageError if a
        head isn't complete within the timeout, or if no bytes of a body follow within
        it. Bytes that arrived in time are read even if the process is late. The
        timeouts in force may change while this waits.
        """
        while len(self.queue) >= MAX_PIPELINED and self.worker is not None:
            if not self.wait_for_worker():
                return b""
        waiting_since = self.server.now()
        if self.head_began_at is not None:
            waiting_since = self.head_began_at
        while True:
            rest_s = self.get_rest_s(reader, waiting_since)
            self.sock.settimeout(max(MIN_READ_TIMEOUT_S, rest_s))
            try:
                return self.sock.recv(READ_BYTES)
            except TimeoutError:
                is_over = self.get_rest_s(reader, waiting_since) <= 0.0
                if is_over and not count_unread_bytes(self.sock):
                    break
        if reader.in_message:
            raise MessageError("the request took too long; send it at once", 408)
        self.close(CloseCause.CONNECTION_CLOSED)
        return b""

    def wait_for_worker(self) -> bool:
        """Wait until the queue is served; return False if the caller leaves first."""
        worker = self.worker
        while not worker.ready():
            worker.join(CLOSE_CHECK_INTERVAL_S)
            if has_peer_closed(self.sock):
                return False
        return True

    def get_rest_s(self, reader: RequestReader, waiting_since: float) -> float:
        """Return how long to wait for further bytes, in seconds.

        The time counts from the end of the last answer, which a caller may read slowly.
        """
        limits = self.server.get_limits()
        timeout_s = (
            limits.header_timeout_s if reader.in_message else limits.idle_timeout_s
        )
        if self.in_flight or self.worker is not None:
            return timeout_s
        since = max(waiting_since, self.answered_at)
        return since + timeout_s - self.server.now()

    def process_data(self, reader: RequestReader, data: bytes) -> None:
        """Feed bytes to the parser and start serving the complete requests."""
        try:
            reader.feed(data)
        finally:
            complete, reader.complete = reader.complete, []
            self.note_head(reader, is_next=bool(complete))
            self.queue.extend(map(self.note_read, complete))
            self.start_worker()
        self.send_interim_response()

    def note_head(self, reader: RequestReader, *, is_next: bool) -> None:
        """Record when the head that is being read began to arrive.

        `is_next` says that the bytes just read completed the request before it.
        """
        if not (reader.in_message and reader.in_headers):
            self.head_began_at = None
        elif is_next or self.head_began_at is None:
            self.head_began_at = self.server.now()

    def send_interim_response(self) -> None:
        """Ask for the body of the request that is being read, if its caller waits.

        The replies to earlier requests on the connection come first.
        """
        reader = self.reader
        if not reader.expects_continue or reader.in_headers or not reader.in_message:
            return
        if self.worker is None and not self.is_finishing:
            reader.expects_continue = False
            self.send(CONTINUE)

    def note_read(self, request: Request) -> PendingRequest:
        """Record that a request has been read completely."""
        received_at = self.server.now() - self.get_wait_s()
        is_stopping = self.server.is_stopping
        return self.accounts.note_read(request, received_at, is_stopping)

    def get_wait_s(self) -> float:
        """Return for how long bytes that were just read waited in the socket.

        It is long if the process was suspended or busy. The kernel's clock is coarse.
        """
        age_s = get_receive_age_s(self.sock)
        return age_s if age_s >= MIN_WAIT_S else 0.0

    def start_worker(self) -> None:
        """Start a greenlet that serves the queue, unless one is running."""
        if self.queue and self.worker is None:
            self.worker = gevent.spawn(self.serve_queue)

    def serve_queue(self) -> None:
        """Answer the queued requests in order until the queue is empty."""
        try:
            while self.queue and self.is_open and not self.is_finishing:
                pending = self.last = self.queue.popleft()
                pending.stage = AnswerStage.SERVED
                self.current = RequestContext(
                    pending.received_at, self.get_transit_s(), self.caller_host
                )
                self.served += 1
                reply = self.serve(pending.request, self.current)
                self.current = None
                if not self.is_open:
                    return
                self.is_end_announced = self.is_last(pending.request, reply)
                self.answer(pending, reply, self.is_end_announced)
                self.last = None
                self.answered_at = self.server.now()
                if self.is_end_announced:
                    self.finish()
        finally:
            self.worker = None
        self.send_interim_response()

    def is_last(self, request: Request, reply: Reply) -> bool:
        """Return whether the connection is closed after the reply to a request.

        While the server is stopping, that is the reply to the last request of which
        any bytes have arrived. Once it doesn't accept connections any more, it is the
        reply to the last request that has been read, or a caller that always sends
        more could delay the end.
        """
        if reply.close or not request.keep_alive:
            return True
        if not self.server.is_accepting:
            return not self.queue
        return self.server.is_stopping and not self.has_more

    @property
    def is_receiving(self) -> bool:
        """Whether a request has arrived only in part."""
        return self.reader is not None and self.reader.in_message

    @property
    def has_more(self) -> bool:
        """Whether bytes of further requests have arrived on the connection."""
        if self.queue or self.is_receiving:
            return True
        return count_unread_bytes(self.sock) > 0

    def get_transit_s(self) -> float:
        """Return the time that the network adds to a request's latency, in seconds.

        In addition to the round trip of the request itself, its caller may have
        looked up addresses first. The first request on a connection also waited
        for the connection to be opened.
        """
        round_trips = 1
        if not self.served:
            round_trips += CONNECT_ROUND_TRIPS
        if self.server.may_have_looked_up(self.caller_host):
            round_trips += LOOKUP_ROUND_TRIPS
        return self.round_trip_s * round_trips

    def serve(self, request: Request, context: RequestContext) -> Reply:
        """Return the handler's reply, or a 500 reply if the handler raises."""
        try:
            return self.server.handler(request, context)
        except Exception as error:
            log_event("request_failed", error=repr(error))
            return Reply(500, close=True)

    def refuse(self, error: MessageError) -> None:
        """Send an error response once all earlier requests are answered, and close."""
        if self.worker is not None:
            self.worker.join()
        if self.is_open and not self.is_finishing:
            self.send(Reply(error.status, body=str(error).encode()).encode(True))
        self.finish()

    def answer(self, pending: PendingRequest, reply: Reply, close: bool) -> None:
        """Write the reply to a request."""
        pending.stage = AnswerStage.ANSWERED
        self.send(reply.encode(close), pending)
        if self.is_open:
            self.accounts.note_answered(pending, reply.status)

    def send(self, data: bytes, pending: PendingRequest | None = None) -> None:
        """Write bytes, and close the connection if that fails or times out.

        `pending` is the request that the bytes are the reply to, if any.
        """
        if not self.is_open:
            return
        timeout = gevent.Timeout(WRITE_TIMEOUT_S)
        try:
            with timeout:
                self.write(data, pending)
        except gevent.Timeout as expired:
            if expired is not timeout:
                raise
            self.close(CloseCause.WRITE_TIMEOUT)
        except OSError:
            self.close(CloseCause.WRITE_FAILED)

    def write(self, data: bytes, pending: PendingRequest | None) -> None:
        """Write bytes, and record how many of a reply are not written yet."""
        unwritten = memoryview(data)
        while unwritten:
            if pending is not None:
                pending.unwritten = len(unwritten)
            with contextlib.suppress(TimeoutError):  # That of the next read.
                written = self.sock.send(unwritten)
                self.accounts.bytes_written += written
                unwritten = unwritten[written:]

    def finish(self) -> None:
        """End the connection in a way that lets the caller receive all replies.

        To close it while bytes of the caller are unread would reset it, and drop the
        replies that the caller has not received. Therefore only the write side is shut
        down, and the connection lingers until the caller closes or for a bounded time.
        """
        if not self.is_open or self.is_finishing:
            return
        self.is_end_announced = self.is_finishing = True
        self.finished_at = self.server.now()
        self.server.lingering += 1
        self.close_cause = CloseCause.CONNECTION_CLOSED
        self.report_pending()
        with contextlib.suppress(OSError):
            self.sock.shutdown(gevent.socket.SHUT_WR)
        if self.server.lingering > MAX_LINGERING:
            self.close(CloseCause.CONNECTION_CLOSED)
        else:
            self.linger()

    def linger(self) -> None:
        """Close the connection after LINGER_TIMEOUT_S, or later for a slow caller."""
        self.linger_timer = gevent.spawn_later(LINGER_TIMEOUT_S, self.end_lingering)

    def end_lingering(self) -> None:
        """Close the connection unless its caller is still receiving replies."""
        lingered_s = self.server.now() - self.finished_at
        is_receiving = count_unacknowledged_bytes(self.sock) > 0
        if is_receiving and lingered_s < WRITE_TIMEOUT_S:
            self.linger()
        else:
            self.close(CloseCause.CONNECTION_CLOSED)

    def disconnect(self) -> None:
        """Notify the handler of the request in progress, if any, and close."""
        if self.current is not None:
            self.current.mark_disconnected(self.close_cause)
        self.close(CloseCause.CALLER_LEFT)
        self.report_pending()

    def get_pending(self) -> list[PendingRequest]:
        """Return the requests that are neither answered nor reported."""
        requests = [*self.queue] if self.last is None else [self.last, *self.queue]
        return [pending for pending in requests if not pending.has_ended]

    def report_pending(self) -> None:
        """Report the requests that the closed connection leaves without an answer."""
        server = self.server
        if self.current is not None:
            self.last.calls = self.current.calls
        for pending in self.get_pending():
            self.accounts.note_unanswered(
                pending,
                self.close_cause,
                server.now(),
                server.is_stopping,
                str(server.address),
            )

    def report_unread(self) -> None:
        """Report received bytes that are lost because this process closes first."""
        unread = self.discarded_bytes + count_unread_bytes(self.sock)
        if unread:
            self.accounts.note_unread(
                self.close_cause,
                unread,
                count_unacknowledged_bytes(self.sock),
                self.server.is_stopping,
            )

    def close(self, cause: CloseCause) -> None:
        """Close the connection immediately, and report what is lost by that."""
        if not self.is_open:
            return
        self.is_open = False
        if self.is_finishing:
            self.server.lingering -= 1
        else:
            self.close_cause = cause
        if self.linger_timer not in (None, gevent.getcurrent()):
            self.linger_timer.kill(block=False)
        self.report_pending()
        self.report_unread()
        with contextlib.suppress(OSError):
            self.sock.shutdown(gevent.socket.SHUT_RDWR)
        self.sock.close()
