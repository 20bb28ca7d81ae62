"""Opens and accepts the websockets between entries."""

import random
from collections.abc import Callable

import gevent.socket
from gevent.server import StreamServer
from websockets.sync.client import connect
from websockets.sync.connection import Connection
from websockets.sync.server import serve

from ..ids import EntryId
from ..net import Address, set_no_delay
from .channel import MAX_FRAME_BYTES

DIAL_TIMEOUT_S = 1.0
PING_INTERVAL_S = 5.0
PING_TIMEOUT_S = 10.0
CLOSE_TIMEOUT_S = 1.0
RETRY_MIN_S = 0.05
RETRY_MAX_S = 1.0
LISTEN_BACKLOG = 512
SENDER_HEADER = "X-Entry-Id"
OPTIONS = {
    "compression": None,
    "open_timeout": DIAL_TIMEOUT_S,
    "ping_interval": PING_INTERVAL_S,
    "ping_timeout": PING_TIMEOUT_S,
    "close_timeout": CLOSE_TIMEOUT_S,
    "max_size": MAX_FRAME_BYTES + 1,
}


class Backoff:
    """Puts the next dial to a peer off by a growing time with jitter."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.failures: dict[EntryId, int] = {}
        self.retry_at: dict[EntryId, float] = {}

    def may_try(self, peer: EntryId, now: float) -> bool:
        """Tell whether the peer may be dialled at this time in seconds."""
        return now >= self.retry_at.get(peer, 0.0)

    def note_failure(self, peer: EntryId, now: float) -> None:
        """Take in that a dial failed."""
        count = self.failures[peer] = self.failures.get(peer, 0) + 1
        longest_s = min(RETRY_MAX_S, RETRY_MIN_S * 2**count)
        self.retry_at[peer] = now + self.rng.uniform(RETRY_MIN_S, longest_s)

    def note_success(self, peer: EntryId) -> None:
        """Take in that a dial succeeded."""
        self.failures.pop(peer, None)
        self.retry_at.pop(peer, None)


def open_link(
    own_id: EntryId, own_address: Address, peer: EntryId, address: Address
) -> Connection:
    """Return an open websocket to a peer.

    Connects from the own peer host. Raises OSError or WebSocketException.
    """
    sock = gevent.socket.create_connection(
        tuple(address), DIAL_TIMEOUT_S, source_address=(own_address.host, 0)
    )
    set_no_delay(sock)
    try:
        return connect(
            f"ws://{address}/peers/{peer}",
            sock=sock,
            proxy=None,
            additional_headers={SENDER_HEADER: own_id},
            **OPTIONS,
        )
    except BaseException:
        sock.close()
        raise


def make_link_server(
    address: Address, handler: Callable[[Connection], None], check_request: Callable
) -> StreamServer:
    """Return the server that takes links from peers, not yet started."""
    stream = StreamServer(
        tuple(address),
        lambda sock, source: server.handler(sock, source),
        backlog=LISTEN_BACKLOG,
    )
    stream.init_socket()
    server = serve(
        handler, sock=stream.socket, process_request=check_request, **OPTIONS
    )
    return stream
