"""Decides whether and with which key to retry a failed booking; does no I/O."""

from enum import Enum

from ..exceptions import CallError

MAX_NEW_KEYS = 3


class NextStep(Enum):
    """What to do after a failed attempt."""

    SAME_KEY = "same_key"
    NEW_KEY = "new_key"
    GIVE_UP = "give_up"


UNRUNNABLE_KEY_KINDS = {"writer-closed", "key-closed"}
ISSUER_UNAVAILABLE_KINDS = {
    "unreachable",
    "no-answer",
    "overloaded",
    "leaving",
    "not-ready",
}
RETRYABLE_KINDS = {"target-unavailable", "deadline-expired"}


class BookingAttempts:
    """The attempts at one booking.

    Sending the same key again is always safe. A new key is used only if the
    earlier one has certainly not run and never will, since the booking could
    otherwise run twice.

    `may_replace_key` is False if the caller passed the key in.
    """

    def __init__(self, may_replace_key: bool) -> None:
        self.may_replace_key = may_replace_key
        self.may_have_run = False
        self.new_keys = 0

    def choose_next_step(self, error: CallError) -> NextStep:
        """Record a failed attempt and return the next step."""
        if error.kind in UNRUNNABLE_KEY_KINDS:
            self.may_have_run = False
            return self.prefer_new_key(NextStep.GIVE_UP)
        if error.kind == "issuer-gone":
            may_retry = error.retry_after_s is not None
            return self.prefer_new_key(
                NextStep.SAME_KEY if may_retry else NextStep.GIVE_UP
            )
        if error.ran == "unknown":
            self.may_have_run = True
            may_retry = error.kind == "no-answer" or error.retry_after_s is not None
            return NextStep.SAME_KEY if may_retry else NextStep.GIVE_UP
        if error.kind in ISSUER_UNAVAILABLE_KINDS:
            return self.prefer_new_key(NextStep.SAME_KEY)
        return NextStep.SAME_KEY if error.kind in RETRYABLE_KINDS else NextStep.GIVE_UP

    def prefer_new_key(self, fallback: NextStep) -> NextStep:
        """Return NEW_KEY if a new key is safe and still allowed, or `fallback`."""
        if (
            not self.may_replace_key
            or self.may_have_run
            or self.new_keys >= MAX_NEW_KEYS
        ):
            return fallback
        self.new_keys += 1
        return NextStep.NEW_KEY

    def make_final_error(self, error: CallError, key: str) -> CallError:
        """Return the last error with the outcome of all attempts together.

        A key that the caller passed in may have been sent by earlier calls, so its
        outcome is unknown if the entry reports it as unknown.
        """
        is_unknown = self.may_have_run or (
            not self.may_replace_key and error.ran == "unknown"
        )
        return CallError(
            str(error),
            kind=error.kind,
            ran="unknown" if is_unknown else "not_run",
            retry_after_s=error.retry_after_s,
            idempotency_key=key,
        )
