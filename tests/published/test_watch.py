"""Tests of the reading of the platform's documents, with a scripted service."""

import random
from unittest.mock import Mock, patch

import msgspec
import testtools

from sesameplank.conf import PublishedConfiguration, PublishedVms, Vm
from sesameplank.core.common.clock import ManualClock
from sesameplank.core.published.versions import ConfigurationStore, VmStore
from sesameplank.exceptions import PlatformError
from sesameplank.published import watch
from sesameplank.published.watch import (
    FALLBACK_AGE_S,
    LOG_INTERVAL_S,
    ConfigurationWatch,
    ReadPolicy,
    VmWatch,
)
from sesameplank.standins.deployments import VATUWAQA, make_configuration

VALID = msgspec.json.encode(make_configuration(VATUWAQA, "127.20"))
OTHER = VALID.replace(b'"ordinary"', b'"peak"')
VM = Vm("a", "10.0.0.1:80", "10.0.0.1:81", "dc")
OTHER_VM = Vm("b", "10.0.0.2:80", "10.0.0.2:81", "dc")


def make_published(version: int, document: bytes = VALID) -> PublishedConfiguration:
    """Return a configuration as the platform publishes it."""
    return PublishedConfiguration(version, msgspec.Raw(document))


class WatchTests(testtools.TestCase):
    """Entries notice that the service no longer confirms what is in force."""

    def setUp(self):
        super().setUp()
        self.clock = ManualClock(100.0)
        self.is_elected = True
        self.reader = Mock()
        self.log = self.enterContext(patch.object(watch, "log_event"))
        self.enterContext(patch.object(watch.gevent, "sleep", self.clock.advance))
        policy = ReadPolicy(lambda: self.is_elected, lambda: 1, 1.0)
        arguments = (self.reader, policy, self.clock, random.Random(1))
        self.configuration = ConfigurationWatch(
            ConfigurationStore(self.clock), *arguments
        )
        self.vms = VmWatch(VmStore(), *arguments)

    def run_for(self, document_watch, seconds: float) -> None:
        """Run rounds for a time; a read takes none of it."""
        until = self.clock.now() + seconds
        while self.clock.now() < until:
            document_watch.run_round()
            self.clock.advance(0.1)

    def count_lines(self, event: str) -> int:
        """Return how often an event was logged."""
        return sum(call.args[0] == event for call in self.log.call_args_list)

    def test_answers_that_do_not_confirm_the_version_in_force(self):
        table = (
            (self.configuration, make_published(5), None),
            (self.configuration, make_published(5), make_published(4)),
            (self.configuration, make_published(5), make_published(5, OTHER)),
            (self.configuration, make_published(5), PlatformError("no answer")),
            (self.vms, PublishedVms(5, (VM,)), None),
            (self.vms, PublishedVms(5, (VM,)), PublishedVms(4, (VM,))),
            (self.vms, PublishedVms(5, (VM,)), PublishedVms(5, (OTHER_VM,))),
            (self.vms, PublishedVms(5, (VM,)), PlatformError("no answer")),
        )
        for document_watch, first, later in table:
            document_watch.read = Mock(return_value=first)
            document_watch.check_service()
            self.assertEqual(0.0, document_watch.get_age_s())
            document_watch.read = Mock(side_effect=[later] * 10_000)
            self.log.reset_mock()
            self.run_for(document_watch, 2 * FALLBACK_AGE_S)
            self.assertGreater(document_watch.get_age_s(), FALLBACK_AGE_S)
            self.assertEqual(5, document_watch.version)
            self.assertTrue(self.log.called, later)

    def test_entry_that_is_no_reader_reads_an_old_vm_list(self):
        self.vms.read = Mock(return_value=PublishedVms(5, (VM,)))
        self.vms.check_service()
        self.is_elected = False
        self.vms.read = Mock(return_value=PublishedVms(6, (OTHER_VM,)))
        self.run_for(self.vms, FALLBACK_AGE_S - 1.0)
        self.assertEqual(5, self.vms.version)
        self.run_for(self.vms, 4.0)
        self.assertEqual(6, self.vms.version)
        self.assertEqual(1, self.count_lines("vms_unconfirmed"))

    def test_lasting_failure_is_logged_again_and_counted(self):
        self.vms.read = Mock(return_value=PublishedVms(5, (VM,)))
        self.vms.check_service()
        self.vms.read = Mock(side_effect=PlatformError("no answer"))
        self.run_for(self.vms, 3.5 * LOG_INTERVAL_S)
        lines = self.count_lines("vms_read_failed")
        self.assertIn(lines, (3, 4))
        self.assertEqual(self.vms.failures, self.vms.failures_in_a_row)
        self.assertGreater(self.vms.failures, lines)
        self.vms.read = Mock(return_value=PublishedVms(5, (VM,)))
        self.run_for(self.vms, 1.0)
        self.assertEqual(1, self.count_lines("vms_read_recovered"))
