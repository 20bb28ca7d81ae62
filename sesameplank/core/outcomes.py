"""The three outcomes of a call, as far as this process can know them."""

from enum import Enum

import msgspec


class Ran(Enum):
    """Whether a request was run by a target."""

    ANSWERED = "answered"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class FailureReason(Enum):
    """Why a call to a target brought no answer."""

    CONNECT = "connect"
    RESET = "reset"
    TIMEOUT = "timeout"
    TRUNCATED = "truncated"
    FOREIGN = "foreign"
    REFUSED = "refused"
    QUEUE_FULL = "queue_full"
    CANCELLED = "cancelled"
    BAD_ANSWER = "bad_answer"
    RELAY = "relay"


class Failure(msgspec.Struct, frozen=True):
    """A call without an answer: the reason, whether it ran, and details."""

    reason: FailureReason
    ran: Ran
    detail: str = ""

    def __bool__(self) -> bool:
        """Be false, so that a failure is never taken for an answer."""
        return False
