"""Keeps the configuration store and the VM list current from the platform."""

import random
from collections.abc import Callable

import gevent

from ..conf import PublishedVms
from ..core.versions import ConfigurationStore
from ..exceptions import PlatformError
from ..logs import log_event
from .reader import PlatformReader

WATCH_WAIT_S = 10.0
RETRY_MIN_S = 0.1
RETRY_MAX_S = 2.0


class ConfigurationWatch:
    """Watches the configuration service on behalf of this process."""

    def __init__(
        self, reader: PlatformReader, store: ConfigurationStore, rng: random.Random
    ) -> None:
        self.reader = reader
        self.store = store
        self.rng = rng

    def run(self) -> None:
        """Watch until killed, with jittered pauses while the service is down."""
        while True:
            try:
                published = self.reader.read_configuration(
                    self.store.seen_version, WATCH_WAIT_S
                )
            except PlatformError as error:
                log_event("config_read_failed", reason=str(error))
                gevent.sleep(self.rng.uniform(RETRY_MIN_S, RETRY_MAX_S))
                continue
            if published is not None:
                result = self.store.offer(published)
                log_event(
                    "config_offered", version=published.version, result=result.value
                )


class VmWatch:
    """Watches the VM list and hands each newer one to a listener."""

    def __init__(
        self,
        reader: PlatformReader,
        listener: Callable[[PublishedVms], None],
        rng: random.Random,
    ) -> None:
        self.reader = reader
        self.listener = listener
        self.rng = rng
        self.version = 0

    def run(self) -> None:
        """Watch until killed, with jittered pauses while the service is down."""
        while True:
            try:
                published = self.reader.read_vms(self.version, WATCH_WAIT_S)
            except PlatformError as error:
                log_event("vms_read_failed", reason=str(error))
                gevent.sleep(self.rng.uniform(RETRY_MIN_S, RETRY_MAX_S))
                continue
            if published is not None and published.version > self.version:
                self.version = published.version
                self.listener(published)
