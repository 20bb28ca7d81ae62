"""What the handler of a caller's request gets and returns."""

from collections.abc import Callable
from http import HTTPStatus

import msgspec

from .answer_accounts import CloseCause
from .http_messages import Headers, Request, encode_response


class Reply(msgspec.Struct):
    """An HTTP response to a caller.

    `body` is None if only the head is sent, as in the response to a HEAD request.
    If `close` is true, the connection is closed after the response.
    """

    status: int
    headers: Headers = []
    body: bytes | None = b""
    close: bool = False

    def encode(self, close: bool) -> bytes:
        """Return the response as bytes; `close` announces the connection's end."""
        try:
            reason = HTTPStatus(self.status).phrase
        except ValueError:
            reason = "Unknown"
        return encode_response(
            self.status, reason, self.headers, self.body, close=close or self.close
        )


class RequestContext:
    """What a handler knows about the caller of one request.

    `received_at` is the time at which the request had arrived completely; it may have
    waited for the process, and for the earlier requests on the connection, since.
    `transit_s` is the estimated time that the network adds to the latency that the
    caller observes. Both are in seconds. `caller_host` is the address that the
    caller connected from. `on_disconnect` is called if the connection ends before the
    request is answered; `close_cause` then says why, and is None before. `calls` is
    the number of calls to targets that the handler has sent for the request.
    """

    def __init__(
        self, received_at: float, transit_s: float = 0.0, caller_host: str = ""
    ) -> None:
        self.received_at = received_at
        self.transit_s = transit_s
        self.caller_host = caller_host
        self.close_cause: CloseCause | None = None
        self.calls = 0
        self.on_disconnect: Callable[[], None] = lambda: None

    @property
    def is_disconnected(self) -> bool:
        """Whether the caller's connection has ended."""
        return self.close_cause is not None

    def mark_disconnected(self, cause: CloseCause) -> None:
        """Record that the caller's connection has ended, and notify the handler."""
        self.close_cause = cause
        self.on_disconnect()


Handler = Callable[[Request, RequestContext], Reply]
