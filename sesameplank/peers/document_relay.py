"""Relays the documents that the platform publishes from peer to peer."""

import math
import random
from collections.abc import Callable, Iterable, Mapping

import gevent
import msgspec
from gevent.event import Event

from ..core.common.clock import Clock
from ..core.common.outcomes import Failure
from ..core.membership.peer_messages import (
    Announcement,
    Document,
    DocumentKind,
    DocumentRequest,
    VersionAnswer,
    VersionQuestion,
    Versions,
)
from ..core.published.confirmations import Confirmation
from ..core.published.document_version import DocumentVersion
from ..core.published.readings import HeardReadings, Reading
from ..core.published.versions import ConfigurationStore
from ..ids import ConfigVersion, EntryId
from ..logs import log_event
from .links import PeerContext, PeerLinks
from .relayed_documents import RelayedDocument

WAKE_INTERVAL_S = 0.5
FETCH_TIMEOUT_S = 2.0
VERSIONS_TIMEOUT_S = 1.0
CATCH_UP_TIMEOUT_S = 2.0
MAX_CATCH_UP_PEERS = 16
MAX_LOGGED_CHARACTERS = 300


class DocumentRelay:
    """Announces versions to neighbours and fetches newer ones from peers.

    When a version increases, it is announced to every neighbour at once, and
    heartbeats repeat it. The document itself is sent only to a peer that requests
    it. With `confirmation_interval_s`, neighbours are also notified, at most once per
    this interval in seconds, that the configuration service confirmed the
    configuration. After each announcement the loop sleeps `announcement_interval_s`
    seconds, so that versions that increase in the meantime are announced together.
    `offered_versions` holds the newer versions that peers have, by document and peer,
    and `heard_readings` the readings that confirmed the configuration to others, as
    `heard_vms_readings` does for the VM list.
    """

    def __init__(
        self,
        links: PeerLinks,
        store: ConfigurationStore,
        documents: Mapping[DocumentKind, RelayedDocument],
        get_neighbours: Callable[[], Iterable[EntryId]],
        clock: Clock,
        rng: random.Random,
        confirmation_interval_s: float | None = None,
        announcement_interval_s: float = 0.0,
    ) -> None:
        self.confirmation_interval_s = confirmation_interval_s
        self.announcement_interval_s = announcement_interval_s
        self.announced_confirmation_at = float("-inf")
        self.links = links
        self.store = store
        self.documents = dict(documents)
        self.get_neighbours = get_neighbours
        self.clock = clock
        self.rng = rng
        self.offered_versions: dict[DocumentKind, dict[EntryId, DocumentVersion]] = {
            kind: {} for kind in DocumentKind
        }
        self.heard_readings = HeardReadings(links.entry_id, links.incarnation)
        self.heard_vms_readings = HeardReadings(links.entry_id, links.incarnation)
        self.wake = Event()
        self.announced = Versions()
        links.register(Announcement, self.on_announcement)
        links.register(DocumentRequest, self.on_document_request)
        links.register(VersionQuestion, self.on_version_question)

    def get_versions(self) -> Versions:
        """Return the versions of the documents that this process has."""
        age_s = self.store.age_s
        targets = self.get_version(DocumentKind.TARGETS)
        return Versions(
            ConfigVersion(self.get_version(DocumentKind.CONFIG).number),
            ConfigVersion(self.get_version(DocumentKind.REFUSED).number),
            self.get_version(DocumentKind.VMS).number,
            -1 if age_s is None else math.ceil(age_s * 1_000),
            targets.number,
            targets.era,
            self.get_reading(self.store.confirmation),
            self.get_vms_age_ms(),
            self.get_reading(self.get_vms_confirmation()),
        )

    def get_reading(self, confirmation: Confirmation) -> Reading | None:
        """Return the reading that confirmed a document last, or None."""
        if confirmation.confirmed_at is None:
            return None
        return confirmation.confirmed_by or Reading(
            self.links.entry_id, self.links.incarnation, confirmation.own_readings
        )

    def get_vms_age_ms(self) -> int:
        """Return the age of the VM list in milliseconds, -1 if it is not known."""
        age_s = self.get_vms_confirmation().get_age_s(self.clock.now())
        return -1 if age_s is None else math.ceil(age_s * 1_000)

    def get_vms_confirmation(self) -> Confirmation:
        """Return the confirmation of the VM list; an empty one without a list."""
        document = self.documents.get(DocumentKind.VMS)
        return document.confirmation if document else Confirmation()

    def get_version(self, kind: DocumentKind) -> DocumentVersion:
        """Return the version that this process has of one document."""
        document = self.documents.get(kind)
        return document.version if document else DocumentVersion()

    def run_round(self) -> None:
        """Wait for news, then fetch newer documents and announce newer versions.

        An error in one document is raised after all the others have had their turn.
        """
        self.wake.wait(timeout=WAKE_INTERVAL_S)
        self.wake.clear()
        errors = [item for kind in self.documents for item in self.fetch_newest(kind)]
        self.announce()
        gevent.sleep(self.announcement_interval_s)
        if errors:
            raise errors[0]

    def announce(self) -> None:
        """Announce the versions to the neighbours if one changed.

        Also announce them if a confirmation is due. What confirms the documents is
        ignored in the comparison.
        """
        versions = msgspec.structs.replace(
            self.get_versions(),
            config_age_ms=-1,
            reading=None,
            vms_age_ms=-1,
            vms_reading=None,
        )
        if versions == self.announced and not self.pop_due_confirmation():
            return
        self.announced = versions
        message = Announcement(self.get_versions())
        for neighbour in self.get_neighbours():
            self.links.send(neighbour, message)

    def pop_due_confirmation(self) -> bool:
        """Return whether to announce a confirmation of the configuration.

        If so, record the confirmation as announced. Each process relays a confirmation
        once, so that it floods the overlay.
        """
        confirmed_at = self.store.confirmation.confirmed_at
        if self.confirmation_interval_s is None or confirmed_at is None:
            return False
        if confirmed_at - self.announced_confirmation_at < self.confirmation_interval_s:
            return False
        self.announced_confirmation_at = confirmed_at
        return True

    def notify(self) -> None:
        """Wake the loop to announce versions that have increased."""
        self.wake.set()

    def on_announcement(self, message: Announcement, context: PeerContext) -> None:
        """Apply the versions that a neighbour announced."""
        self.on_versions(context.sender, message.versions, context.age_s)

    def on_versions(
        self, sender: EntryId, versions: Versions, age_s: float = 0.0
    ) -> None:
        """Record the newer documents that a peer offers, and apply its confirmations.

        `age_s` is the time in seconds that the message took, as far as is known.
        """
        self.apply_confirmation(versions, age_s)
        self.apply_vms_confirmation(versions, age_s)
        offered = {
            DocumentKind.CONFIG: DocumentVersion(number=versions.config),
            DocumentKind.VMS: DocumentVersion(number=versions.vms),
            DocumentKind.TARGETS: get_targets_version(versions),
        }
        if versions.refused > max(versions.config, self.store.version):
            offered[DocumentKind.REFUSED] = DocumentVersion(number=versions.refused)
        for kind, version in offered.items():
            if kind in self.documents and version > self.get_version(kind):
                self.documents[kind].note_offered(version)
                self.offered_versions[kind][sender] = version
                self.wake.set()

    def apply_confirmation(self, versions: Versions, age_s: float) -> None:
        """Record a confirmation by the configuration service that a peer relayed.

        Each reading of the service counts once, and a confirmation that names none not
        at all: an earlier release may have heard it from the peers that it tells.
        It applies only if the peer has the same configuration, no newer targets, and
        targets of the same era: a peer of an earlier era may still read the store as
        it was before it was restored.
        """
        own_targets = self.get_version(DocumentKind.TARGETS)
        has_same_configuration = versions.config == self.store.version
        has_newer_targets = get_targets_version(versions) > own_targets
        if (
            not has_same_configuration
            or has_newer_targets
            or versions.targets_era < own_targets.era
            or versions.config_age_ms < 0
            or versions.reading is None
            or not self.heard_readings.note(versions.reading, self.clock.now())
        ):
            return
        self.store.confirm(versions.config_age_ms / 1_000 + age_s, versions.reading)
        if self.confirmation_interval_s is not None:
            self.wake.set()

    def apply_vms_confirmation(self, versions: Versions, age_s: float) -> None:
        """Record a confirmation of the VM list by a peer that has the same list.

        Each reading counts once, as for the configuration.
        """
        if (
            versions.vms != self.get_version(DocumentKind.VMS).number
            or versions.vms_age_ms < 0
            or versions.vms_reading is None
            or not self.heard_vms_readings.note(versions.vms_reading, self.clock.now())
        ):
            return
        confirmed_at = self.clock.now() - versions.vms_age_ms / 1_000 - age_s
        self.get_vms_confirmation().note(confirmed_at, versions.vms_reading)

    def fetch_newest(self, kind: DocumentKind) -> list[Exception]:
        """Fetch one document from the peers that offer it, highest version first.

        Return the errors of documents that could not be applied.
        """
        errors = []
        offered_versions = self.offered_versions[kind]
        while offered_versions:
            peer = max(offered_versions, key=offered_versions.get)
            version = offered_versions.pop(peer)
            if version <= self.get_version(kind):
                continue
            try:
                self.fetch(kind, peer)
            except Exception as error:
                log_event(
                    "fetched_not_applied",
                    kind=kind.value,
                    peer=peer,
                    error=repr(error)[:MAX_LOGGED_CHARACTERS],
                )
                errors.append(error)
        return errors

    def fetch(self, kind: DocumentKind, peer: EntryId) -> None:
        """Fetch one document from one peer and offer it to its store."""
        known = self.get_version(kind)
        request = DocumentRequest(kind, known.number, known.era)
        deadline_at = self.clock.now() + FETCH_TIMEOUT_S
        outcome = self.links.call(peer, request, deadline_at)
        if isinstance(outcome, Failure):
            log_event("fetch_failed", kind=kind.value, peer=peer, reason=outcome.reason)
            return
        if not outcome.payload:
            return
        result = self.documents[kind].offer(outcome.payload)
        log_event(
            "fetched",
            kind=kind.value,
            peer=peer,
            result=result.value,
            bytes=len(outcome.payload),
        )

    def on_document_request(
        self, message: DocumentRequest, context: PeerContext
    ) -> Document:
        """Return a document to a peer, empty if it is not newer than the peer's."""
        document = self.documents.get(message.kind)
        after = DocumentVersion(message.after_era, message.after)
        if document is None or document.version <= after:
            return Document(b"")
        return Document(document.encode(after))

    def on_version_question(
        self, message: VersionQuestion, context: PeerContext
    ) -> VersionAnswer:
        """Return the versions of this process."""
        return VersionAnswer(self.get_versions())

    def catch_up(self, peers: Iterable[EntryId]) -> int:
        """Request versions from peers, and wait for the newest configuration.

        Up to `MAX_CATCH_UP_PEERS` peers, chosen at random, get `VERSIONS_TIMEOUT_S`
        to answer. The loop of `run` then has `CATCH_UP_TIMEOUT_S` to fetch the
        newest configuration among the answers. Return the number of answers.
        """
        others = sorted(set(peers) - {self.links.entry_id})
        chosen = self.rng.sample(others, min(MAX_CATCH_UP_PEERS, len(others)))
        requests = [gevent.spawn(self.request_versions, peer) for peer in chosen]
        gevent.joinall(requests)
        answers = [item.value for item in requests if item.value]
        stop_at = self.clock.now() + CATCH_UP_TIMEOUT_S
        newest = max((answer.config for answer in answers), default=0)
        while self.store.version < newest and self.clock.now() < stop_at:
            gevent.sleep(0.02)
        return len(answers)

    def request_versions(self, peer: EntryId) -> Versions | None:
        """Request one peer's versions and apply them; return None on failure."""
        asked_at = self.clock.now()
        deadline_at = asked_at + VERSIONS_TIMEOUT_S
        outcome = self.links.call(peer, VersionQuestion(), deadline_at)
        if isinstance(outcome, Failure):
            return None
        self.on_versions(peer, outcome.versions, self.clock.now() - asked_at)
        return outcome.versions


def get_targets_version(versions: Versions) -> DocumentVersion:
    """Return the version of the target list that a peer has."""
    return DocumentVersion(versions.targets_era, versions.targets)
