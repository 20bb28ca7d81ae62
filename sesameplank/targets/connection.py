"""One HTTP connection to a target, on which nothing is ever sent twice."""

import gevent.socket
from geventhttpclient.response import HTTPSocketResponse

from ..exceptions import TruncatedAnswerError
from ..net import Address, open_connection


class TargetConnection:
    """A connected socket and the HTTP library's reader of answers.

    The library opens no connection and sends nothing here, so it has no way
    to send a request again. `sent` says whether a byte of the request that
    came last has left this process; `is_awaiting_answer` whether all of it has
    and nothing of its answer was read, so that the answer can still be read.
    """

    def __init__(self, address: Address, timeout_s: float) -> None:
        """Connect, or raise OSError."""
        self.address = address
        self.sock = open_connection(address, timeout_s)
        self.sock.settimeout(None)
        self.sent = False
        self.is_awaiting_answer = False

    def close(self) -> None:
        """Close the socket."""
        self.sock.close()

    def is_fresh(self) -> bool:
        """Tell whether the peer has neither closed nor sent anything unasked."""
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
        self.sent = False
        count = self.sock.send(data)
        self.sent = True
        self.sock.sendall(data[count:])
        self.is_awaiting_answer = True

    def read(self) -> tuple[int, bytes, bool]:
        """Return status, body and whether the connection may be used again.

        Raises OSError, TruncatedAnswerError, or the HTTP library's errors.
        """
        gevent.socket.wait_read(self.sock.fileno())
        self.is_awaiting_answer = False
        response = HTTPSocketResponse(self.sock, method="POST")
        payload = bytes(response.read())
        length = response.get("content-length")
        if length is None or int(length) != len(payload):
            raise TruncatedAnswerError(
                f"the answer has {len(payload)} bytes, not {length}", sent=True
            )
        keep = (response.get("connection") or "").lower() != "close"
        return response.status_code, payload, keep
