"""A follower of a scripted store, for tests of what it believes."""

import random

import msgspec
import testtools

from sesameplank.conf import PublishedConfiguration
from sesameplank.core.common.clock import ManualClock
from sesameplank.core.published.target_table import (
    TargetChanges,
    TargetPhase,
    TargetRecord,
    TargetTable,
)
from sesameplank.core.published.versions import ConfigurationStore
from sesameplank.ids import ConfigVersion
from sesameplank.logs import output
from sesameplank.published.follower import (
    Publication,
    PublicationFollower,
    PublicationSource,
)


def make_record(name: str, revision: int) -> TargetRecord:
    """Return the record of a ready target."""
    return TargetRecord(
        name, "orders", "10.0.0.1:80", "dc", 2, TargetPhase.READY, revision=revision
    )


def make_configuration(version: int) -> PublishedConfiguration:
    """Return a published configuration whose document is its version."""
    return PublishedConfiguration(
        ConfigVersion(version), msgspec.Raw(b"%d" % version), 0.0
    )


class ScriptedSource(PublicationSource):
    """Returns prepared publications and records the calls."""

    def __init__(self) -> None:
        self.publications: list[Publication] = []
        self.calls: list[str] = []

    def add(self, era, revision, *names, is_whole=True, version=None) -> None:
        """Add a publication that lists the named targets."""
        records = tuple(make_record(name, revision) for name in names)
        self.publications.append(
            Publication(
                TargetChanges(revision, records, (), is_whole, era),
                None if version is None else make_configuration(version),
            )
        )

    def read(self) -> Publication:
        """Return the next publication."""
        self.calls.append("read")
        return self.publications.pop(0)

    def watch(self, after: int, wait_s: float) -> Publication:
        """Return the next publication."""
        self.calls.append(f"watch after {after}")
        return self.publications.pop(0)


class FollowerCase(testtools.TestCase):
    """A follower that knows revision 10, with a clock that is set by hand."""

    FIRST_ERA = 1

    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.source = ScriptedSource()
        self.table = TargetTable()
        self.configurations = ConfigurationStore(self.clock, bytes)
        self.unavailable: list[bool] = []
        self.stall_s = 0.0
        self.follower = PublicationFollower(
            self.source,
            self.configurations,
            self.table,
            self.clock,
            random.Random(1),
            lambda: None,
            lambda age_s: True,
            self.unavailable.append,
            **self.get_options(),
        )
        self.source.add(self.FIRST_ERA, 10, "a", version=7)
        self.follower.run_round()
        self.clock.advance(1.0)
        self.lines: list[str] = []
        self.patch(output, "write", self.lines.append)

    def get_options(self) -> dict:
        """Return further arguments of the follower."""
        return {}

    def get_targets(self) -> list[str]:
        """Return the names of the known targets."""
        return sorted(self.table.records)

    def count_lines(self, event: str) -> int:
        """Return how many lines of an event were written."""
        return sum(line.startswith(f"event={event} ") for line in self.lines)
