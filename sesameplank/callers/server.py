"""The HTTP server for callers, with limits on connections, sizes and time."""

import itertools
import socket

import gevent
import gevent.pywsgi
import msgspec

from ..ids import RequestId
from ..logs import log_event
from ..net import Address, get_receive_age_s
from ..wsgi import QuietHandler, WsgiApp
from .app import RECEIVE_AGE_KEY
from .problems import PROBLEM_JSON, STATUSES, ProblemKind, Refusal

MAX_HEADER_BYTES = 16_384
HEADER_TIMEOUT_S = 5.0
SOCKET_TIMEOUT_S = 60.0
MAX_DISCARD_BYTES = 1_048_576
DISCARD_TIMEOUT_S = 1.0
DISCARD_CHUNK_BYTES = 16_384


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
    """

    write_buffer: bytearray | None = None

    def __init__(self, sock, address, server, rfile=None) -> None:
        sock.settimeout(SOCKET_TIMEOUT_S)
        super().__init__(sock, address, server, rfile)

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
        return environ

    def handle_one_response(self) -> None:
        """Answer one request, and close the connection if its body is not drained."""
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
        if self.write_buffer is None:
            super()._sendall(data)
        else:
            self.write_buffer += data

    def _handle_client_error(self, error: Exception) -> tuple[str, bytes]:
        """Log the refusal of a request that could not be parsed.

        Return its status and the complete HTTP response, headers included.
        """
        refusal = make_parse_refusal(error)
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
        try:
            sock.sendall(make_raw_response(refusal, self.make_request_id()))
            sock.shutdown(socket.SHUT_WR)
            sock.recv(DISCARD_CHUNK_BYTES)
        except OSError:
            pass
        finally:
            sock.close()


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
