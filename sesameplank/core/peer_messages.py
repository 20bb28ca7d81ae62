"""Messages between entries about membership, versions and targets.

Fields travel by position: add new ones at the end, with a default.
"""

from enum import Enum, IntEnum
from typing import ClassVar

import msgspec

from ..ids import ConfigVersion, DataCentre, EntryId, Incarnation, TargetId


class PeerMessage(msgspec.Struct, frozen=True, array_like=True):
    """Base of the messages between entries.

    `reply_type` is the type of the reply, or None for a one-way message.
    """

    reply_type: ClassVar[type["PeerMessage"] | None] = None


class Phase(IntEnum):
    """What an entry says of itself."""

    SERVING = 0
    LEAVING = 1
    LEFT = 2


class Health(IntEnum):
    """What others say of an entry; the later outranks at the same epoch."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2


class Member(msgspec.Struct, frozen=True, array_like=True):
    """One entry as far as it is known.

    Only the entry itself raises its epoch, to change its phase or to refute
    what others say of its health. Epoch 0 means that it was never heard.
    `is_store_unavailable` says that the configuration service is unavailable to
    the entry. `capacity` is the relative load that its processor and link can
    carry, compared with other entries.
    """

    id: EntryId
    incarnation: Incarnation
    epoch: int
    phase: Phase
    health: Health
    address: str
    peer_address: str
    data_centre: DataCentre
    is_store_unavailable: bool = False
    capacity: int = 1

    @property
    def precedence(self) -> tuple[int, int]:
        """The order in which records of one entry replace each other."""
        return self.epoch, self.health

    @property
    def is_present(self) -> bool:
        """Tell whether the entry still runs, as far as is known."""
        return self.health is not Health.DEAD and self.phase is not Phase.LEFT


class Versions(msgspec.Struct, frozen=True, array_like=True):
    """The newest versions that a process has.

    `config_age_ms` is the time since the platform's service last confirmed
    the configuration to any entry that it knows of; -1 if it never did.
    `targets` is the revision of the list of targets.
    """

    config: ConfigVersion = ConfigVersion(0)
    refused: ConfigVersion = ConfigVersion(0)
    vms: int = 0
    config_age_ms: int = -1
    targets: int = 0


class Heartbeat(PeerMessage, frozen=True):
    """Evidence of life; `digest` sums up the sender's view of the members."""

    epoch: int
    digest: int
    wants_answer: bool
    versions: Versions = Versions()


class MemberUpdates(PeerMessage, frozen=True):
    """Records that the sender has just learned."""

    members: tuple[Member, ...]


class MemberTable(PeerMessage, frozen=True):
    """All records of the sender; the answer brings back all of the receiver's."""

    members: tuple[Member, ...]
    wants_answer: bool


class ProbeRequest(PeerMessage, frozen=True):
    """Ask the receiver whether it hears an entry that the sender does not."""

    entry: EntryId


class ProbeAnswer(PeerMessage, frozen=True):
    """Say that the sender itself heard an entry, and how long ago."""

    entry: EntryId
    silence_ms: int


class VersionAnswer(PeerMessage, frozen=True):
    """The versions that the asked entry has."""

    versions: Versions


class VersionQuestion(PeerMessage, frozen=True):
    """Ask an entry for the versions that it has."""

    reply_type: ClassVar = VersionAnswer


class Announcement(PeerMessage, frozen=True):
    """Tell a neighbour of versions that have just risen."""

    versions: Versions


class DocumentKind(Enum):
    """The documents that entries hand on."""

    CONFIG = "config"
    REFUSED = "refused"
    VMS = "vms"
    TARGETS = "targets"


class Document(PeerMessage, frozen=True):
    """A published document as the platform answered it; empty if not newer."""

    payload: bytes


class DocumentRequest(PeerMessage, frozen=True):
    """Ask for a document if its version passes `after`."""

    reply_type: ClassVar = Document
    kind: DocumentKind
    after: int


class TargetLeaving(PeerMessage, frozen=True):
    """Tell that a target takes no new work."""

    target: TargetId


class RelayedAnswer(PeerMessage, frozen=True):
    """A target's answer as it came."""

    payload: bytes


class RelayedCall(PeerMessage, frozen=True):
    """A call that a target's home makes for another entry.

    `answer_grace_ms` is how long the answer is awaited after the deadline.
    """

    reply_type: ClassVar = RelayedAnswer
    target: TargetId
    path: str
    body: bytes
    answer_grace_ms: int
