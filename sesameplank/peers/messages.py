"""The base class of the messages between entries."""

from ..core.peer_messages import PeerMessage

__all__ = ["PeerMessage"]
