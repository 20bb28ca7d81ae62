"""Transport of frames between entries as websocket messages."""

import contextlib
import logging
from collections.abc import Callable, Iterator

import gevent.socket
from gevent.server import StreamServer
from websockets.exceptions import WebSocketException
from websockets.sync.client import connect
from websockets.sync.connection import Connection
from websockets.sync.server import serve

from ..ids import EntryId
from ..net import Address, set_no_delay
from .transport import (
    LISTEN_BACKLOG,
    MAX_FRAME_BYTES,
    ConnectionHandler,
    LinkClosedError,
    PeerConnection,
    PeerTransport,
)

HANDSHAKE_TIMEOUT_S = 1.0  # The peer may be busy, unlike one without power.
PING_INTERVAL_S = 5.0
PING_TIMEOUT_S = 10.0
CLOSE_TIMEOUT_S = 1.0
SENDER_HEADER = "X-Entry-Id"
WEBSOCKET_OPTIONS = {
    "compression": None,
    "open_timeout": HANDSHAKE_TIMEOUT_S,
    "ping_interval": PING_INTERVAL_S,
    "ping_timeout": PING_TIMEOUT_S,
    "close_timeout": CLOSE_TIMEOUT_S,
    "max_size": MAX_FRAME_BYTES + 1,
}


@contextlib.contextmanager
def translate_errors() -> Iterator[None]:
    """Raise exceptions of the websocket library as LinkClosedError."""
    try:
        yield
    except WebSocketException as error:
        raise LinkClosedError(repr(error)) from error


class WebSocketConnection(PeerConnection):
    """A websocket to a peer."""

    def __init__(self, connection: Connection) -> None:
        self.connection = connection

    def recv(self) -> bytes:
        """Return the next frame, or raise LinkClosedError."""
        with translate_errors():
            return self.connection.recv()

    def send(self, frame: bytes) -> None:
        """Send a frame, or raise LinkClosedError."""
        with translate_errors():
            self.connection.send(frame)

    def close_socket(self) -> None:
        """Close the connection immediately."""
        self.connection.close_socket()


class WebSocketTransport(PeerTransport):
    """Opens and accepts websockets; needs a standard library patched by gevent."""

    def __init__(self) -> None:
        logging.getLogger("websockets").setLevel(logging.CRITICAL)

    def open_connection(
        self,
        own_id: EntryId,
        own_address: Address,
        peer: EntryId,
        address: Address,
        timeout_s: float,
    ) -> PeerConnection:
        """Return a websocket to a peer, opened from the host of `own_address`."""
        sock = gevent.socket.create_connection(
            tuple(address), timeout_s, source_address=(own_address.host, 0)
        )
        set_no_delay(sock)
        try:
            with translate_errors():
                connection = connect(
                    f"ws://{address}/peers/{peer}",
                    sock=sock,
                    proxy=None,
                    additional_headers={SENDER_HEADER: own_id},
                    **WEBSOCKET_OPTIONS,
                )
        except BaseException:
            sock.close()
            raise
        return WebSocketConnection(connection)

    def make_server(
        self, own_id: EntryId, address: Address, on_connection: ConnectionHandler
    ) -> StreamServer:
        """Return a server that accepts websockets from peers."""
        stream = StreamServer(
            tuple(address),
            lambda sock, source: server.handler(sock, source),
            backlog=LISTEN_BACKLOG,
        )
        stream.init_socket()
        server = serve(
            make_handler(on_connection),
            sock=stream.socket,
            process_request=make_request_check(own_id),
            **WEBSOCKET_OPTIONS,
        )
        return stream


def make_handler(on_connection: ConnectionHandler) -> Callable[[Connection], None]:
    """Return a websocket handler that calls `on_connection` with the sender's id."""

    def handle(connection: Connection) -> None:
        sender = EntryId(connection.request.headers[SENDER_HEADER])
        on_connection(sender, WebSocketConnection(connection))

    return handle


def make_request_check(own_id: EntryId) -> Callable:
    """Return a check that refuses a request without a sender or for another entry."""

    def check(connection, request):
        if request.path == f"/peers/{own_id}" and request.headers.get(SENDER_HEADER):
            return None
        return connection.respond(404, f"this is the entry {own_id}\n")

    return check
