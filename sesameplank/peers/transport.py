"""Base classes of the transports that carry frames between entries.

Subclass them to add a transport.
"""

from abc import ABC, abstractmethod
from collections.abc import Callable

from gevent.server import StreamServer

from ..ids import EntryId
from ..net import Address

LISTEN_BACKLOG = 512
MAX_FRAME_BYTES = 4 * 1024 * 1024


class LinkClosedError(OSError):
    """Raised if the connection to a peer is closed or could not be opened."""


class PeerConnection(ABC):
    """An open connection that carries frames in both directions."""

    @abstractmethod
    def recv(self) -> bytes:
        """Return the next frame, or raise OSError."""

    @abstractmethod
    def send(self, frame: bytes) -> None:
        """Send a frame, or raise OSError."""

    @abstractmethod
    def close_socket(self) -> None:
        """Close the connection immediately."""


ConnectionHandler = Callable[[EntryId, PeerConnection], None]


class PeerTransport(ABC):
    """Opens and accepts connections between entries over one protocol."""

    @abstractmethod
    def open_connection(
        self,
        own_id: EntryId,
        own_address: Address,
        peer: EntryId,
        address: Address,
        timeout_s: float,
    ) -> PeerConnection:
        """Return an open connection to a peer, or raise OSError.

        It is raised if the peer does not accept within `timeout_s` seconds.
        """

    @abstractmethod
    def make_server(
        self, own_id: EntryId, address: Address, on_connection: ConnectionHandler
    ) -> StreamServer:
        """Return a server that has not been started.

        The server calls `on_connection` with the peer's id and each accepted
        connection. It refuses a peer that intended to connect to another entry.
        """
