"""The times of a graceful shutdown, which has to end before the process is killed."""

import msgspec

# Shares of the stop timeout, counted from the stop request.
STOP_ACCEPTING_SHARE = 3 / 4
ANSWER_SHARE = 5 / 6
# Time for the end of the interpreter, and at most this share of the timeout.
EXIT_RESERVE_S = 0.5
MAX_EXIT_RESERVE_SHARE = 1 / 4
# The least time for the answers of a process that was suspended around the request.
MIN_ANSWER_S = 0.2
# The outcome of a non-idempotent request must not remain unknown.
NON_IDEMPOTENT_FACTOR = 2.0


class StopSchedule(msgspec.Struct, frozen=True):
    """The times of the steps of a graceful shutdown, in seconds of one clock.

    From `stop_accepting_at` on, new connections are not accepted and idle ones are
    closed. Each request that was read is answered by `answer_by`. By `exit_by`, all
    connections are closed and the process exits.
    """

    requested_at: float
    stop_accepting_at: float
    answer_by: float
    exit_by: float

    def can_finish(self, now: float, completion_s: float, idempotent: bool) -> bool:
        """Return whether a request that begins now is likely to end in time.

        `completion_s` is the time in seconds in which nearly all requests of its kind
        end.
        """
        factor = 1.0 if idempotent else NON_IDEMPOTENT_FACTOR
        return now + factor * completion_s <= self.answer_by


def make_stop_schedule(
    requested_at: float, timeout_s: float, now: float
) -> StopSchedule:
    """Return the schedule of a stop that ends within `timeout_s` of its request.

    `requested_at` is the earliest time at which the stop can have been requested. It
    is before `now` if the process was suspended or busy.
    """
    reserve_s = min(EXIT_RESERVE_S, MAX_EXIT_RESERVE_SHARE * timeout_s)
    exit_by = requested_at + timeout_s - reserve_s
    latest_answer_at = exit_by - min(MIN_ANSWER_S, reserve_s)
    answer_by = min(requested_at + ANSWER_SHARE * timeout_s, latest_answer_at)
    stop_accepting_at = requested_at + STOP_ACCEPTING_SHARE * timeout_s
    return StopSchedule(
        requested_at=requested_at,
        stop_accepting_at=min(stop_accepting_at, answer_by),
        answer_by=max(answer_by, now + MIN_ANSWER_S),
        exit_by=max(exit_by, now + 2 * MIN_ANSWER_S),
    )
