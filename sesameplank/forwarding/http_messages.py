"""Reading and encoding of HTTP/1.1 messages, parsed by llhttp via `httptools`."""

import httptools

from ..exceptions import SesameplankError

Headers = list[tuple[bytes, bytes]]

HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    }
)
BODILESS_METHODS = frozenset({b"GET", b"HEAD", b"DELETE", b"OPTIONS"})
LENGTH_HEADERS = frozenset({b"content-length", b"transfer-encoding"})
BODILESS_STATUSES = frozenset({204, 304})
FIRST_FINAL_STATUS = 200
# Of the limit for headers, which counts names and values without what separates them.
UNFINISHED_FACTOR = 2


class MessageError(SesameplankError):
    """Received bytes are not an HTTP/1.1 message, or exceed a size or time limit.

    `status` is the HTTP status of the response to the caller.
    """

    def __init__(self, message: str, status: int = 400) -> None:
        super().__init__(message)
        self.status = status


class HttpMessage:
    """The headers and body that requests and responses have in common."""

    def __init__(self) -> None:
        self.headers: Headers = []
        self.first_values: dict[bytes, bytes] = {}
        self.body = bytearray()
        self.keep_alive = True

    def add(self, name: bytes, value: bytes) -> None:
        """Append a header."""
        self.headers.append((name, value))
        self.first_values.setdefault(name.lower(), value)

    def get(self, name: bytes) -> str | None:
        """Return the first value of a header, or None; `name` is in lower case."""
        value = self.first_values.get(name)
        return None if value is None else value.decode("latin-1")

    @property
    def size(self) -> int:
        """The size of the headers and the body in bytes."""
        return len(self.body) + sum(
            len(name) + len(value) for name, value in self.headers
        )

    def get_end_to_end(self, without: frozenset[bytes] = frozenset()) -> Headers:
        """Return the end-to-end headers, except those named in `without`.

        Hop-by-hop headers and those that `Connection` lists are left out.
        """
        dropped = HOP_BY_HOP | without
        if b"connection" in self.first_values:
            dropped |= {
                token.strip().lower()
                for key, value in self.headers
                if key.lower() == b"connection"
                for token in value.split(b",")
            }
        return [item for item in self.headers if item[0].lower() not in dropped]


class Request(HttpMessage):
    """A request; `target` is its request target, that is, path and query."""

    def __init__(self) -> None:
        super().__init__()
        self.method = b""
        self.target = b""

    @property
    def path(self) -> str:
        """The path of the request target, without the query."""
        return self.target.partition(b"?")[0].decode("latin-1")


class Response(HttpMessage):
    """A response from a target or another server."""

    def __init__(self) -> None:
        super().__init__()
        self.status = 0


class MessageReader:
    """Base of the readers, which build messages in the parser's callbacks.

    `in_message` is true while a message is being read, and `in_headers` while its
    head is. `has_length` is true if the headers of a response determine the end of
    its body, by `Content-Length` or chunked encoding.

    Bytes that arrive without a byte of a body and without the end of a message are
    bounded too, whatever they are: the parser keeps an unfinished header, and interim
    responses, chunk extensions and trailers could go on without end.
    """

    message: HttpMessage

    def __init__(self, max_header_bytes: int, max_body_bytes: int) -> None:
        self.max_header_bytes = max_header_bytes
        self.max_body_bytes = max_body_bytes
        self.header_bytes = 0
        self.bytes_without_progress = 0
        self.has_progressed = False
        self.in_headers = False
        self.in_message = False
        self.has_length = False

    def set_limits(self, max_header_bytes: int, max_body_bytes: int) -> None:
        """Set the limits; a message that is being read keeps the higher ones."""
        if self.in_message:
            max_header_bytes = max(max_header_bytes, self.max_header_bytes)
            max_body_bytes = max(max_body_bytes, self.max_body_bytes)
        self.max_header_bytes = max_header_bytes
        self.max_body_bytes = max_body_bytes

    def parse(self, parser, data: bytes) -> None:
        """Parse bytes; raise MessageError after too many without progress."""
        self.has_progressed = False
        parser.feed_data(data)
        if self.has_progressed:
            self.bytes_without_progress = 0
            return
        self.bytes_without_progress += len(data)
        if self.bytes_without_progress > UNFINISHED_FACTOR * self.max_header_bytes:
            raise MessageError("the header is too large; send less of it", 431)

    def begin(self) -> None:
        """Reset the state for the next message."""
        self.header_bytes = 0
        self.in_headers = True
        self.in_message = True
        self.has_length = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header to the message, and ignore trailers of a chunked body."""
        if self.in_headers:
            self.count_header(len(name) + len(value))
            self.message.add(name, value)

    def count_header(self, size: int) -> None:
        """Count bytes of the head; raise MessageError if it gets too large."""
        self.header_bytes += size
        if self.header_bytes > self.max_header_bytes:
            raise MessageError("the header is too large; send less of it", 431)

    def add_body(self, message: HttpMessage, data: bytes) -> None:
        """Append bytes to the body; raise MessageError if it gets too large."""
        if len(message.body) + len(data) > self.max_body_bytes:
            raise MessageError("the body is too large; send less of it", 413)
        message.body += data
        self.has_progressed = True


class RequestReader(MessageReader):
    """Reader of the requests on one connection; appends them to `complete`."""

    def __init__(self, max_header_bytes: int, max_body_bytes: int) -> None:
        super().__init__(max_header_bytes, max_body_bytes)
        self.parser = httptools.HttpRequestParser(self)
        self.message = Request()
        self.complete: list[Request] = []
        self.expects_continue = False

    def feed(self, data: bytes) -> None:
        """Parse bytes; raise MessageError if they are malformed or too large."""
        try:
            self.parse(self.parser, data)
        except httptools.HttpParserUpgrade as error:
            raise MessageError("upgrades are not served; use HTTP/1.1") from error
        except httptools.HttpParserCallbackError as error:
            if isinstance(error.__context__, MessageError):
                raise error.__context__ from error
            raise MessageError(f"not a proper request: {error}") from error
        except httptools.HttpParserError as error:
            raise MessageError(f"not a proper request: {error}") from error

    def on_message_begin(self) -> None:
        """Begin a request."""
        self.begin()
        self.message = Request()

    def on_url(self, url: bytes) -> None:
        """Append bytes to the request target."""
        self.count_header(len(url))
        self.message.target += url

    def on_headers_complete(self) -> None:
        """Record the end of the headers.

        Raise MessageError if `Content-Length` exceeds the limit for the body.
        """
        self.in_headers = False
        self.message.method = self.parser.get_method()
        self.message.keep_alive = self.parser.should_keep_alive()
        expected = self.message.get(b"expect")
        self.expects_continue = expected is not None
        length = self.message.get(b"content-length")
        if length is not None and int(length) > self.max_body_bytes:
            raise MessageError("the body is too large; send less of it", 413)

    def on_body(self, data: bytes) -> None:
        """Append bytes to the body."""
        self.add_body(self.message, data)

    def on_message_complete(self) -> None:
        """Append the request to `complete`."""
        self.in_message = False
        self.expects_continue = False
        self.has_progressed = True
        self.complete.append(self.message)


class ResponseReader(MessageReader):
    """Reader of the responses on one connection; appends them to `complete`.

    `is_corrupt` becomes true when bytes arrive that are not a valid response or
    exceed a size limit. `is_head` is set while the response to a HEAD request is
    expected.
    """

    def __init__(self, max_header_bytes: int, max_body_bytes: int) -> None:
        super().__init__(max_header_bytes, max_body_bytes)
        self.parser = httptools.HttpResponseParser(self)
        self.message = Response()
        self.complete: list[Response] = []
        self.is_corrupt = False
        self.is_head = False

    def feed(self, data: bytes) -> None:
        """Parse bytes; set `is_corrupt` if they are malformed or too large."""
        try:
            self.parse(self.parser, data)
        except (
            httptools.HttpParserError,
            httptools.HttpParserUpgrade,
            MessageError,
        ):
            self.is_corrupt = True

    def finish(self) -> None:
        """Complete a response that is delimited by the end of its connection."""
        if self.in_message and not self.in_headers and not self.has_length:
            self.on_message_complete()

    def on_message_begin(self) -> None:
        """Begin a response."""
        self.begin()
        self.message = Response()

    def on_headers_complete(self) -> None:
        """Record the end of the headers; a response to HEAD is then complete."""
        self.in_headers = False
        self.has_length = not LENGTH_HEADERS.isdisjoint(self.message.first_values)
        self.message.status = self.parser.get_status_code()
        self.message.keep_alive = self.parser.should_keep_alive()
        if self.is_head:
            self.on_message_complete()

    def on_body(self, data: bytes) -> None:
        """Append bytes to the body."""
        self.add_body(self.message, data)

    def on_message_complete(self) -> None:
        """Append the response to `complete`, unless it is an interim one (1xx)."""
        self.in_message = False
        if self.message.status >= FIRST_FINAL_STATUS:
            self.has_progressed = True
            self.complete.append(self.message)


def encode_headers(headers: Headers) -> bytes:
    """Return the headers as bytes, one line each."""
    return b"".join([b"%b: %b\r\n" % item for item in headers])


class RequestEncoder:
    """An encoder of the calls for one request, which differ only in a few headers."""

    def __init__(
        self, method: bytes, target: bytes, headers: Headers, body: bytes | bytearray
    ) -> None:
        self.head = b"%b %b HTTP/1.1\r\n" % (method, target) + encode_headers(headers)
        length = b""
        if body or method not in BODILESS_METHODS:
            length = b"Content-Length: %d\r\n" % len(body)
        self.tail = b"%b\r\n%b" % (length, bytes(body))

    def encode(self, headers: Headers) -> bytes:
        """Return the request as bytes, with additional headers."""
        return self.head + encode_headers(headers) + self.tail


def encode_request(
    method: bytes, target: bytes, headers: Headers, body: bytes | bytearray
) -> bytes:
    """Return a request as bytes, with `Content-Length` if it needs one."""
    return RequestEncoder(method, target, headers, body).encode([])


def encode_response(
    status: int, reason: str, headers: Headers, body: bytes | None, *, close: bool
) -> bytes:
    """Return a response as bytes, with `Content-Length` if it can have a body.

    `body` is None in the response to a HEAD request; `headers` then contain the
    length of the body if it is known.
    """
    lines = [b"HTTP/1.1 %d %b\r\n" % (status, reason.encode("latin-1"))]
    lines += [b"%b: %b\r\n" % item for item in headers]
    if body is not None and status not in BODILESS_STATUSES:
        lines.append(b"Content-Length: %d\r\n" % len(body))
    if close:
        lines.append(b"Connection: close\r\n")
    lines.append(b"\r\n")
    lines.append(body or b"")
    return b"".join(lines)
