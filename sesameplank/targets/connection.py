"""One HTTP connection to a target, which never sends a request twice."""

import gevent
import gevent.socket
from geventhttpclient.response import HTTPSocketResponse

from ..exceptions import OversizedAnswerError, TruncatedAnswerError
from ..net import (
    Address,
    close_connection,
    count_unacknowledged_bytes,
    open_connection,
)

MAX_HEAD_BYTES = 64 * 1024
MAX_BODY_BYTES = 8 * 1024 * 1024


class BoundedReceiver:
    """The receiving side of a socket, which gives up after `remaining` more bytes.

    The HTTP library keeps whatever arrives, also a header without end.
    """

    def __init__(self, sock: gevent.socket.socket, remaining: int) -> None:
        self.sock = sock
        self.remaining = remaining

    def recv(self, size: int) -> bytes:
        """Return received bytes, or raise OversizedAnswerError after too many."""
        data = self.sock.recv(size)
        self.remaining -= len(data)
        if self.remaining < 0:
            raise OversizedAnswerError("the answer is too large", sent=True)
        return data

    def close(self) -> None:
        """Close the socket."""
        self.sock.close()


class TargetConnection:
    """A connected socket whose answers the HTTP library parses.

    The library neither opens the connection nor sends on it, so it cannot send a
    request again. `has_sent` is true once a byte of the last request has left this
    process. `is_awaiting_answer` is true from when that request is sent completely
    until the first bytes of its answer arrive; `read` can then still return it.
    """

    def __init__(self, address: Address, timeout_s: float) -> None:
        """Connect within `timeout_s` seconds, or raise OSError."""
        self.address = address
        self.sock = open_connection(address, timeout_s)
        self.sock.settimeout(None)
        self.has_sent = False
        self.is_awaiting_answer = False

    def close(self) -> None:
        """Close the socket; a request that has not arrived never does."""
        close_connection(self.sock)

    def is_received(self, timeout_s: float) -> bool:
        """Return whether the target has received the last request, or answers it.

        Wait for that for up to `timeout_s` seconds.
        """
        with gevent.Timeout(timeout_s, False):
            self.await_answer()
            return True
        return not count_unacknowledged_bytes(self.sock)

    def is_reusable(self) -> bool:
        """Return whether the connection is open and holds no unsolicited data."""
        self.sock.settimeout(0.0)
        try:
            self.sock.recv(1, gevent.socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        finally:
            self.sock.settimeout(None)
        return False

    def send(self, method: str, path: str, body: bytes) -> None:
        """Send one request, or raise OSError."""
        head = (
            f"{method} {path} HTTP/1.1\r\n"
            f"Host: {self.address}\r\n"
            "Content-Type: application/json\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        data = head.encode() + body
        self.has_sent = False
        count = self.sock.send(data)
        self.has_sent = True
        self.sock.sendall(data[count:])
        self.is_awaiting_answer = True

    def await_answer(self) -> None:
        """Wait until bytes or the end of the connection can be read, or raise OSError.

        Closing the socket ends the wait.
        """
        self.sock.recv(1, gevent.socket.MSG_PEEK)

    def read(self) -> tuple[int, bytes, bool]:
        """Return the status, the body and whether the connection may be reused.

        Raises OSError, TruncatedAnswerError, OversizedAnswerError, or the errors of the
        HTTP library.
        """
        try:
            self.await_answer()
        except OSError:
            self.is_awaiting_answer = False
            raise
        self.is_awaiting_answer = False
        receiver = BoundedReceiver(self.sock, MAX_HEAD_BYTES)
        response = HTTPSocketResponse(receiver, method="POST")
        receiver.remaining = MAX_BODY_BYTES
        payload = bytes(response.read())
        length = response.get("content-length")
        if length is None or int(length) != len(payload):
            raise TruncatedAnswerError(
                f"the answer has {len(payload)} bytes, not {length}",
                sent=True,
            )
        keep_alive = (response.get("connection") or "").lower() != "close"
        return response.status_code, payload, keep_alive
