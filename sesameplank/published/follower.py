"""Watches the platform's store for changes of configuration and targets."""

import random
from abc import ABC, abstractmethod
from collections.abc import Callable

import gevent
import msgspec

from ..conf import PublishedConfiguration
from ..core.common.clock import Clock
from ..core.published.document_version import DocumentVersion
from ..core.published.target_table import TargetChanges, TargetTable
from ..core.published.versions import ConfigurationStore
from ..exceptions import HistoryGoneError, PlatformError, UnreadableResponseError
from ..logs import log_event

WATCH_WAIT_S = 1.5
# Usual upper bound on a response's time in transit; a watch may take longer.
MAX_RESPONSE_AGE_S = 0.3
ELECTION_CHECK_INTERVAL_S = 0.1
BATCH_DELAY_S = 0.2  # Batches a burst of changes, to save calls to the store.
STORE_UNAVAILABLE_S = 5.0
RETRY_DELAY_MIN_S = 0.2
RETRY_DELAY_MAX_S = 0.6
# A target that vanishes this soon after a failure may only have expired.
RECENT_FAILURE_S = 5.0


class Publication(msgspec.Struct, frozen=True):
    """The store's content, or the changes in it, up to a revision.

    `configuration` is None if it is missing, malformed or unchanged.
    """

    targets: TargetChanges
    configuration: PublishedConfiguration | None = None


class PublicationSource(ABC):
    """The interface for reading the platform's store; adapters implement it."""

    @abstractmethod
    def read(self) -> Publication:
        """Return everything that is published, or raise PlatformError."""

    @abstractmethod
    def watch(self, after: int, wait_s: float) -> Publication:
        """Wait up to `wait_s` seconds for changes after a revision, and return them.

        If the store was restored, they are changes after that revision in a later
        era, which the version of the targets names.

        Raises HistoryGoneError if the store no longer holds these changes,
        UnreadableResponseError if they could not be read whole, and PlatformError on
        any other failure.
        """


class PublicationFollower:
    """Keeps the configuration and the table of targets current.

    It calls the store only while `is_elected_reader` returns True. The argument of
    that function is the time in seconds since the store last confirmed the
    configuration, or None if it never did. `set_store_unavailable` is called with
    True when calls to the store start to fail, and with False when they succeed
    again or the failure is no longer recent. `on_response` is called after every
    successful call.
    """

    def __init__(
        self,
        source: PublicationSource,
        configuration_store: ConfigurationStore,
        table: TargetTable,
        clock: Clock,
        rng: random.Random,
        on_response: Callable[[], None],
        is_elected_reader: Callable[[float | None], bool],
        set_store_unavailable: Callable[[bool], None],
    ) -> None:
        self.source = source
        self.configuration_store = configuration_store
        self.table = table
        self.clock = clock
        self.rng = rng
        self.on_response = on_response
        self.is_elected_reader = is_elected_reader
        self.set_store_unavailable = set_store_unavailable
        self.version: DocumentVersion | None = None
        self.failed_at = float("-inf")
        self.is_failing = False

    def run_round(self) -> None:
        """Make one call to the store if it is this process's turn, else wait.

        After an unexpected error, or if the round is ended, everything is read again,
        since a part of the response may not have been applied.
        """
        if not self.is_elected_reader(self.configuration_store.age_s):
            self.wait_for_election()
            return
        try:
            self.step()
        except HistoryGoneError:
            log_event("store_history_gone", **describe(self.version))
            self.request_full_read()
        except UnreadableResponseError as error:  # The next one may be no better.
            self.request_full_read()
            self.wait_after_failure(error)
        except PlatformError as error:
            self.wait_after_failure(error)
        except BaseException:
            self.request_full_read()
            raise

    def wait_after_failure(self, error: PlatformError) -> None:
        """Record a failed call and wait before the next one."""
        self.note_failure(error)
        gevent.sleep(self.rng.uniform(RETRY_DELAY_MIN_S, RETRY_DELAY_MAX_S))

    def wait_for_election(self) -> None:
        """Wait until the next check of the reader election.

        Also report the store as available once the last failure is
        STORE_UNAVAILABLE_S old.
        """
        if self.is_failing and self.clock.now() - self.failed_at > STORE_UNAVAILABLE_S:
            self.is_failing = False
            self.set_store_unavailable(False)
        gevent.sleep(ELECTION_CHECK_INTERVAL_S)

    def step(self) -> None:
        """Make one call to the store and apply its response."""
        sent_at = self.clock.now()
        if self.version is None:
            publication = self.source.read()
        else:
            publication = self.source.watch(self.version.number, WATCH_WAIT_S)
        version = publication.targets.version
        self.check_era(version.era)
        if self.is_failing:
            log_event("store_regained", **describe(version))
            self.is_failing = False
            self.set_store_unavailable(False)
        if self.version is not None and version.era > self.version.era:
            log_event("store_restored", **describe(version))
            self.request_full_read()
            return
        has_changes = self.version not in (None, version)
        self.apply(publication)
        self.configuration_store.confirm(
            min(MAX_RESPONSE_AGE_S, self.clock.now() - sent_at)
        )
        self.on_response()
        if has_changes:
            gevent.sleep(BATCH_DELAY_S)

    def check_era(self, era: int) -> None:
        """Record the era of a response.

        Raises PlatformError if it is lower than one that this process has heard of.
        Such a response may come from a store that has not been restored yet.
        """
        if era < self.table.known_era:
            raise PlatformError(
                f"the store answered in era {era} after era {self.table.known_era}; "
                "check that it sends its era and that no old instance still runs"
            )
        self.table.note_era(era)

    def apply(self, publication: Publication) -> None:
        """Apply a publication to the table of targets and the configuration store."""
        now = self.clock.now()
        self.version = publication.targets.version
        has_failed_recently = now - self.failed_at < RECENT_FAILURE_S
        try:
            self.table.apply(publication.targets, now, has_failed_recently)
        finally:
            self.offer(publication.configuration)

    def offer(self, configuration: PublishedConfiguration | None) -> None:
        """Offer a published configuration, if there is one, to its store."""
        if configuration is None:
            return
        result = self.configuration_store.offer(configuration)
        log_event("config_offered", version=configuration.version, result=result.value)

    def note_failure(self, error: PlatformError) -> None:
        """Record a failed call; log and report only the first of a series."""
        self.failed_at = self.clock.now()
        if not self.is_failing:
            log_event("store_lost", reason=str(error))
            self.set_store_unavailable(True)
        self.is_failing = True

    def request_full_read(self) -> None:
        """Make the next call a full read instead of a watch."""
        self.version = None


def describe(version: DocumentVersion | None) -> dict[str, int]:
    """Return a version of the store as the fields of a log event."""
    known = version or DocumentVersion()
    return {"era": known.era, "revision": known.number}
