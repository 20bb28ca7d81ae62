"""What every message between entries has in common."""

from typing import ClassVar

import msgspec


class PeerMessage(msgspec.Struct, frozen=True, array_like=True):
    """Base of the messages between entries.

    Fields travel by position: add new ones at the end, with a default.
    `reply_type` is the type of the reply, or None for a one-way message.
    """

    reply_type: ClassVar[type["PeerMessage"] | None] = None
