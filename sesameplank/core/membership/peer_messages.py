"""Messages between processes about membership, versions and targets.

In messages about membership, an entry is any process of the fleet, also a
forwarding process.

Fields are encoded by position: add new fields at the end, with a default.
"""

from enum import Enum, IntEnum
from typing import ClassVar

import msgspec

from ...ids import (
    ConfigVersion,
    DataCentre,
    EntryId,
    Fingerprint,
    Incarnation,
    TargetId,
)
from ..published.readings import Reading


class PeerMessage(msgspec.Struct, frozen=True, array_like=True):
    """Base class of the messages between processes.

    `reply_type` is the type of the reply, or None for a one-way message.
    """

    reply_type: ClassVar[type["PeerMessage"] | None] = None


class Phase(IntEnum):
    """The lifecycle phase that an entry publishes about itself."""

    SERVING = 0
    LEAVING = 1
    LEFT = 2


class Health(IntEnum):
    """The health of an entry as seen by others.

    At the same epoch, the higher value outranks the lower one.
    """

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2


class Member(msgspec.Struct, frozen=True, array_like=True):
    """The record of one entry in the membership view.

    Only the entry itself raises its epoch, to publish a change of its record or to
    refute a health that others published. Epoch 0 means that the record comes from
    the published VM list and not from the entry.
    `is_store_unavailable` says that the configuration service is unavailable to
    the entry. `capacity` is the relative load that its processor and link can
    carry, compared with other entries. `reaches_targets` says that the entry's links to
    targets are not lost, and `serves_single_calls` that it makes calls for others whose
    answers are not merged. `is_view_stale` says that nobody has confirmed its view of
    what the platform publishes for a while.
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
    reaches_targets: bool = True
    serves_single_calls: bool = False
    is_view_stale: bool = False

    @property
    def precedence(self) -> tuple[int, int]:
        """The rank of this record among those of the same entry; the highest wins."""
        return self.epoch, self.health

    @property
    def is_present(self) -> bool:
        """Return whether the entry is running, as far as is known."""
        return self.health is not Health.DEAD and self.phase is not Phase.LEFT


class Versions(msgspec.Struct, frozen=True, array_like=True):
    """The newest versions of the published documents that a process has.

    `config_age_ms` is the time since the configuration service last confirmed
    the configuration, to this process or to one that relayed the confirmation; it
    is -1 if there was none. `refused` is the highest refused version above `config`,
    or 0. `targets` is the revision of the target list in the era `targets_era`.
    `reading` is the reading that this confirmation stems from; earlier releases send
    none. `vms_age_ms` and `vms_reading` are the same for the VM list.
    """

    config: ConfigVersion = ConfigVersion(0)
    refused: ConfigVersion = ConfigVersion(0)
    vms: int = 0
    config_age_ms: int = -1
    targets: int = 0
    targets_era: int = 0
    reading: Reading | None = None
    vms_age_ms: int = -1
    vms_reading: Reading | None = None


class Heartbeat(PeerMessage, frozen=True):
    """Proof that the sender is running, with the digest of its membership view."""

    epoch: int
    digest: int
    wants_answer: bool
    versions: Versions = Versions()


class MemberUpdates(PeerMessage, frozen=True):
    """Records that have just changed at the sender."""

    members: tuple[Member, ...]


class MemberTable(PeerMessage, frozen=True):
    """All records of the sender; in an answer, those that are new to the receiver."""

    members: tuple[Member, ...]
    wants_answer: bool


class ProbeRequest(PeerMessage, frozen=True):
    """A request for an indirect probe of an entry that does not answer the sender."""

    entry: EntryId


class ProbeAnswer(PeerMessage, frozen=True):
    """The time since the sender of this answer last had contact with the entry."""

    entry: EntryId
    since_contact_ms: int


class VersionAnswer(PeerMessage, frozen=True):
    """The versions that the answering entry has."""

    versions: Versions


class VersionQuestion(PeerMessage, frozen=True):
    """A request for the versions that an entry has."""

    reply_type: ClassVar = VersionAnswer


class Announcement(PeerMessage, frozen=True):
    """A notification to neighbours of increased versions or a new confirmation."""

    versions: Versions


class DocumentKind(Enum):
    """The documents that entries relay to each other."""

    CONFIG = "config"
    REFUSED = "refused"
    VMS = "vms"
    TARGETS = "targets"


class Document(PeerMessage, frozen=True):
    """A published document, or only the changes to the list of targets.

    The payload is empty if the document is not newer than the requested version.
    """

    payload: bytes


class DocumentRequest(PeerMessage, frozen=True):
    """A request for a document if its version is above `after` in `after_era`."""

    reply_type: ClassVar = Document
    kind: DocumentKind
    after: int
    after_era: int = 0


class TargetLeaving(PeerMessage, frozen=True):
    """A notification that a target accepts no new work."""

    target: TargetId


class TargetAnnouncedLeaving(PeerMessage, frozen=True):
    """A notification that an incarnation of a target has said that it leaves.

    `started_ms` is the Unix time of its start in ms, 0 if unknown.
    """

    target: TargetId
    started_ms: int


class TargetsLate(PeerMessage, frozen=True):
    """A notification that calls to targets are late, with the age of each in ms."""

    targets: tuple[tuple[TargetId, int], ...]


class TargetLimitNotice(PeerMessage, frozen=True):
    """A notification of the rate limits that targets named to the sender.

    `named` holds the target, its limit in requests a second and the age of that news in
    ms, and `lifted` the targets that no longer name one, with the age. `largest_fleet`
    is the greatest number of VMs that the sender has seen.
    """

    named: tuple[tuple[TargetId, float, int], ...]
    lifted: tuple[tuple[TargetId, int], ...] = ()
    largest_fleet: int = 0


class RequestCrashes(msgspec.Struct, frozen=True, array_like=True):
    """What a process knows of a request under which targets crashed; times in ms.

    `crashes` holds each target, and how long ago its call was sent and ended. `held_ms`
    is the remaining time of the request's quarantine, 0 without one, and `holds` the
    number of its quarantines. `answered_age_ms` is how long ago a target answered the
    request,
    -1 if none did.
    """

    fingerprint: Fingerprint
    crashes: tuple[tuple[TargetId, int, int], ...]
    held_ms: int = 0
    holds: int = 0
    answered_age_ms: int = -1


class RequestCrashNotice(PeerMessage, frozen=True):
    """A notification of requests under which targets crashed, or that were cleared."""

    requests: tuple[RequestCrashes, ...]


class TargetReplaced(PeerMessage, frozen=True):
    """A notification that another target has answered at a target's address."""

    target: TargetId
    address: str


class CallerLookup(PeerMessage, frozen=True):
    """A notification that a caller, named by its host, has looked up addresses."""

    caller: str


class RelayedAnswer(PeerMessage, frozen=True):
    """A target's answer, unchanged."""

    payload: bytes


class RelayedCall(PeerMessage, frozen=True):
    """A call to a target that one of its homes makes for another entry.

    `answer_grace_ms` is how long the requesting entry waits for the answer after
    the deadline for the target. The deadline of this message includes it.
    """

    reply_type: ClassVar = RelayedAnswer
    target: TargetId
    path: str
    body: bytes
    answer_grace_ms: int
