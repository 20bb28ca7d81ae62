"""Hands the platform's documents from entry to entry."""

import random
from collections.abc import Callable, Iterable, Mapping

import gevent
import msgspec
from gevent.event import Event

from ..core.clock import Clock
from ..core.outcomes import Failure
from ..core.peer_messages import (
    Announcement,
    Document,
    DocumentKind,
    DocumentRequest,
    VersionAnswer,
    VersionQuestion,
    Versions,
)
from ..core.versions import ConfigurationStore
from ..ids import ConfigVersion, EntryId
from ..logs import log_event
from .links import PeerContext, PeerLinks
from .relayed_documents import RelayedDocument

FETCH_TIMEOUT_S = 2.0
QUESTION_TIMEOUT_S = 1.0
CATCH_UP_TIMEOUT_S = 2.0
MAX_ASKED = 16


class DocumentRelay:
    """Announces versions to neighbours and fetches the ones that it lacks.

    When a version increases, it is announced to every neighbour at once, and
    heartbeats repeat it. The document itself is sent only to an entry that requests
    it. With `confirmation_interval_s`, neighbours are also notified at this interval
    in seconds that the view is still current. After each announcement the loop
    sleeps `announcement_interval_s` seconds, so that versions that increase in the
    meantime are announced together.
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
        self.pulsed_at = float("-inf")
        self.links = links
        self.store = store
        self.documents = dict(documents)
        self.get_neighbours = get_neighbours
        self.clock = clock
        self.rng = rng
        self.offers: dict[DocumentKind, dict[EntryId, int]] = {
            kind: {} for kind in DocumentKind
        }
        self.wake = Event()
        self.announced = Versions()
        links.register(Announcement, self.on_announcement)
        links.register(DocumentRequest, self.on_request)
        links.register(VersionQuestion, self.on_question)

    def get_versions(self) -> Versions:
        """Return the versions that this process has."""
        age_s = self.store.age_s
        return Versions(
            ConfigVersion(self.get_version(DocumentKind.CONFIG)),
            ConfigVersion(self.get_version(DocumentKind.REFUSED)),
            self.get_version(DocumentKind.VMS),
            -1 if age_s is None else int(age_s * 1_000),
            self.get_version(DocumentKind.TARGETS),
        )

    def get_version(self, kind: DocumentKind) -> int:
        """Return the version that this process has of one document, or 0."""
        document = self.documents.get(kind)
        return document.version if document else 0

    def run(self) -> None:
        """Fetch what peers offer and announce what rises, until killed."""
        while True:
            self.wake.wait(timeout=0.5)
            self.wake.clear()
            for kind in self.documents:
                self.fetch_newest(kind)
            self.announce()
            gevent.sleep(self.announcement_interval_s)

    def announce(self) -> None:
        """Tell the neighbours if a version rose since the last time."""
        versions = msgspec.structs.replace(self.get_versions(), config_age_ms=-1)
        if versions == self.announced and not self.is_pulse_due():
            return
        self.announced = versions
        message = Announcement(self.get_versions())
        for neighbour in self.get_neighbours():
            self.links.send(neighbour, message)

    def is_pulse_due(self) -> bool:
        """Tell whether neighbours should hear that the view is still current.

        Each entry passes the news on once, so that it floods the overlay.
        """
        confirmed_at = self.store.confirmed_at
        if self.confirmation_interval_s is None or confirmed_at is None:
            return False
        if confirmed_at - self.pulsed_at < self.confirmation_interval_s:
            return False
        self.pulsed_at = confirmed_at
        return True

    def notify(self) -> None:
        """Let the loop look for versions that rose."""
        self.wake.set()

    def on_announcement(self, message: Announcement, context: PeerContext) -> None:
        """Take the versions of a neighbour in."""
        self.on_versions(context.sender, message.versions)

    def on_versions(self, sender: EntryId, versions: Versions) -> None:
        """Note which newer documents a peer has, and what the service confirmed."""
        self.take_confirmation(versions)
        offered = {
            DocumentKind.CONFIG: versions.config,
            DocumentKind.VMS: versions.vms,
            DocumentKind.TARGETS: versions.targets,
        }
        if versions.refused > max(versions.config, self.store.version):
            offered[DocumentKind.REFUSED] = versions.refused
        for kind, version in offered.items():
            if kind in self.documents and version > self.get_version(kind):
                self.offers[kind][sender] = version
                self.wake.set()

    def take_confirmation(self, versions: Versions) -> None:
        """Note that a peer's view, which is also ours, was current of late."""
        is_same = versions.config == self.store.version
        is_newer = versions.targets > self.get_version(DocumentKind.TARGETS)
        if not is_same or is_newer or versions.config_age_ms < 0:
            return
        self.store.confirm(versions.config_age_ms / 1_000)
        if self.confirmation_interval_s is not None:
            self.wake.set()

    def fetch_newest(self, kind: DocumentKind) -> None:
        """Fetch one document from the peers that offer it, the newest first."""
        offers = self.offers[kind]
        while offers:
            peer = max(offers, key=offers.get)
            version = offers.pop(peer)
            if version > self.get_version(kind):
                self.fetch(kind, peer)

    def fetch(self, kind: DocumentKind, peer: EntryId) -> None:
        """Fetch one document from one peer and offer it to its store."""
        request = DocumentRequest(kind, self.get_version(kind))
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

    def on_request(self, message: DocumentRequest, context: PeerContext) -> Document:
        """Return a document that a peer lacks."""
        document = self.documents.get(message.kind)
        if document is None or document.version <= message.after:
            return Document(b"")
        return Document(document.encode(message.after))

    def on_question(
        self, message: VersionQuestion, context: PeerContext
    ) -> VersionAnswer:
        """Return the versions of this process."""
        return VersionAnswer(self.get_versions())

    def catch_up(self, peers: Iterable[EntryId]) -> int:
        """Ask peers for their versions and fetch the newest; return the answers.

        Up to `MAX_ASKED` peers are asked, and it takes bounded time: whoever
        does not answer is not waited for.
        """
        others = sorted(set(peers) - {self.links.entry_id})
        asked = self.rng.sample(others, min(MAX_ASKED, len(others)))
        questions = [gevent.spawn(self.ask, peer) for peer in asked]
        gevent.joinall(questions)
        answers = [item.value for item in questions if item.value]
        until = self.clock.now() + CATCH_UP_TIMEOUT_S
        newest = max((answer.config for answer in answers), default=0)
        while self.store.version < newest and self.clock.now() < until:
            gevent.sleep(0.02)
        return len(answers)

    def ask(self, peer: EntryId) -> Versions | None:
        """Return one peer's versions after taking them in, or None."""
        deadline_at = self.clock.now() + QUESTION_TIMEOUT_S
        outcome = self.links.call(peer, VersionQuestion(), deadline_at)
        if isinstance(outcome, Failure):
            return None
        self.on_versions(peer, outcome.versions)
        return outcome.versions
