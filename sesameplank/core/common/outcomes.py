"""Outcomes of calls to targets, as far as this process can determine them."""

from enum import Enum

import msgspec


class Ran(Enum):
    """Whether a target executed a request.

    UNKNOWN means that it may or may not have been executed.
    """

    ANSWERED = "answered"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class FailureReason(Enum):
    """Why a call to a target returned no answer.

    CRASHED means that the target ended while it had the call. FOREIGN is a response
    that does not belong to the request. LIMITED means that the call was not sent,
    because of the rate limit that its target names. UNREACHED means that this process
    has lost its links to all targets. QUARANTINED means that the call was not sent,
    because requests like its own crash targets. RELAY means that no process can relay
    the call, or that a relayed call failed and may have been executed.
    """

    CONNECT = "connect"
    RESET = "reset"
    TIMEOUT = "timeout"
    TRUNCATED = "truncated"
    CRASHED = "crashed"
    FOREIGN = "foreign"
    REFUSED = "refused"
    QUEUE_FULL = "queue_full"
    LIMITED = "limited"
    UNREACHED = "unreached"
    QUARANTINED = "quarantined"
    CANCELLED = "cancelled"
    BAD_ANSWER = "bad_answer"
    RELAY = "relay"


SCATTERED_REASONS = frozenset(
    {
        FailureReason.RESET,
        FailureReason.TRUNCATED,
        FailureReason.FOREIGN,
        FailureReason.REFUSED,
        FailureReason.BAD_ANSWER,
    }
)


# The target had no part in these failures.
OWN_REASONS = frozenset(
    {FailureReason.LIMITED, FailureReason.UNREACHED, FailureReason.QUARANTINED}
)


class Failure(msgspec.Struct, frozen=True):
    """A call without an answer: the reason, whether it was executed, and details."""

    reason: FailureReason
    ran: Ran
    detail: str = ""

    def __bool__(self) -> bool:
        """Return False, so that a failure is never mistaken for an answer."""
        return False

    @property
    def is_scattered(self) -> bool:
        """Return whether the target worked on the call, so that others may succeed."""
        return self.ran is not Ran.NOT_RUN and self.reason in SCATTERED_REASONS
