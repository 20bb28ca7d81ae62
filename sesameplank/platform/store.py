"""The client of the platform's store, which reads pages and watches for changes."""

import re
from urllib.parse import quote

import gevent
import gevent.socket

from ..exceptions import (
    HistoryGoneError,
    MalformedDocumentError,
    PlatformError,
    UnreadableResponseError,
)
from ..forwarding.http_messages import Response, ResponseReader, encode_request
from ..logs import log_event
from ..net import Address, set_no_delay
from .store_answers import UNKNOWN_ERA, WireEvents, WirePage, decode_answer

CONNECT_TIMEOUT_S = 1.0
CALL_TIMEOUT_S = 2.0
READ_BYTES = 65_536
MAX_HEADER_BYTES = 65_536
MAX_BODY_BYTES = 16 * 1024 * 1024
RANGE_PATH = "/kv-range"
WATCH_PATH = "/kv-watch"
ERA = b"Store-Era"
ERA_PATTERN = re.compile("[0-9]{1,18}")
MAX_LOGGED_CHARACTERS = 100
OK = 200
HISTORY_GONE = 410


class StoreClient:
    """One connection to the store, which carries one call at a time.

    `received_bytes` counts what has arrived of the response to the last call.
    """

    def __init__(self, address: Address, source_host: str) -> None:
        self.address = address
        self.source_host = source_host
        self.sock: gevent.socket.socket | None = None
        self.reader = ResponseReader(MAX_HEADER_BYTES, MAX_BODY_BYTES)
        self.calls = 0
        self.received_bytes = 0
        self.refused_era: str | None = None

    def read_page(self, prefix: str, after: str = "") -> WirePage:
        """Return one page of the items under a prefix, in the order of their keys.

        Only keys greater than `after` are returned. Raises PlatformError.
        """
        path = f"{RANGE_PATH}?prefix={quote(prefix)}"
        if after:
            path += f"&after={quote(encode_key(after))}"
        return self.decode(self.get(path, CALL_TIMEOUT_S), WirePage)

    def watch(self, prefix: str, after: int, wait_s: float) -> WireEvents:
        """Wait up to `wait_s` seconds for changes after a revision, and return them.

        Raises HistoryGoneError if the store no longer holds these changes, and
        UnreadableResponseError if they don't fit a response. Either way everything has
        to be read again, page by page. Raises PlatformError on any other failure.
        """
        wait_ms = int(wait_s * 1_000)
        path = f"{WATCH_PATH}?prefix={quote(prefix)}&after={after}&wait_ms={wait_ms}"
        return self.decode(self.get(path, wait_s + CALL_TIMEOUT_S), WireEvents)

    def get(self, path: str, timeout_s: float) -> Response:
        """Return a 200 response.

        Raises HistoryGoneError on status 410, UnreadableResponseError if a response
        has begun and isn't whole within `timeout_s` seconds or is too large, and
        PlatformError on any other response or if there is none.
        """
        self.calls += 1
        self.received_bytes = 0
        try:
            with gevent.Timeout(timeout_s):
                response = self.exchange(path)
        except (gevent.Timeout, OSError) as error:
            self.close()
            kind = UnreadableResponseError if self.received_bytes else PlatformError
            raise kind(
                f"the store at {self.address} did not answer GET {path}: {error!r} "
                f"after {self.received_bytes} bytes; check its address and health"
            ) from error
        if response.status == HISTORY_GONE:
            raise HistoryGoneError(
                "the store no longer holds the requested changes; read all items again"
            )
        if response.status != OK:
            raise PlatformError(
                f"the store answered {response.status} to GET {path}; check its health"
            )
        return response

    def exchange(self, path: str) -> Response:
        """Send one request and return its response, or raise OSError."""
        if self.sock is not None and self.has_stray_bytes():
            log_event(
                "store_connection_dropped", reason="bytes beyond an answer, or end"
            )
            self.close()
        if self.sock is None:
            self.connect()
        headers = [(b"Host", str(self.address).encode())]
        self.sock.sendall(encode_request(b"GET", path.encode(), headers, b""))
        while not self.reader.complete:
            data = self.sock.recv(READ_BYTES)
            self.received_bytes += len(data)
            if not data or self.reader.is_corrupt:
                raise ConnectionError(
                    "the store closed the connection or sent a malformed response"
                )
            self.reader.feed(data)
        response = self.reader.complete.pop(0)
        if not response.keep_alive or not self.reader.has_length:
            self.close()
        return response

    def has_stray_bytes(self) -> bool:
        """Return whether the connection has ended, or has more than was asked for."""
        reader = self.reader
        if reader.complete or reader.in_message or reader.is_corrupt:
            return True
        self.sock.settimeout(0.0)
        try:
            self.sock.recv(1, gevent.socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            return True
        finally:
            self.sock.settimeout(None)
        return True

    def connect(self) -> None:
        """Open the connection, or raise OSError."""
        sock = gevent.socket.create_connection(
            self.address, CONNECT_TIMEOUT_S, source_address=(self.source_host, 0)
        )
        sock.settimeout(None)
        set_no_delay(sock)
        self.sock = sock
        self.reader = ResponseReader(MAX_HEADER_BYTES, MAX_BODY_BYTES)

    def close(self) -> None:
        """Close the connection; the next call opens a new one."""
        sock, self.sock = self.sock, None
        if sock is not None:
            sock.close()

    def decode(self, response: Response, kind: type) -> WirePage | WireEvents:
        """Return the typed body with the store's era.

        Raises UnreadableResponseError.
        """
        try:
            decoded = decode_answer(bytes(response.body), kind)
        except MalformedDocumentError as error:
            self.close()  # It may be the answer to another call.
            raise UnreadableResponseError(
                f"the store's answer is malformed: {error}; check its version"
            ) from error
        decoded.era = self.read_era(response)
        return decoded

    def read_era(self, response: Response) -> int:
        """Return the store's era, or UNKNOWN_ERA if it is missing or unreadable.

        An unreadable value is logged once until another one arrives.
        """
        text = response.get(ERA.lower())
        if text is not None and ERA_PATTERN.fullmatch(text):
            self.refused_era = None
            return int(text)
        refused = "" if text is None else text
        if refused != self.refused_era:
            self.refused_era = refused
            log_event("store_era_refused", value=refused[:MAX_LOGGED_CHARACTERS])
        return UNKNOWN_ERA


def encode_key(key: str) -> bytes:
    """Return the bytes of a key; lone surrogates may stand for bytes of the writer."""
    try:
        return key.encode(errors="surrogateescape")
    except UnicodeEncodeError:
        return key.encode(errors="surrogatepass")
