"""A forwarding process in which one round of two loops blocks for good.

The first call to the store after HANG_AFTER_S never returns, and neither does the first
round of a housekeeping task then. The limit of the loop that reads the store is short.
"""

import time
from collections.abc import Callable
from functools import partialmethod

from gevent.event import Event

from sesameplank.forwarding.housekeeping import Housekeeping
from sesameplank.loops import BackgroundLoops
from sesameplank.platform.__main__ import run
from sesameplank.platform.source import StoreSource

HANG_AFTER_S = 3.0
LIMIT_S = 4.0


def hang_once(function: Callable) -> Callable:
    """Return a function that blocks for good the first time after HANG_AFTER_S."""
    hang_at = time.monotonic() + HANG_AFTER_S
    hung = []

    def call(*arguments):
        if not hung and time.monotonic() >= hang_at:
            hung.append(True)
            Event().wait()
        return function(*arguments)

    return call


def add_loop(loops, add: Callable, name: str, *arguments):
    """Add a loop, with the short limit if it is the one that reads the store."""
    if name == "store":
        return add(loops, name, *arguments, limit_s=LIMIT_S)
    return add(loops, name, *arguments)


if __name__ == "__main__":
    BackgroundLoops.add = partialmethod(add_loop, BackgroundLoops.add)
    StoreSource.watch = hang_once(StoreSource.watch)
    Housekeeping.drop_ended_pauses = hang_once(Housekeeping.drop_ended_pauses)
    run()
