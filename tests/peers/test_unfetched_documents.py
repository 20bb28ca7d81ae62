"""Tests of a relay whose peers offer documents that it can't get or can't use."""

import random

import gevent
import msgspec
import testtools

from sesameplank.conf import PublishedConfiguration
from sesameplank.core.common.clock import ManualClock
from sesameplank.core.common.outcomes import Failure, FailureReason, Ran
from sesameplank.core.membership.peer_messages import (
    Announcement,
    Document,
    DocumentKind,
    Versions,
)
from sesameplank.core.published.readings import Reading
from sesameplank.core.published.target_table import TargetChanges, TargetTable
from sesameplank.core.published.versions import ConfigurationStore
from sesameplank.peers.document_relay import DocumentRelay
from sesameplank.peers.links import PeerContext
from sesameplank.peers.relayed_documents import make_front_documents

ROUND_TIMEOUT_S = 5.0
TARGETS = msgspec.msgpack.encode(TargetChanges(11, is_whole=True))
LOST = Failure(FailureReason.TIMEOUT, Ran.UNKNOWN)


def encode_configuration(version: int) -> bytes:
    """Return a configuration as a peer sends it."""
    return msgspec.json.encode(PublishedConfiguration(version, msgspec.Raw(b"1")))


class ScriptedLinks:
    """Links whose calls have prepared results, by peer and kind of document."""

    entry_id = "own"
    incarnation = 1

    def __init__(self) -> None:
        self.documents: dict[tuple[str, DocumentKind], bytes | Failure] = {}
        self.calls: list[tuple[str, DocumentKind]] = []
        self.sent: list[Announcement] = []

    def register(self, message_type, handler) -> None:
        """Ignore a handler; the tests call the relay itself."""

    def call(self, peer, message, deadline_at):
        """Return the prepared result of a request for a document."""
        self.calls.append((peer, message.kind))
        result = self.documents.get((peer, message.kind), LOST)
        return result if isinstance(result, Failure) else Document(result)

    def send(self, peer, message) -> bool:
        """Record a message."""
        self.sent.append(message)
        return True


class UnfetchedDocumentTests(testtools.TestCase):
    """A version that can't be had from a peer costs neither others nor the truth."""

    def setUp(self):
        super().setUp()
        self.clock = ManualClock(100.0)
        self.links = ScriptedLinks()
        self.store = ConfigurationStore(self.clock, bytes)
        self.store.offer(PublishedConfiguration(5, msgspec.Raw(b"1")))
        self.table = TargetTable()
        self.table.apply(TargetChanges(10, is_whole=True), 100.0, False)
        self.relay = DocumentRelay(
            self.links,
            self.store,
            make_front_documents(self.store, self.table, self.clock),
            lambda: ["a", "b"],
            self.clock,
            random.Random(1),
            confirmation_interval_s=0.5,
        )
        self.confirm("a", 1)

    def confirm(self, peer: str, number: int, config=5, targets=10, late_s=0.0) -> None:
        """Pass on a confirmation by a peer, with the versions that it has."""
        versions = Versions(
            config,
            config_age_ms=0,
            targets=targets,
            reading=Reading(peer, 1, number),
        )
        context = PeerContext(peer, 1, late_s, float("inf"))
        self.relay.on_announcement(Announcement(versions), context)

    def run_round(self) -> None:
        """Run a round of the relay."""
        with gevent.Timeout(ROUND_TIMEOUT_S):
            self.relay.run_round()

    def set_documents(self, peer: str, config=LOST, targets=LOST) -> None:
        """Set what a peer returns."""
        self.links.documents[peer, DocumentKind.CONFIG] = config
        self.links.documents[peer, DocumentKind.TARGETS] = targets

    def test_another_peer_is_asked_after_a_failed_fetch(self):
        self.set_documents("b", encode_configuration(6), TARGETS)
        for peer in ("a", "b"):
            self.confirm(peer, 2, config=6, targets=11)
        self.run_round()
        self.assertEqual((6, 11), (self.store.version, self.table.revision))

    def test_age_grows_while_the_one_peer_with_news_cannot_be_asked(self):
        for number in range(2, 12):
            self.clock.advance(1.0)
            self.confirm("a", number, config=6)
            self.run_round()
        self.assertEqual(10, len(self.links.calls))
        self.assertEqual(10.0, self.store.age_s)

    def test_age_grows_while_documents_of_peers_cannot_be_decoded(self):
        self.set_documents("a", b"{", b"\xc1")
        for config, targets in ((6, 10), (5, 11)):
            for number in range(2, 12):
                self.clock.advance(1.0)
                self.confirm("a", number, config=config, targets=targets)
                self.run_round()
        self.assertEqual(20.0, self.store.age_s)

    def test_kind_that_raises_keeps_no_other_back(self):
        self.set_documents("a", encode_configuration(6), TARGETS)
        self.set_documents("b", encode_configuration(6), TARGETS)
        self.store.listeners.append(fail)
        for peer in ("a", "b"):
            self.confirm(peer, 2, config=6, targets=11)
        self.assertRaises(OverflowError, self.run_round_and_unwrap)
        self.assertEqual((5, 11), (self.store.version, self.table.revision))
        self.assertEqual(11, self.links.sent[-1].versions.targets)
        asked = [peer for peer, kind in self.links.calls if kind is DocumentKind.CONFIG]
        self.assertEqual({"a", "b"}, set(asked))

    def run_round_and_unwrap(self) -> None:
        """Run a round and raise the cause of its error."""
        try:
            self.run_round()
        except Exception as error:
            raise error.__cause__ or error from None

    def test_confirmations_that_waited_while_this_process_stood_still_are_old(self):
        self.clock.advance(10.0)
        self.confirm("a", 2, late_s=9.0)
        self.assertEqual(9.0, self.store.age_s)


def fail(accepted) -> None:
    """Fail as a component would that can't apply a version."""
    if accepted.version == 6:
        raise OverflowError("too large")
