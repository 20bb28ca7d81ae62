"""Tests of the watches of an entry's documents, with a scripted service."""

import random

import msgspec
import testtools

from sesameplank.conf import PublishedConfiguration
from sesameplank.core.common.clock import ManualClock
from sesameplank.core.published.versions import ConfigurationStore, OfferResult
from sesameplank.exceptions import ConfigurationError, VersionNotAppliedError
from sesameplank.published.watch import ConfigurationWatch, ReadPolicy

REFUSED = b"0"


def decode(document: bytes) -> bytes:
    """Return a document's bytes, or raise ConfigurationError for REFUSED."""
    if bytes(document) == REFUSED:
        raise ConfigurationError("refused")
    return bytes(document)


class ScriptedReader:
    """A service that answers each read with the same configuration."""

    def __init__(self) -> None:
        self.published: PublishedConfiguration | None = None

    def read_configuration(self, after_version: int, wait_s: float):
        """Return the published configuration."""
        return self.published


class UnconfirmedViewTests(testtools.TestCase):
    """A process whose view isn't what the service has doesn't take it for fresh."""

    def setUp(self):
        super().setUp()
        self.clock = ManualClock(100.0)
        self.reader = ScriptedReader()
        self.store = ConfigurationStore(self.clock, decode)
        self.watch = ConfigurationWatch(
            self.store,
            self.reader,
            ReadPolicy(lambda: True, lambda: 1, 0.0),
            self.clock,
            random.Random(1),
        )
        self.read(5, b"1")
        self.clock.advance(10.0)

    def read(self, version: int, document: bytes) -> None:
        """Let the service answer with a configuration, and ask it."""
        self.reader.published = PublishedConfiguration(version, msgspec.Raw(document))
        self.watch.check_service()

    def test_service_that_has_the_version_confirms_it(self):
        self.read(5, b"1")
        self.assertEqual(0.0, self.store.age_s)

    def test_refused_newer_version(self):
        for _ in range(2):
            self.read(6, REFUSED)
        self.assertEqual((5, 6), (self.store.version, self.store.refused_version))
        self.assertEqual(10.0, self.store.age_s)

    def test_other_content_under_the_version_in_force(self):
        self.read(5, b"2")
        self.assertEqual(1, self.store.ignored[OfferResult.CONFLICT])
        self.assertEqual(10.0, self.store.age_s)

    def test_older_version(self):
        self.read(4, b"1")
        self.assertEqual(10.0, self.store.age_s)

    def test_newer_version_that_cannot_be_applied(self):
        self.store.listeners.append(fail)
        for _ in range(2):
            self.assertRaises(VersionNotAppliedError, self.read, 6, b"1")
        self.assertEqual((5, 10.0), (self.store.version, self.store.age_s))


def fail(accepted) -> None:
    """Fail as a component would that can't apply version 6."""
    if accepted.version == 6:
        raise OverflowError("too large")
