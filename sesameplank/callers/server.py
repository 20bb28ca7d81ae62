"""The HTTP server for callers, with limits on connections, sizes and time."""

import contextlib
import itertools
import socket
from enum import Enum

import gevent
import gevent.pywsgi
import msgspec

from ..core.common.clock import Clock, SystemClock
from ..exceptions import StopReached
from ..ids import RequestId
from ..logs import LogLimiter, log_event
from ..net import Address, get_receive_age_s, has_peer_closed
from ..wsgi import QuietHandler, WsgiApp
from .app import HAS_LEFT_KEY, RECEIVE_AGE_KEY, REQUEST_ID_KEY
from .problems import (
    PROBLEM_JSON,
    STATUSES,
    ProblemKind,
    Refusal,
    make_stop_refusal,
)

MAX_HEADER_BYTES = 16_384
HEADER_TIMEOUT_S = 5.0
SOCKET_TIMEOUT_S = 60.0
MAX_DISCARD_BYTES = 1_048_576
DISCARD_TIMEOUT_S = 1.0
DISCARD_CHUNK_BYTES = 16_384


class Stage(Enum):
    """How far a connection is with its current request.

    READING is until the headers are read, RUNNING until the answer is known.
    """

    IDLE = "idle"
    READING = "reading"
    RUNNING = "running"
    WRITING = "writing"
    CLOSING = "closing"


BUSY_STAGES = frozenset({Stage.READING, Stage.RUNNING, Stage.WRITING})


class HeadersTooLargeError(ValueError):
    """The headers, without the request line, exceed MAX_HEADER_BYTES."""


class HeadersTooSlowError(ValueError):
    """The headers did not arrive within HEADER_TIMEOUT_S."""


class BoundedLineReader:
    """Reads lines of a stream up to a total number of bytes."""

    def __init__(self, stream, max_bytes: int) -> None:
        self.stream = stream
        self.remaining_bytes = max_bytes

    def readline(self, limit: int = -1) -> bytes:
        """Return the next line, or raise HeadersTooLargeError."""
        bound = (
            self.remaining_bytes + 1
            if limit < 0
            else min(limit, self.remaining_bytes + 1)
        )
        line = self.stream.readline(bound)
        self.remaining_bytes -= len(line)
        if self.remaining_bytes < 0:
            raise HeadersTooLargeError(f"over {MAX_HEADER_BYTES} bytes")
        return line


class BoundedInput(gevent.pywsgi.Input):
    """A request body whose unread part is discarded up to a limit.

    `is_drained` is False if part of the body remains on the connection.
    """

    __slots__ = ("is_drained",)

    def __init__(self, *args, **kwargs) -> None:
        super().__init__(*args, **kwargs)
        self.is_drained = True

    def _discard(self) -> None:
        """Discard the unread part of the body.

        Stop after MAX_DISCARD_BYTES or DISCARD_TIMEOUT_S.
        """
        if not self.chunked_input and self.position >= (self.content_length or 0):
            return
        self.is_drained = False
        self.send_100_continue_enabled = False
        with gevent.Timeout(DISCARD_TIMEOUT_S, False):
            for _ in range(0, MAX_DISCARD_BYTES, DISCARD_CHUNK_BYTES):
                if not self.read(DISCARD_CHUNK_BYTES):
                    self.is_drained = True
                    return


class CallersHandler(QuietHandler):
    """Handles one connection of a caller, with limits on sizes and time.

    `write_buffer` collects the bytes of a response while its headers are written.
    `read_at` is when the current request began to arrive, in seconds of the clock.
    `was_closed_idle` is whether a stop closed the connection while it was idle.
    """

    write_buffer: bytearray | None = None

    def __init__(self, sock, address, server, rfile=None) -> None:
        sock.settimeout(SOCKET_TIMEOUT_S)
        super().__init__(sock, address, server, rfile)
        self.greenlet = gevent.getcurrent()
        self.stage = Stage.IDLE
        self.read_at = 0.0
        self.was_closed_idle = False

    def handle(self) -> None:
        """Answer the requests of the connection one by one, then close it."""
        self.server.handlers.add(self)
        try:
            while self.wait_for_request() and self.answer_next():
                pass
        except StopReached:
            self.send_last(*self._make_refusal(make_stop_refusal()))
        finally:
            self.stage = Stage.CLOSING
            self.close()
            self.server.handlers.discard(self)

    def wait_for_request(self) -> bool:
        """Wait for the first byte of a request; return False if none comes."""
        self.stage = Stage.IDLE
        try:
            if not self.server.is_closing:
                return bool(self.rfile.peek(1))
        except OSError:  # The caller closed the connection or left it unused.
            return False
        except StopReached:
            pass
        self.was_closed_idle = not self.has_unread_bytes()
        return not self.was_closed_idle

    def has_unread_bytes(self) -> bool:
        """Return whether bytes have arrived that were not read yet."""
        self.socket.settimeout(0.0)
        try:
            return bool(self.rfile.peek(1))
        except OSError:
            return False
        finally:
            self.socket.settimeout(SOCKET_TIMEOUT_S)

    def answer_next(self) -> bool:
        """Read and answer one request; return whether the connection stays open."""
        self.stage = Stage.READING
        self.environ = None
        self.read_at = self.server.clock.now()
        result = self.handle_one_request()
        if result in (None, True):
            return result is True
        self.send_last(*result)
        return False

    def send_last(self, status: str, response: bytes) -> None:
        """Send a whole response, after which the connection is closed."""
        self.stage = Stage.WRITING
        try:
            self.socket.sendall(response)
        except OSError as error:
            self.log_unanswered(repr(error))

    def close(self) -> None:
        """Close the connection, without a reset that could destroy the answer."""
        sock = self.__dict__.pop("socket")
        self.__dict__.pop("wsgi_input", None)
        self.__dict__.pop("rfile").close()
        unread = close_gracefully(sock)
        if unread and self.was_closed_idle:
            self.server.note_unanswered(stage="unread", bytes=unread)

    def log_unanswered(self, cause: str) -> None:
        """Log that the current request ends without a whole answer."""
        self.server.note_unanswered(
            request_id=(self.environ or {}).get(REQUEST_ID_KEY, ""),
            stage=self.stage.value,
            cause=cause,
            after_ms=(self.server.clock.now() - self.read_at) * 1_000,
        )

    def start_response(self, status, headers, exc_info=None):
        """Start a response; the answer is known from now on."""
        self.stage = Stage.WRITING
        return super().start_response(status, headers, exc_info)

    def finalize_headers(self) -> None:
        """Add a header if a stopping server closes the connection after the response.

        The connection stays open while requests wait on it, so that the last of them
        is answered too.
        """
        if self.server.is_stopping and not self.has_unread_bytes():
            self.close_connection = True
            self.response_headers = [
                item for item in self.response_headers if item[0] != b"Connection"
            ]
            self.response_headers.append((b"Connection", b"close"))
        super().finalize_headers()

    def MessageClass(self, stream, *args):  # noqa: N802 - the name is gevent's.
        """Parse the headers, or raise HeadersTooLargeError over MAX_HEADER_BYTES."""
        return super().MessageClass(BoundedLineReader(stream, MAX_HEADER_BYTES), *args)

    def read_request(self, raw_requestline: str) -> bool:
        """Read and check the headers, or raise ValueError.

        Return whether they were read.
        """
        with gevent.Timeout(HEADER_TIMEOUT_S, HeadersTooSlowError("headers")):
            is_read = super().read_request(raw_requestline)
        lengths = set(self.headers.get_all("content-length", ()))
        if len(lengths) > 1:
            raise ValueError("the Content-Length headers differ")
        coding = self.headers.get("transfer-encoding", "chunked")
        if coding.lower() != "chunked":
            raise ValueError(f"the transfer coding {coding!r} is not supported")
        return is_read

    def get_environ(self) -> dict:
        """Return the WSGI environment, with a BoundedInput as its body."""
        environ = super().get_environ()
        original_input = self.wsgi_input
        self.wsgi_input = environ["wsgi.input"] = BoundedInput(
            original_input.rfile,
            original_input.content_length,
            original_input.socket,
            original_input.chunked_input,
        )
        environ["wsgi.input_terminated"] = True
        environ[RECEIVE_AGE_KEY] = get_receive_age_s(self.socket)
        environ[HAS_LEFT_KEY] = self.has_caller_left
        return environ

    def has_caller_left(self) -> bool:
        """Return whether the caller has closed the connection."""
        try:
            return has_peer_closed(self.socket)
        except OSError:
            return True

    def handle_one_response(self) -> None:
        """Answer one request, and close the connection if its body is not drained."""
        self.stage = Stage.RUNNING
        super().handle_one_response()
        if not self.wsgi_input.is_drained:
            self.close_connection = True

    def _write_with_headers(self, data: bytes) -> None:
        """Send the headers and the first part of the body in one `sendall` call."""
        self.write_buffer = bytearray()
        super()._write_with_headers(data)
        payload, self.write_buffer = self.write_buffer, None
        self._sendall(payload)

    def _sendall(self, data: bytes) -> None:
        """Send bytes, or buffer them while the headers are written."""
        if self.write_buffer is not None:
            self.write_buffer += data
            return
        try:
            super()._sendall(data)
        except OSError as error:
            self.log_unanswered(repr(error))
            raise

    def _handle_client_error(self, error: Exception) -> tuple[str, bytes]:
        """Log the refusal of a request that could not be parsed.

        Return its status and the complete HTTP response, headers included.
        """
        return self._make_refusal(make_parse_refusal(error))

    def _make_refusal(self, refusal: Refusal) -> tuple[str, bytes]:
        """Log a refusal, and return its status and the complete HTTP response."""
        request_id = self.server.make_request_id()
        log_event(
            "request_refused",
            request_id=request_id,
            kind=refusal.kind.value,
            reason=refusal.detail,
        )
        return STATUSES[refusal.kind], make_raw_response(refusal, request_id)


class CallersServer(gevent.pywsgi.WSGIServer):
    """Serves callers on at most `max_connections` connections at a time.

    While `is_stopping`, connections are closed after the answers to what was sent on
    them. While `is_closing`, idle connections are closed too.
    """

    def __init__(
        self,
        address: Address,
        app: WsgiApp,
        max_connections: int,
        clock: Clock | None = None,
    ) -> None:
        super().__init__(
            tuple(address),
            app,
            log=None,
            error_log=None,
            handler_class=CallersHandler,
        )
        self.clock = clock or SystemClock()
        self.limiter = LogLimiter(self.clock)
        self.handlers: set[CallersHandler] = set()
        self.is_stopping = False
        self.is_closing = False
        self.max_connections = max_connections
        self.open_connections = 0
        self.refused_connections = 0
        self.unanswered_requests = 0
        self.counter = itertools.count(1)

    def make_request_id(self) -> RequestId:
        """Return an id for a request that is refused before it is parsed."""
        return RequestId(f"unparsed-{next(self.counter)}")

    def handle(self, sock: socket.socket, address: tuple) -> None:
        """Serve one connection, or refuse it over the limit of connections."""
        if self.open_connections >= self.max_connections:
            self.refuse(sock)
            return
        self.open_connections += 1
        try:
            super().handle(sock, address)
        finally:
            self.open_connections -= 1

    def stop(self, timeout: float | None = None) -> None:
        """Stop listening, and serve the connections that wait to be accepted.

        The socket is closed right after the last of them, since any later one is reset.
        """
        if not self.closed:
            self.stop_accepting()
            self.accept_waiting()
            self.socket.close()
        super().stop(timeout)

    def accept_waiting(self) -> None:
        """Accept the connections in the queue of the listener."""
        try:
            while (accepted := self.do_read()) is not None:
                self.do_handle(*accepted)
        except OSError as error:
            log_event("accept_failed", error=repr(error))

    def note_unanswered(self, **fields: object) -> None:
        """Count and log a request without a whole answer; limited unless stopping."""
        self.unanswered_requests += 1
        suppressed = 0 if self.is_stopping else self.limiter.take()
        if suppressed is not None:
            log_event(
                "request_unanswered",
                **fields,
                stopping=self.is_stopping,
                suppressed=suppressed,
            )

    def get_busy(self) -> list[CallersHandler]:
        """Return the handlers of the connections with an unanswered request."""
        return [item for item in self.handlers if item.stage in BUSY_STAGES]

    def cut_off(self) -> None:
        """Raise StopReached in all requests without an answer, which refuses them."""
        stages = (Stage.READING, Stage.RUNNING)
        gevent.get_hub().loop.run_callback(self.interrupt, stages)

    def close_idle(self) -> None:
        """Close the connections on which no byte of a request has arrived."""
        self.is_closing = True
        gevent.get_hub().loop.run_callback(self.interrupt, (Stage.IDLE,))

    def interrupt(self, stages: tuple[Stage, ...]) -> None:
        """Raise StopReached in the handlers in some stages; called in the hub."""
        for handler in list(self.handlers):
            if handler.stage in stages:
                handler.greenlet.throw(StopReached())

    def refuse(self, sock: socket.socket) -> None:
        """Send a problem document on a connection over the limit, and close it."""
        self.refused_connections += 1
        refusal = Refusal(
            ProblemKind.OVERLOADED,
            f"the entry serves its limit of {self.max_connections} connections",
            "use another entry of the address list, or fewer connections",
            retry_after_ms=1_000,
        )
        sock.settimeout(DISCARD_TIMEOUT_S)
        request_id = self.make_request_id()
        try:
            sock.sendall(make_raw_response(refusal, request_id))
        except OSError as error:
            log_event(
                "connection_refusal_lost", request_id=request_id, error=repr(error)
            )
        close_gracefully(sock)


def close_gracefully(sock: socket.socket) -> int:
    """Close a connection after its caller has, or after a limit of time and bytes.

    Return the number of bytes that were discarded meanwhile. To close it at once while
    bytes are unread would reset it, and the caller could lose the answer. Errors mean
    that the caller has closed it.
    """
    discarded = 0
    with contextlib.suppress(OSError), gevent.Timeout(DISCARD_TIMEOUT_S, False):
        sock.shutdown(socket.SHUT_WR)
        while discarded < MAX_DISCARD_BYTES:
            data = sock.recv(DISCARD_CHUNK_BYTES)
            if not data:
                break
            discarded += len(data)
    sock.close()
    return discarded


def make_parse_refusal(error: Exception) -> Refusal:
    """Return the refusal that corresponds to an error of the HTTP parser."""
    if isinstance(error, HeadersTooLargeError):
        return Refusal(
            ProblemKind.HEADERS_TOO_LARGE,
            f"the headers have over {MAX_HEADER_BYTES} bytes",
            "send fewer or shorter headers",
        )
    if isinstance(error, HeadersTooSlowError):
        return Refusal(
            ProblemKind.REQUEST_TIMEOUT,
            f"the headers did not arrive within {HEADER_TIMEOUT_S:.0f} s",
            "send the whole request at once",
        )
    return Refusal(
        ProblemKind.BAD_REQUEST,
        f"the request is not valid HTTP: {describe_error(error)}",
        "send an HTTP/1.1 request with well-formed headers",
    )


def describe_error(error: Exception) -> str:
    """Return a printable description of a parser's error, of at most 200 characters."""
    text = str(getattr(error, "formatted_message", error)) or type(error).__name__
    return ascii(text[:200])


def make_raw_response(refusal: Refusal, request_id: RequestId) -> bytes:
    """Return a complete HTTP response, after which the connection is closed."""
    body = msgspec.json.encode(refusal.make_problem(request_id))
    head = (
        f"HTTP/1.1 {STATUSES[refusal.kind]}\r\n"
        f"Content-Type: {PROBLEM_JSON}\r\n"
        f"Content-Length: {len(body)}\r\n"
        f"X-Request-Id: {request_id}\r\n"
        "Connection: close\r\n"
    )
    if refusal.retry_after_s is not None:
        head += f"Retry-After: {refusal.retry_after_s}\r\n"
    return head.encode("latin-1") + b"\r\n" + body
