"""Reads the platform for the whole fleet, as one of its readers or in need."""

import random
from abc import ABC, abstractmethod
from collections.abc import Callable

import gevent
import msgspec

from ..core.clock import Clock
from ..core.readers import draw_start_delay
from ..core.versions import ConfigurationStore, OfferResult, VmStore
from ..exceptions import PlatformError
from ..logs import log_event
from .reader import PlatformReader

WATCH_WAIT_S = 2.0
CONFIRM_INTERVAL_S = 5.0
FALLBACK_AGE_S = 15.0
ROLE_CHECK_S = 0.2
PAUSE_MIN_S = 0.5
PAUSE_MAX_S = 1.5
MAX_START_WINDOW_S = 16.0


class ReadPolicy(msgspec.Struct, frozen=True):
    """What a watch asks of the rest of the process.

    `is_reader` tells whether this entry reads for its data centre, and
    `get_fleet_size` how many entries share the reads of a fleet without
    readers. `start_window_s` spreads the first reads of a starting fleet.
    """

    is_reader: Callable[[], bool]
    get_fleet_size: Callable[[], int]
    start_window_s: float


class DocumentWatch(ABC):
    """Keeps one document current; a subclass says which."""

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
        self.confirmed_at = float("-inf")
        self.read_at = clock.now()
        self.failing = False

    @property
    @abstractmethod
    def version(self) -> int:
        """The version in force."""

    @abstractmethod
    def read(self, after: int, wait_s: float):
        """Return the published document past a version, or None."""

    @abstractmethod
    def offer(self, published) -> OfferResult:
        """Offer a document to its store."""

    @abstractmethod
    def get_age_s(self) -> float:
        """Return the seconds since any entry known confirmed the version."""

    @abstractmethod
    def confirm(self) -> None:
        """Note that the service holds the version in force, or a newer one."""

    def run(self) -> None:
        """Read until killed, when it is this entry's turn."""
        self.start()
        while True:
            if self.policy.is_reader():
                self.read_as_reader()
            elif self.get_age_s() > FALLBACK_AGE_S:
                size = self.policy.get_fleet_size()
                gevent.sleep(self.rng.uniform(PAUSE_MIN_S, PAUSE_MAX_S) * size)
                if self.get_age_s() > FALLBACK_AGE_S:
                    self.check_service()
            else:
                gevent.sleep(ROLE_CHECK_S)

    def start(self) -> None:
        """Wait for a first version from peers, and read it if none comes."""
        window_s = self.policy.start_window_s
        while not self.version:
            wait_until = self.clock.now() + draw_start_delay(window_s, self.rng)
            while not self.version and self.clock.now() < wait_until:
                gevent.sleep(min(ROLE_CHECK_S, wait_until - self.clock.now()))
            if not self.version:
                self.check_service()
            window_s = min(MAX_START_WINDOW_S, window_s * 2)

    def read_as_reader(self) -> None:
        """Wait for a change at the service, or confirm the version in force."""
        if self.clock.now() - self.confirmed_at >= CONFIRM_INTERVAL_S:
            self.check_service()
            return
        published = self.try_read(self.version, WATCH_WAIT_S)
        if published is None:
            return
        if self.take(published) is not OfferResult.ACCEPTED:
            self.pause()

    def check_service(self) -> None:
        """Read the service's version, which may be an older one."""
        self.confirmed_at = self.clock.now()
        published = self.try_read(max(0, self.version - 1), 0.0)
        if published is None:
            if not self.failing and self.version:
                log_event(f"{self.name}_service_behind", version=self.version)
            return
        self.take(published)

    def try_read(self, after: int, wait_s: float):
        """Return what the service answers, or None after a pause if it fails."""
        self.read_at = self.clock.now()
        try:
            published = self.read(after, wait_s)
        except PlatformError as error:
            if not self.failing:
                log_event(f"{self.name}_read_failed", reason=str(error))
            self.failing = True
            self.pause()
            return None
        self.failing = False
        return published

    def take(self, published) -> OfferResult:
        """Offer an answer of the service, and note what it shows."""
        result = self.offer(published)
        if published.version == self.version and result is not OfferResult.CONFLICT:
            self.confirm()
        if result is not OfferResult.KNOWN:
            log_event(
                f"{self.name}_offered", version=published.version, result=result.value
            )
        return result

    def pause(self) -> None:
        """Wait a moment before the next call."""
        gevent.sleep(self.rng.uniform(PAUSE_MIN_S, PAUSE_MAX_S))


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
        """Return the published configuration past a version, or None."""
        return self.reader.read_configuration(after, wait_s)

    def offer(self, published) -> OfferResult:
        """Offer a configuration to the store."""
        return self.store.offer(published)

    def get_age_s(self) -> float:
        """Return the seconds since any entry known confirmed the version."""
        age_s = self.store.age_s
        return self.clock.now() - self.read_at if age_s is None else age_s

    def confirm(self) -> None:
        """Note that the service holds the version in force."""
        self.store.confirm()


class VmWatch(DocumentWatch):
    """Keeps the VM list current."""

    name = "vms"

    def __init__(self, store: VmStore, *args) -> None:
        super().__init__(*args)
        self.store = store
        self.confirmed_list_at = self.clock.now()

    @property
    def version(self) -> int:
        """The version of the list."""
        return self.store.version

    def read(self, after: int, wait_s: float):
        """Return the published list past a version, or None."""
        return self.reader.read_vms(after, wait_s)

    def offer(self, published) -> OfferResult:
        """Offer a list to the store."""
        return self.store.offer(published)

    def get_age_s(self) -> float:
        """Return 0: a change of the list comes from the readers or peers."""
        return 0.0

    def confirm(self) -> None:
        """Do nothing; the list's age is not shown."""
