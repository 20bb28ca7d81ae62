"""Waiting for results that other greenlets set."""

from typing import Any

import gevent
from gevent.event import AsyncResult


def get_result(result: AsyncResult, timeout_s: float) -> Any:
    """Return a result, or raise gevent.Timeout if it is not set in time.

    A result that is set when the event loop handles the timeout counts: both may have
    waited for a loop that was busy or suspended.
    """
    try:
        return result.get(timeout=timeout_s)
    except gevent.Timeout:
        if not result.ready():
            raise
        return result.get(block=False)
