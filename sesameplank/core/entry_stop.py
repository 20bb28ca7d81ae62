"""The times of an entry's graceful shutdown, from its settings."""

from .stop_schedule import MIN_ANSWER_S, StopSchedule

ANNOUNCE_MARGIN_S = 0.5  # time for the announcement to reach the other entries
CLOSING_S = 0.25  # time to write the last answers and to close connections


def make_entry_stop_schedule(
    requested_at: float, address_ttl_s: float, drain_timeout_s: float, now: float
) -> StopSchedule:
    """Return the schedule of a stop; all times in seconds of one clock.

    `requested_at` is the earliest time at which the stop can have been requested.
    New requests are admitted until the addresses that callers keep have run out,
    and refused from then on.
    """
    refuse_at = requested_at + address_ttl_s + ANNOUNCE_MARGIN_S
    answer_by = max(refuse_at + drain_timeout_s, now + MIN_ANSWER_S)
    return StopSchedule(
        requested_at=requested_at,
        stop_accepting_at=refuse_at,
        answer_by=answer_by,
        exit_by=answer_by + CLOSING_S,
    )
