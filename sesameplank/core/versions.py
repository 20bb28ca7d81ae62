"""The configuration in force, whose version never falls."""

from collections.abc import Callable
from enum import Enum

import msgspec

from ..conf import Configuration, PublishedConfiguration, decode_configuration
from ..exceptions import ConfigurationError
from ..ids import ConfigVersion
from .clock import Clock


class OfferResult(Enum):
    """What became of an offered configuration."""

    ACCEPTED = "accepted"
    KNOWN = "known"
    REFUSED = "refused"


class AcceptedConfiguration(msgspec.Struct, frozen=True):
    """A valid configuration and its version; requests are pinned to one."""

    version: ConfigVersion
    configuration: Configuration
    published: PublishedConfiguration
    accepted_at: float


class RefusedConfiguration(msgspec.Struct, frozen=True):
    """A published version that broke a rule, and why."""

    version: ConfigVersion
    reason: str


Listener = Callable[[AcceptedConfiguration], None]


class ConfigurationStore:
    """Keeps the newest valid configuration that this process has seen."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.current: AcceptedConfiguration | None = None
        self.refused: RefusedConfiguration | None = None
        self.listeners: list[Listener] = []

    @property
    def version(self) -> ConfigVersion:
        """The version in force, 0 before the first."""
        return self.current.version if self.current else ConfigVersion(0)

    @property
    def seen_version(self) -> ConfigVersion:
        """The highest version seen, valid or refused."""
        refused = self.refused.version if self.refused else ConfigVersion(0)
        return max(self.version, refused)

    def offer(self, published: PublishedConfiguration) -> OfferResult:
        """Take a published configuration in if it is newer and valid."""
        if published.version <= self.seen_version:
            return OfferResult.KNOWN
        try:
            configuration = decode_configuration(published.document)
        except ConfigurationError as error:
            self.refused = RefusedConfiguration(published.version, str(error))
            return OfferResult.REFUSED
        self.current = AcceptedConfiguration(
            published.version, configuration, published, self.clock.now()
        )
        for listener in self.listeners:
            listener(self.current)
        return OfferResult.ACCEPTED
