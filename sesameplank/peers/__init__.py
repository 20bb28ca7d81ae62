"""Links between the entries: typed messages over websockets."""

from .links import PeerContext, PeerLinks
from .messages import PeerMessage

__all__ = ["PeerContext", "PeerLinks", "PeerMessage"]
