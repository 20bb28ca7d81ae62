"""The base class of the messages between entries."""

from ..core.membership.peer_messages import PeerMessage

__all__ = ["PeerMessage"]
