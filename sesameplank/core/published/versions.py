"""Stores of the configuration and VM list in force, whose versions never decrease."""

from collections.abc import Callable
from enum import Enum

import msgspec

from ...conf import (
    Configuration,
    PublishedConfiguration,
    PublishedVms,
    decode_configuration,
)
from ...exceptions import ConfigurationError
from ...ids import ConfigVersion
from ..common.clock import Clock


class OfferResult(Enum):
    """The result of offering a document to a store.

    KNOWN means that the store has received this version already, CONFLICT that it
    holds other contents under the same version, and REFUSED that the document is
    not valid.
    """

    ACCEPTED = "accepted"
    KNOWN = "known"
    OLDER = "older"
    CONFLICT = "conflict"
    REFUSED = "refused"


class AcceptedConfiguration(msgspec.Struct, frozen=True):
    """A valid configuration with its version.

    Each request uses a single instance from its start to its end.
    """

    version: ConfigVersion
    configuration: Configuration
    published: PublishedConfiguration
    accepted_at: float


class RefusedConfiguration(msgspec.Struct, frozen=True):
    """A published version that failed validation, and the reason."""

    version: ConfigVersion
    reason: str
    published: PublishedConfiguration


ConfigurationListener = Callable[[AcceptedConfiguration], None]
VmListener = Callable[[PublishedVms], None]


class ConfigurationStore:
    """Stores the newest valid configuration that this process has received.

    `decode` returns the typed value of a document or raises ConfigurationError.

    A refused version does not block valid versions that arrive later, even if
    their numbers are lower. Otherwise a single wrong answer of the configuration
    service with a high version number would block every later change.
    """

    def __init__(
        self, clock: Clock, decode: Callable[[bytes], object] = decode_configuration
    ) -> None:
        self.clock = clock
        self.decode = decode
        self.current: AcceptedConfiguration | None = None
        self.refused: RefusedConfiguration | None = None
        self.confirmed_at: float | None = None
        self.ignored: dict[OfferResult, int] = {}
        self.listeners: list[ConfigurationListener] = []

    @property
    def version(self) -> ConfigVersion:
        """The version in force, or 0 if there is none yet."""
        return self.current.version if self.current else ConfigVersion(0)

    @property
    def refused_version(self) -> ConfigVersion:
        """The highest refused version above the one in force, or 0."""
        return self.refused.version if self.refused else ConfigVersion(0)

    def offer(self, published: PublishedConfiguration) -> OfferResult:
        """Put a published configuration in force if it is newer and valid."""
        result = self.compare(published)
        if result is not OfferResult.ACCEPTED:
            self.ignored[result] = self.ignored.get(result, 0) + 1
            return result
        try:
            configuration = self.decode(published.document)
        except ConfigurationError as error:
            self.refuse(published, str(error))
            return OfferResult.REFUSED
        self.current = AcceptedConfiguration(
            published.version, configuration, published, self.clock.now()
        )
        if self.refused_version <= self.version:
            self.refused = None
        for listener in self.listeners:
            listener(self.current)
        return OfferResult.ACCEPTED

    def compare(self, published: PublishedConfiguration) -> OfferResult:
        """Return ACCEPTED if the version is new, or else the reason to ignore it."""
        if published.version < self.version:
            return OfferResult.OLDER
        if published.version == self.version:
            same = bytes(published.document) == bytes(self.current.published.document)
            return OfferResult.KNOWN if same else OfferResult.CONFLICT
        if published.version == self.refused_version:
            return OfferResult.KNOWN
        return OfferResult.ACCEPTED

    def refuse(self, published: PublishedConfiguration, reason: str) -> None:
        """Store a refused version and the reason if it is above the stored one."""
        if published.version > self.refused_version:
            self.refused = RefusedConfiguration(published.version, reason, published)

    def confirm(self, age_s: float = 0.0) -> None:
        """Record that the service confirmed the version in force `age_s` seconds ago.

        Only the newest confirmation counts.
        """
        confirmed_at = self.clock.now() - age_s
        if self.confirmed_at is None or confirmed_at > self.confirmed_at:
            self.confirmed_at = confirmed_at

    @property
    def age_s(self) -> float | None:
        """The seconds since the service last confirmed the configuration.

        Confirmations that peers relayed count too. None if there was none.
        """
        if self.confirmed_at is None:
            return None
        return max(0.0, self.clock.now() - self.confirmed_at)


class VmStore:
    """Stores the newest VM list that this process has received."""

    def __init__(self) -> None:
        self.current: PublishedVms | None = None
        self.confirmed_at: float | None = None
        self.listeners: list[VmListener] = []

    @property
    def version(self) -> int:
        """The version of the list, or 0 if there is none yet."""
        return self.current.version if self.current else 0

    def confirm(self, confirmed_at: float) -> None:
        """Record when the service confirmed the version; the newest time counts."""
        if self.confirmed_at is None or confirmed_at > self.confirmed_at:
            self.confirmed_at = confirmed_at

    def get_age_s(self, now: float) -> float | None:
        """Return the seconds since the service last confirmed the list, or None.

        Confirmations that peers relayed count too.
        """
        if self.confirmed_at is None:
            return None
        return max(0.0, now - self.confirmed_at)

    def offer(self, published: PublishedVms) -> OfferResult:
        """Put a list in force if it is newer and not empty."""
        if published.version < self.version:
            return OfferResult.OLDER
        if published.version == self.version:
            same = published == self.current
            return OfferResult.KNOWN if same else OfferResult.CONFLICT
        if not published.vms:
            return OfferResult.REFUSED
        self.current = published
        for listener in self.listeners:
            listener(published)
        return OfferResult.ACCEPTED
