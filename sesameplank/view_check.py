"""Tells when the view of this process of what the platform publishes is stale."""

from collections.abc import Callable

import gevent

from .core.common.clock import Clock
from .core.published.versions import ConfigurationStore
from .core.published.view_age import ViewAge, ViewEvent
from .logs import log_event
from .loops import Task

CHECK_INTERVAL_S = 0.5


class ViewCheck:
    """Checks the age of the view, and logs it while it is stale.

    `reading` is the task that reads the platform, and `get_versions` returns further
    fields of the lines: the versions of what the process knows. `set_stale` tells other
    processes.
    """

    def __init__(
        self,
        store: ConfigurationStore,
        clock: Clock,
        reading: Task,
        get_versions: Callable[[], dict],
        set_stale: Callable[[bool], None],
    ) -> None:
        self.store = store
        self.clock = clock
        self.reading = reading
        self.get_versions = get_versions
        self.set_stale = set_stale
        self.view = ViewAge(clock.now())

    @property
    def is_stale(self) -> bool:
        """Whether the view was stale at the last check."""
        return self.view.is_stale

    def run_round(self) -> None:
        """Check the view, and wait for CHECK_INTERVAL_S."""
        self.check()
        gevent.sleep(CHECK_INTERVAL_S)

    def check(self) -> None:
        """Check the age of the view, log what is to be told of it, and tell others."""
        age_s = self.store.age_s
        event = self.view.update(age_s, self.clock.now())
        if event is not None:
            self.log(event, age_s)
        self.set_stale(self.view.is_stale)

    def log(self, event: ViewEvent, age_s: float | None) -> None:
        """Log an event of the view."""
        log_event(
            event.value,
            age_s=self.view.get_age_s(age_s, self.clock.now()),
            version=self.store.version,
            **self.get_versions(),
            read_failures=self.reading.failures,
            read_completed_s_ago=self.reading.age_s,
        )
