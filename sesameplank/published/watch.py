"""Reading of the configuration and the VM list by a fleet's elected readers.

Other entries read a document only if no peer sends a first version after their
start, or while no reader confirms that it is current.
"""

import random
from abc import ABC, abstractmethod
from collections.abc import Callable

import gevent
import msgspec

from ..core.common.clock import Clock
from ..core.membership.readers import draw_start_delay
from ..core.published.versions import ConfigurationStore, OfferResult, VmStore
from ..exceptions import PlatformError
from ..logs import log_event
from .reader import PlatformReader

WATCH_WAIT_S = 2.0
CONFIRM_INTERVAL_S = 5.0
FALLBACK_AGE_S = 15.0
ELECTION_CHECK_INTERVAL_S = 0.2
CALL_DELAY_MIN_S = 0.5
CALL_DELAY_MAX_S = 1.5
MAX_START_WINDOW_S = 16.0
LOG_INTERVAL_S = 10.0  # Between two lines on reads that keep failing.
MAX_LOGGED_CHARACTERS = 300


class ReadPolicy(msgspec.Struct, frozen=True):
    """When a watch may read the configuration service.

    `is_elected_reader` returns whether this entry is an elected reader of its data
    centre. `get_fleet_size` returns the number of entries that share the reads
    while no reader answers. `start_window_s` is the time over which the first
    reads of entries that start together are spread.
    """

    is_elected_reader: Callable[[], bool]
    get_fleet_size: Callable[[], int]
    start_window_s: float


class DocumentWatch(ABC):
    """Keeps one document current; subclasses define which one.

    `failures` counts the failed reads since the start, and `failures_in_a_row` those
    since the last one that succeeded.
    """

    name = ""

    def __init__(
        self,
        reader: PlatformReader,
        policy: ReadPolicy,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self.reader = reader
        self.policy = policy
        self.clock = clock
        self.rng = rng
        self.checked_at = float("-inf")
        self.read_at = clock.now()
        self.failures = 0
        self.failures_in_a_row = 0
        self.failure_logged_at = float("-inf")
        self.age_logged_at = float("-inf")
        self.start_window_s = policy.start_window_s
        self.fallback_at: float | None = None

    @property
    @abstractmethod
    def version(self) -> int:
        """The version in force."""

    @abstractmethod
    def read(self, after: int, wait_s: float):
        """Return the published document if its version is above `after`, else None.

        Waits up to `wait_s` seconds for one. Raises PlatformError.
        """

    @abstractmethod
    def offer(self, published) -> OfferResult:
        """Offer a document to its store and return the result."""

    @abstractmethod
    def get_refusal_reason(self) -> str:
        """Return why the store refused the last document that it refused."""

    @abstractmethod
    def get_age_s(self) -> float:
        """Return the seconds since the service last confirmed the version.

        Confirmations that reached other entries count if they were relayed here.
        """

    @abstractmethod
    def confirm(self) -> None:
        """Record that the service holds the version in force."""

    def run_round(self) -> None:
        """Read the service once if it is this entry's turn, else wait a little.

        An elected reader reads all the time. Other entries read only if the version
        was not confirmed for FALLBACK_AGE_S, after a random delay that grows with
        the size of the fleet.
        """
        if not self.version:
            self.start()
        elif self.policy.is_elected_reader():
            self.read_as_reader()
        elif self.is_fallback_due():
            self.log_age()
            self.check_service()
        else:
            gevent.sleep(ELECTION_CHECK_INTERVAL_S)

    def start(self) -> None:
        """Wait for a first version from peers; read the service if none arrives.

        The next wait may be longer.
        """
        wait_until = self.clock.now() + draw_start_delay(self.start_window_s, self.rng)
        while not self.version and self.clock.now() < wait_until:
            gevent.sleep(min(ELECTION_CHECK_INTERVAL_S, wait_until - self.clock.now()))
        if not self.version:
            self.check_service()
        self.start_window_s = min(MAX_START_WINDOW_S, self.start_window_s * 2)

    def is_fallback_due(self) -> bool:
        """Return whether to read although this entry is no elected reader.

        The random delay begins when the version is found not to be confirmed.
        """
        if self.get_age_s() <= FALLBACK_AGE_S:
            self.fallback_at = None
            return False
        now = self.clock.now()
        if self.fallback_at is None:
            size = self.policy.get_fleet_size()
            delay_s = self.rng.uniform(CALL_DELAY_MIN_S, CALL_DELAY_MAX_S) * size
            self.fallback_at = now + delay_s
        if now < self.fallback_at:
            return False
        self.fallback_at = None
        return True

    def read_as_reader(self) -> None:
        """Wait for a newer version, or confirm the one in force if that is due."""
        if self.clock.now() - self.checked_at >= CONFIRM_INTERVAL_S:
            self.check_service()
            return
        published = self.try_read(self.version, WATCH_WAIT_S)
        if published is None:
            return
        if self.offer_and_confirm(published) is not OfferResult.ACCEPTED:
            self.wait_before_call()

    def check_service(self) -> None:
        """Read the service's current version without waiting for a newer one.

        If the service has an older version than the one in force, log that.
        """
        self.checked_at = self.clock.now()
        published = self.try_read(max(0, self.version - 1), 0.0)
        if published is None:
            if not self.failures_in_a_row and self.version:
                log_event(f"{self.name}_service_behind", version=self.version)
            return
        self.offer_and_confirm(published)

    def try_read(self, after: int, wait_s: float):
        """Return the document that the service returns, or None.

        If the call fails, wait before returning.
        """
        self.read_at = self.clock.now()
        try:
            published = self.read(after, wait_s)
        except PlatformError as error:
            self.note_failure(error)
            self.wait_before_call()
            return None
        self.note_success()
        return published

    def note_failure(self, error: PlatformError) -> None:
        """Count a failed read; log it unless one was logged a short time ago."""
        self.failures += 1
        self.failures_in_a_row += 1
        now = self.clock.now()
        if now - self.failure_logged_at < LOG_INTERVAL_S:
            return
        self.failure_logged_at = now
        log_event(
            f"{self.name}_read_failed",
            reason=str(error)[:MAX_LOGGED_CHARACTERS],
            failures=self.failures_in_a_row,
            version=self.version,
        )

    def note_success(self) -> None:
        """Record that a read succeeded, and log that reads do again."""
        if self.failures_in_a_row:
            log_event(f"{self.name}_read_recovered", failures=self.failures_in_a_row)
            self.failures_in_a_row = 0
            self.failure_logged_at = float("-inf")

    def log_age(self) -> None:
        """Log that no reader confirms the version, unless logged a short time ago."""
        now = self.clock.now()
        if now - self.age_logged_at < LOG_INTERVAL_S:
            return
        self.age_logged_at = now
        log_event(
            f"{self.name}_unconfirmed", version=self.version, age_s=self.get_age_s()
        )

    def offer_and_confirm(self, published) -> OfferResult:
        """Offer a document to its store and return the result.

        A document with the version in force also confirms that version, unless
        its content conflicts.
        """
        result = self.offer(published)
        if published.version == self.version and result is not OfferResult.CONFLICT:
            self.confirm()
        if result is not OfferResult.KNOWN:
            log_event(
                f"{self.name}_offered", version=published.version, result=result.value
            )
        if result is OfferResult.REFUSED:
            reason = self.get_refusal_reason()[:MAX_LOGGED_CHARACTERS]
            log_event(f"{self.name}_refused", version=published.version, reason=reason)
        return result

    def wait_before_call(self) -> None:
        """Wait for a random time before the next call."""
        gevent.sleep(self.rng.uniform(CALL_DELAY_MIN_S, CALL_DELAY_MAX_S))


class ConfigurationWatch(DocumentWatch):
    """Keeps the configuration current."""

    name = "config"

    def __init__(self, store: ConfigurationStore, *args) -> None:
        super().__init__(*args)
        self.store = store

    @property
    def version(self) -> int:
        """The version in force."""
        return self.store.version

    def read(self, after: int, wait_s: float):
        """Return the configuration if its version is above `after`, else None."""
        return self.reader.read_configuration(after, wait_s)

    def offer(self, published) -> OfferResult:
        """Offer a configuration to the store and return the result."""
        return self.store.offer(published)

    def get_refusal_reason(self) -> str:
        """Return why the newest refused configuration is not valid."""
        return self.store.refused.reason if self.store.refused else "-"

    def get_age_s(self) -> float:
        """Return the seconds since the service last confirmed the version.

        If it never did, return the seconds since the last attempt to read or, if
        there was none, since the start.
        """
        age_s = self.store.age_s
        return self.clock.now() - self.read_at if age_s is None else age_s

    def confirm(self) -> None:
        """Record that the service holds the version in force."""
        self.store.confirm()


class VmWatch(DocumentWatch):
    """Keeps the VM list current."""

    name = "vms"

    def __init__(self, store: VmStore, *args) -> None:
        super().__init__(*args)
        self.store = store

    @property
    def version(self) -> int:
        """The version of the list."""
        return self.store.version

    def read(self, after: int, wait_s: float):
        """Return the list if its version is above `after`, else None."""
        return self.reader.read_vms(after, wait_s)

    def offer(self, published) -> OfferResult:
        """Offer a list to the store and return the result."""
        return self.store.offer(published)

    def get_refusal_reason(self) -> str:
        """Return the one reason for which a store refuses a list."""
        return "the VM list is empty"

    def get_age_s(self) -> float:
        """Return the seconds since the service last confirmed the list.

        If it never did, return the seconds since the last attempt to read or, if
        there was none, since the start.
        """
        age_s = self.store.confirmation.get_age_s(self.clock.now())
        return self.clock.now() - self.read_at if age_s is None else age_s

    def confirm(self) -> None:
        """Record that the service holds the version in force."""
        self.store.confirmation.note(self.clock.now())
