"""Watches the platform's store for changes of configuration and targets."""

import random
from abc import ABC, abstractmethod
from collections.abc import Callable

import gevent
import msgspec

from ..conf import PublishedConfiguration
from ..core.common.clock import Clock
from ..core.published.document_version import DocumentVersion
from ..core.published.era_gate import EraGate, EraVerdict
from ..core.published.target_table import TargetChanges, TargetTable
from ..core.published.versions import ConfigurationStore, OfferResult
from ..exceptions import (
    HistoryGoneError,
    PlatformError,
    RefusedAnswerError,
    UnreadableResponseError,
)
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
STILL_LOST_LOG_INTERVAL_S = 10.0
STILL_REFUSED_LOG_INTERVAL_S = 10.0
MAX_FAILED_WATCHES = 2  # Until each further failure is followed by a full read.
NEVER = float("-inf")


class Publication(msgspec.Struct, frozen=True):
    """The store's content, or the changes in it, up to a revision.

    `configuration` is None if it is missing, malformed or unchanged. Then follow the
    numbers of malformed items of targets and of the configuration, and whether the
    newest configuration is malformed.
    """

    targets: TargetChanges
    configuration: PublishedConfiguration | None = None
    refused_items: int = 0
    refused_configurations: int = 0
    is_newest_refused: bool = False


class StoreCounts(msgspec.Struct):
    """What went wrong with the reading of the store since the start.

    `answers_refused` counts answers that were older than what was known, or of a wrong
    era. Items and configurations count each time that they are read.
    """

    calls_failed: int = 0
    answers_refused: int = 0
    items_refused: int = 0
    configurations_refused: int = 0


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
    successful call. `get_stall_s` returns for how many seconds more than usual an
    answer that is handled now may have waited in this process. `resumable` is the
    version to watch after if the full read that replaces failed watches fails.
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
        get_stall_s: Callable[[], float] = lambda: 0.0,
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
        self.resumable: DocumentVersion | None = None
        self.get_stall_s = get_stall_s
        self.era_gate = EraGate(table)
        self.counts = StoreCounts()
        self.is_interrupted = False
        self.failed_at = NEVER
        self.is_failing = False
        self.failures = 0
        self.failed_watches = 0
        self.failure_logged_at = NEVER
        self.history_gone_at = NEVER
        self.is_newest_refused = False
        self.refusal_logged_at = NEVER

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
            self.note_history_gone()
        except UnreadableResponseError as error:  # The next one may be no better.
            self.request_full_read()
            self.wait_after_failure(error)
        except PlatformError as error:
            self.note_failed_call()
            self.wait_after_failure(error)
        except BaseException:
            self.request_full_read()
            raise

    def note_history_gone(self) -> None:
        """Prepare a full read; wait before it if the last one did not help."""
        log_event("store_history_gone", **describe(self.version))
        self.request_full_read()
        last, self.history_gone_at = self.history_gone_at, self.clock.now()
        if self.history_gone_at - last < WATCH_WAIT_S:
            gevent.sleep(self.rng.uniform(RETRY_DELAY_MIN_S, RETRY_DELAY_MAX_S))

    def note_failed_call(self) -> None:
        """Prepare a full read if watches go on failing: reads may still succeed.

        A full read that fails, too, is followed by a watch, since a read may take many
        calls to the store, each of which can fail.
        """
        if self.version is None:
            self.version, self.resumable = self.resumable, None
            return
        self.failed_watches += 1
        if self.failed_watches >= MAX_FAILED_WATCHES:
            version = self.version
            self.request_full_read()
            self.resumable = version

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
        """Make one call to the store and apply its response.

        Raises RefusedAnswerError if it is older than what is known.
        """
        sent_at = self.clock.now()
        known = self.table.version
        self.is_interrupted = False
        is_watch = self.version is not None
        publication = self.call()
        version = publication.targets.version
        verdict = self.judge_era(version.era)
        self.check_revision(publication, known)
        self.note_success(version)
        is_restored = self.version is not None and version.era > self.version.era
        if is_restored or verdict is EraVerdict.UNCONFIRMED:
            log_event("store_restored", **describe(version))
            self.request_full_read()
            return
        has_changes = self.version not in (None, version)
        self.apply(publication)
        self.confirm(version, sent_at, is_watch=is_watch)
        self.on_response()
        if has_changes or (is_watch and self.clock.now() - sent_at < BATCH_DELAY_S):
            gevent.sleep(BATCH_DELAY_S)

    def call(self) -> Publication:
        """Read everything, or wait for changes after the version that was read."""
        if self.version is None:
            return self.source.read()
        publication = self.source.watch(self.version.number, WATCH_WAIT_S)
        self.failed_watches = 0
        return publication

    def judge_era(self, era: int) -> EraVerdict:
        """Return whether to believe the era of a response, and note it if so.

        Raises RefusedAnswerError if it is lower than one that this process has heard
        of. Such a response may come from a store that has not been restored yet.
        """
        heard = max(self.table.known_era, self.era_gate.candidate or 0)
        verdict = self.era_gate.judge(era)
        if verdict is EraVerdict.REFUSED:
            self.resumable = None
            raise RefusedAnswerError(
                f"the store answered in era {era} after era {heard}; "
                "check that it sends its era and that no old instance still runs"
            )
        return verdict

    def check_revision(self, publication: Publication, known: DocumentVersion) -> None:
        """Raise RefusedAnswerError if a response is older than a known version.

        The version is that of the targets when the call was sent. A configuration
        counts all the same: its own version says whether it is newer.
        """
        version = publication.targets.version
        if version >= known:
            return
        self.offer(publication.configuration)
        self.request_full_read()
        raise RefusedAnswerError(
            f"the store answered with revision {version.number} of era {version.era} "
            f"after revision {known.number}; check that no old instance still runs, "
            "and that the era rises when the store is restored from a copy"
        )

    def note_success(self, version: DocumentVersion) -> None:
        """Report the store as available if the last call failed."""
        if not self.is_failing:
            return
        log_event("store_regained", **describe(version))
        self.is_failing = False
        self.set_store_unavailable(False)

    def confirm(
        self, version: DocumentVersion, sent_at: float, *, is_watch: bool
    ) -> None:
        """Confirm the configuration as of an applied response.

        A response doesn't count if the list has another version, such as a newer one
        of a peer, or if this process stood still during the call.
        """
        if self.is_interrupted:
            self.request_full_read()
            return
        if self.table.version != version:
            return
        age_s = self.clock.now() - sent_at
        if is_watch:
            age_s = min(age_s, MAX_RESPONSE_AGE_S + self.get_stall_s())
        self.configuration_store.confirm(age_s)

    def apply(self, publication: Publication) -> None:
        """Apply a publication to the table of targets and the configuration store."""
        now = self.clock.now()
        self.version = publication.targets.version
        self.counts.items_refused += publication.refused_items
        self.counts.configurations_refused += publication.refused_configurations
        has_failed_recently = now - self.failed_at < RECENT_FAILURE_S
        try:
            self.table.apply(publication.targets, now, has_failed_recently)
        finally:
            self.offer(publication.configuration)
            self.note_refusal(publication)

    def note_refusal(self, publication: Publication) -> None:
        """Log again and again that the newest configuration is malformed.

        The source has logged the reason when it read it.
        """
        now = self.clock.now()
        if publication.is_newest_refused and not self.is_newest_refused:
            self.refusal_logged_at = now
        if publication.is_newest_refused or publication.configuration is not None:
            self.is_newest_refused = publication.is_newest_refused
        is_due = now - self.refusal_logged_at >= STILL_REFUSED_LOG_INTERVAL_S
        if self.is_newest_refused and is_due:
            self.refusal_logged_at = now
            version = self.configuration_store.version
            log_event("config_still_refused", version_in_force=version)

    def offer(self, configuration: PublishedConfiguration | None) -> None:
        """Offer a published configuration, if there is one, to its store."""
        if configuration is None:
            return
        result = self.configuration_store.offer(configuration)
        self.counts.configurations_refused += result is OfferResult.REFUSED
        log_event("config_offered", version=configuration.version, result=result.value)

    def note_failure(self, error: PlatformError) -> None:
        """Record a failed call; report only the first of a series."""
        self.failed_at = self.clock.now()
        if isinstance(error, RefusedAnswerError):
            self.counts.answers_refused += 1
        else:
            self.counts.calls_failed += 1
        if not self.is_failing:
            self.failures = 0
            self.set_store_unavailable(True)
        self.failures += 1
        self.log_failure(error)
        self.is_failing = True

    def log_failure(self, error: PlatformError) -> None:
        """Log the first failure of a series, then one each STILL_LOST_LOG_INTERVAL_S.

        The age of the view is that of the configuration, -1 if there is none.
        """
        now = self.clock.now()
        if not self.is_failing:
            log_event("store_lost", reason=str(error))
        elif now - self.failure_logged_at >= STILL_LOST_LOG_INTERVAL_S:
            age_s = self.configuration_store.age_s
            log_event(
                "store_still_lost",
                reason=str(error),
                failures=self.failures,
                view_age_s=-1.0 if age_s is None else age_s,
            )
        else:
            return
        self.failure_logged_at = now

    def request_full_read(self) -> None:
        """Make the next call a full read instead of a watch.

        A call that is under way confirms nothing.
        """
        self.version = None
        self.resumable = None
        self.is_interrupted = True


def describe(version: DocumentVersion | None) -> dict[str, int]:
    """Return a version of the store as the fields of a log event."""
    known = version or DocumentVersion()
    return {"era": known.era, "revision": known.number}
