"""The HTTP server towards callers: bounds on connections, headers, bodies and time."""

import itertools
import socket

import gevent
import gevent.pywsgi
import msgspec

from ..ids import RequestId
from ..logs import log_event
from ..net import Address, get_receive_age_s
from ..wsgi import QuietHandler, WsgiApp
from .app import RECEIVE_AGE
from .problems import PROBLEM_JSON, STATUSES, ProblemKind, Refusal

MAX_HEAD_BYTES = 16_384
HEAD_TIMEOUT_S = 5.0
SOCKET_TIMEOUT_S = 60.0
MAX_DISCARD_BYTES = 1_048_576
DISCARD_TIMEOUT_S = 1.0
DISCARD_CHUNK_BYTES = 16_384


class HeadTooLargeError(ValueError):
    """The request line and headers pass MAX_HEAD_BYTES."""


class HeadTooSlowError(ValueError):
    """The headers did not arrive within HEAD_TIMEOUT_S."""


class BoundedLines:
    """Reads lines of a stream up to a bound in bytes over all lines."""

    def __init__(self, stream, max_bytes: int) -> None:
        self.stream = stream
        self.left = max_bytes

    def readline(self, limit: int = -1) -> bytes:
        """Return the next line, or raise HeadTooLargeError."""
        bound = self.left + 1 if limit < 0 else min(limit, self.left + 1)
        line = self.stream.readline(bound)
        self.left -= len(line)
        if self.left < 0:
            raise HeadTooLargeError(f"over {MAX_HEAD_BYTES} bytes")
        return line


class BoundedInput(gevent.pywsgi.Input):
    """A request body of which only a bounded rest is read and dropped."""

    __slots__ = ("is_drained",)

    def __init__(self, *args, **kwargs) -> None:
        super().__init__(*args, **kwargs)
        self.is_drained = True

    def _discard(self) -> None:
        """Drop what the application left unread, within bounds of size and time."""
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
    """Handles one caller's connection within bounds."""

    held: bytearray | None = None

    def __init__(self, sock, address, server, rfile=None) -> None:
        sock.settimeout(SOCKET_TIMEOUT_S)
        super().__init__(sock, address, server, rfile)

    def MessageClass(self, stream, *args):  # noqa: N802 - named by gevent.
        """Parse the headers, which may not pass MAX_HEAD_BYTES together."""
        return super().MessageClass(BoundedLines(stream, MAX_HEAD_BYTES), *args)

    def read_request(self, raw_requestline: str) -> bool:
        """Read and check the headers, or raise ValueError."""
        with gevent.Timeout(HEAD_TIMEOUT_S, HeadTooSlowError("headers")):
            is_read = super().read_request(raw_requestline)
        lengths = set(self.headers.get_all("content-length", ()))
        if len(lengths) > 1:
            raise ValueError("the Content-Length headers differ")
        coding = self.headers.get("transfer-encoding", "chunked")
        if coding.lower() != "chunked":
            raise ValueError(f"the transfer coding {coding!r} is not supported")
        return is_read

    def get_environ(self) -> dict:
        """Return the WSGI environment, with a bounded body."""
        environ = super().get_environ()
        given = self.wsgi_input
        self.wsgi_input = environ["wsgi.input"] = BoundedInput(
            given.rfile, given.content_length, given.socket, given.chunked_input
        )
        environ["wsgi.input_terminated"] = True
        environ[RECEIVE_AGE] = get_receive_age_s(self.socket)
        return environ

    def handle_one_response(self) -> None:
        """Answer one request; an undrained body ends the connection."""
        super().handle_one_response()
        if not self.wsgi_input.is_drained:
            self.close_connection = True

    def _write_with_headers(self, data: bytes) -> None:
        """Send headers and the first part of the body in one call."""
        self.held = bytearray()
        super()._write_with_headers(data)
        payload, self.held = self.held, None
        self._sendall(payload)

    def _sendall(self, data: bytes) -> None:
        """Send bytes, or hold them back while headers are being written."""
        if self.held is None:
            super()._sendall(data)
        else:
            self.held += data

    def _handle_client_error(self, error: Exception) -> tuple[str, bytes]:
        """Return the answer to a request that could not be parsed."""
        refusal = explain_parse_error(error)
        request_id = self.server.make_request_id()
        log_event(
            "request_refused",
            request_id=request_id,
            kind=refusal.kind.value,
            reason=refusal.detail,
        )
        return STATUSES[refusal.kind], make_raw_response(refusal, request_id)


class CallersServer(gevent.pywsgi.WSGIServer):
    """Serves callers on at most `max_connections` connections at a time."""

    def __init__(self, address: Address, app: WsgiApp, max_connections: int) -> None:
        super().__init__(
            tuple(address),
            app,
            log=None,
            error_log=None,
            handler_class=CallersHandler,
        )
        self.max_connections = max_connections
        self.open_connections = 0
        self.refused_connections = 0
        self.counter = itertools.count(1)

    def make_request_id(self) -> RequestId:
        """Return an id for a request that was refused before it was parsed."""
        return RequestId(f"unparsed-{next(self.counter)}")

    def handle(self, sock: socket.socket, address: tuple) -> None:
        """Serve one connection, or refuse it when there are too many."""
        if self.open_connections >= self.max_connections:
            self.refuse(sock)
            return
        self.open_connections += 1
        try:
            super().handle(sock, address)
        finally:
            self.open_connections -= 1

    def refuse(self, sock: socket.socket) -> None:
        """Answer a connection over the limit with a problem, and close it."""
        self.refused_connections += 1
        refusal = Refusal(
            ProblemKind.OVERLOADED,
            f"the entry serves its limit of {self.max_connections} connections",
            "use another entry of the address list, or fewer connections",
            retry_after_ms=1_000,
        )
        sock.settimeout(DISCARD_TIMEOUT_S)
        try:
            sock.sendall(make_raw_response(refusal, self.make_request_id()))
            sock.shutdown(socket.SHUT_WR)
            sock.recv(DISCARD_CHUNK_BYTES)
        except OSError:
            pass
        finally:
            sock.close()


def explain_parse_error(error: Exception) -> Refusal:
    """Return the refusal that an error of the HTTP parser stands for."""
    if isinstance(error, HeadTooLargeError):
        return Refusal(
            ProblemKind.HEADERS_TOO_LARGE,
            f"the headers have over {MAX_HEAD_BYTES} bytes",
            "send fewer or shorter headers",
        )
    if isinstance(error, HeadTooSlowError):
        return Refusal(
            ProblemKind.REQUEST_TIMEOUT,
            f"the headers did not arrive within {HEAD_TIMEOUT_S:.0f} s",
            "send the whole request at once",
        )
    return Refusal(
        ProblemKind.BAD_REQUEST,
        f"the request is not valid HTTP: {describe_error(error)}",
        "send an HTTP/1.1 request with well-formed headers",
    )


def describe_error(error: Exception) -> str:
    """Return a printable text of bounded length for a parser's error."""
    text = str(getattr(error, "formatted_message", error)) or type(error).__name__
    return ascii(text[:200])


def make_raw_response(refusal: Refusal, request_id: RequestId) -> bytes:
    """Return a whole HTTP answer that ends its connection."""
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
