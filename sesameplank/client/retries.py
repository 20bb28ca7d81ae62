"""Decides what follows a booking that brought no answer; without I/O."""

from enum import Enum

from ..exceptions import CallError

MAX_NEW_KEYS = 3


class NextStep(Enum):
    """What to do after a failed attempt."""

    SAME_KEY = "same_key"
    NEW_KEY = "new_key"
    GIVE_UP = "give_up"


KEY_NEVER_RUNS = {"writer-closed", "key-closed"}
ISSUER_CANNOT = {"unreachable", "no-answer", "overloaded", "leaving", "not-ready"}
WAITS = {"target-unavailable", "deadline-expired"}


class BookingAttempts:
    """The attempts at one booking.

    The same key may always be sent again. A new key is taken only when the
    earlier one has certainly not run and never will.
    """

    def __init__(self, may_renew: bool) -> None:
        self.may_renew = may_renew
        self.may_have_run = False
        self.new_keys = 0

    def judge(self, error: CallError) -> NextStep:
        """Return the next step after a failed attempt."""
        if error.kind in KEY_NEVER_RUNS:
            self.may_have_run = False
            return self.renew(NextStep.GIVE_UP)
        if error.kind == "issuer-gone":
            again = error.retry_after_s is not None
            return self.renew(NextStep.SAME_KEY if again else NextStep.GIVE_UP)
        if error.ran == "unknown":
            self.may_have_run = True
            again = error.kind == "no-answer" or error.retry_after_s is not None
            return NextStep.SAME_KEY if again else NextStep.GIVE_UP
        if error.kind in ISSUER_CANNOT:
            return self.renew(NextStep.SAME_KEY)
        return NextStep.SAME_KEY if error.kind in WAITS else NextStep.GIVE_UP

    def renew(self, otherwise: NextStep) -> NextStep:
        """Return NEW_KEY if that cannot double the booking."""
        if not self.may_renew or self.may_have_run or self.new_keys >= MAX_NEW_KEYS:
            return otherwise
        self.new_keys += 1
        return NextStep.NEW_KEY

    def explain(self, error: CallError, key: str) -> CallError:
        """Return the last error with what all attempts together say.

        A key that others may have sent is as unknown as the entry says.
        """
        is_unknown = self.may_have_run or (
            not self.may_renew and error.ran == "unknown"
        )
        return CallError(
            str(error),
            kind=error.kind,
            ran="unknown" if is_unknown else "not_run",
            retry_after_s=error.retry_after_s,
            idempotency_key=key,
        )
