"""Stores of the configuration and VM list in force, whose versions never decrease."""

from collections.abc import Callable, Iterable
from enum import Enum
from typing import TypeVar

import msgspec

from ...conf import (
    Configuration,
    PublishedConfiguration,
    PublishedVms,
    decode_configuration,
)
from ...exceptions import ConfigurationError, VersionNotAppliedError
from ...ids import ConfigVersion
from ..common.clock import Clock
from .confirmations import Confirmation
from .readings import Reading


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
Applied = TypeVar("Applied", AcceptedConfiguration, PublishedVms)


def apply_whole(
    newer: Applied,
    previous: Applied | None,
    listeners: Iterable[Callable[[Applied], None]],
) -> None:
    """Pass a version to all listeners, or return them all to the previous one.

    Raises VersionNotAppliedError, which names the version and the errors.
    """
    known = list(listeners)
    try:
        for listener in known:
            listener(newer)
    except Exception as error:
        errors = [repr(error)]
        for listener in known if previous is not None else ():
            try:
                listener(previous)
            except Exception as another:
                errors.append(repr(another))
        raise VersionNotAppliedError(
            f"version {newer.version} is not in force, since it could not be applied: "
            f"{'; then '.join(errors)}; correct the document or report this"
        ) from error


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
        self.confirmation = Confirmation()
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
        """Put a published configuration in force if it is newer and valid.

        Raises VersionNotAppliedError if a listener fails. Then the previous version
        stays in force, and this one counts as new when it is offered again.
        """
        result = self.compare(published)
        if result is not OfferResult.ACCEPTED:
            self.ignored[result] = self.ignored.get(result, 0) + 1
            return result
        try:
            configuration = self.decode(published.document)
        except ConfigurationError as error:
            self.refuse(published, str(error))
            return OfferResult.REFUSED
        self.put_in_force(
            AcceptedConfiguration(
                published.version, configuration, published, self.clock.now()
            )
        )
        return OfferResult.ACCEPTED

    def put_in_force(self, accepted: AcceptedConfiguration) -> None:
        """Use a configuration from now on, or raise VersionNotAppliedError."""
        previous, self.current = self.current, accepted
        try:
            apply_whole(accepted, previous, self.listeners)
        except BaseException:
            self.current = previous
            raise
        if self.refused_version <= self.version:
            self.refused = None

    def compare(self, published: PublishedConfiguration) -> OfferResult:
        """Return ACCEPTED if the version is new, or else the reason to ignore it."""
        if published.version < max(1, self.version):
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

    def confirm(self, age_s: float = 0.0, reading: Reading | None = None) -> None:
        """Record that the service confirmed the version in force `age_s` seconds ago.

        `reading` is the reading of another process, None if this process read the
        service itself. Only the newest confirmation counts.
        """
        self.confirmation.note(self.clock.now() - age_s, reading)

    @property
    def age_s(self) -> float | None:
        """The seconds since the service last confirmed the configuration.

        Confirmations that peers relayed count too. None if there was none.
        """
        return self.confirmation.get_age_s(self.clock.now())


class VmStore:
    """Stores the newest VM list that this process has received."""

    def __init__(self) -> None:
        self.current: PublishedVms | None = None
        self.confirmation = Confirmation()
        self.listeners: list[VmListener] = []

    @property
    def version(self) -> int:
        """The version of the list, or 0 if there is none yet."""
        return self.current.version if self.current else 0

    def offer(self, published: PublishedVms) -> OfferResult:
        """Put a list in force if it is newer and not empty.

        Raises VersionNotAppliedError, as the store of configurations does.
        """
        if published.version < self.version:
            return OfferResult.OLDER
        if published.version == self.version:
            same = published == self.current
            return OfferResult.KNOWN if same else OfferResult.CONFLICT
        if not published.vms:
            return OfferResult.REFUSED
        previous, self.current = self.current, published
        try:
            apply_whole(published, previous, self.listeners)
        except BaseException:
            self.current = previous
            raise
        return OfferResult.ACCEPTED
