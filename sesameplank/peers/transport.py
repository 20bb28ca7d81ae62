"""What carries frames between entries; the extension point for other carriers."""

from abc import ABC, abstractmethod
from collections.abc import Callable

from gevent.server import StreamServer

from ..ids import EntryId
from ..net import Address

DIAL_TIMEOUT_S = 1.0
LISTEN_BACKLOG = 512
MAX_FRAME_BYTES = 4 * 1024 * 1024


class LinkClosedError(OSError):
    """The link to a peer is closed or could not be opened."""


class PeerConnection(ABC):
    """One open connection that carries frames both ways."""

    @abstractmethod
    def recv(self) -> bytes:
        """Return the next frame, or raise LinkClosedError."""

    @abstractmethod
    def send(self, frame: bytes) -> None:
        """Send a frame, or raise LinkClosedError."""

    @abstractmethod
    def close_socket(self) -> None:
        """Close the connection at once."""


Acceptor = Callable[[EntryId, PeerConnection], None]


class PeerTransport(ABC):
    """Opens and accepts connections between entries."""

    @abstractmethod
    def open_link(
        self, own_id: EntryId, own_address: Address, peer: EntryId, address: Address
    ) -> PeerConnection:
        """Return an open connection to a peer, or raise LinkClosedError."""

    @abstractmethod
    def make_server(
        self, own_id: EntryId, address: Address, acceptor: Acceptor
    ) -> StreamServer:
        """Return a server, not yet started.

        It hands the id of the peer and the connection to the acceptor, and
        refuses a peer that takes this process for another entry.
        """
