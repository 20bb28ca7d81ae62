"""What every message between entries has in common."""

from ..core.peer_messages import PeerMessage

__all__ = ["PeerMessage"]
