"""Links between entries that carry typed messages over websockets or plain TCP."""

from .links import PeerContext, PeerLinks
from .messages import PeerMessage

__all__ = ["PeerContext", "PeerLinks", "PeerMessage"]
