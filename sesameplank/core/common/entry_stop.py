"""The times of an entry's graceful shutdown, from its settings."""

from .stop_schedule import MIN_ANSWER_S, StopSchedule

MARGIN_S = 1.0  # beyond both settings; the documented bound of a stop
ANNOUNCE_MARGIN_S = 0.5  # time for the announcement to reach the other entries
CLOSING_S = 0.25  # time to write the last answers and to close connections
EXIT_S = 0.4  # time for the end of the process on a busy machine


def make_entry_stop_schedule(
    requested_at: float, address_ttl_s: float, drain_timeout_s: float, now: float
) -> StopSchedule:
    """Return the schedule of a stop; all times in seconds of one clock.

    `requested_at` is the earliest time at which the stop can have been requested.
    New requests are admitted until the addresses that callers keep have run out,
    and refused from then on.
    """
    refuse_at = requested_at + address_ttl_s + ANNOUNCE_MARGIN_S
    end_at = requested_at + address_ttl_s + drain_timeout_s + MARGIN_S
    answer_by = max(refuse_at, end_at - EXIT_S - CLOSING_S, now + MIN_ANSWER_S)
    return StopSchedule(
        requested_at=requested_at,
        stop_accepting_at=refuse_at,
        answer_by=answer_by,
        exit_by=answer_by + CLOSING_S,
    )
