"""Refusals returned to callers for bookings without a result."""

from ..callers.problems import ProblemKind, Refusal
from ..core.bookings.bookings import Verdict
from ..core.bookings.writers import BookingKey
from ..core.common.outcomes import Failure, Ran
from ..ids import EntryId

GET_WRITER_REMEDY = (
    "take a writer id with POST /v1/writers and send a key that begins with it"
)
RETRY_AFTER_MS = 200


def make_writer_required() -> Refusal:
    """Return the refusal of a key that begins with no writer id."""
    return Refusal(
        ProblemKind.WRITER_REQUIRED,
        "the Idempotency-Key does not begin with a writer id, so that no entry "
        "can tell whether it has run before",
        f"{GET_WRITER_REMEDY}, such as WRITER~order-17",
    )


def make_outcome_unknown(failure: Failure) -> Refusal:
    """Return the refusal of a booking that may or may not have run."""
    return Refusal(
        ProblemKind.OUTCOME_UNKNOWN,
        f"the booking was sent and no answer came ({failure.reason.value})",
        "look for it in a search before booking again; its key will not run again",
        ran=Ran.UNKNOWN,
    )


def make_still_running() -> Refusal:
    """Return the refusal of a booking that is still running at its deadline."""
    return Refusal(
        ProblemKind.OUTCOME_UNKNOWN,
        "the booking still runs at its deadline",
        "ask again under the same key, which never runs twice",
        ran=Ran.UNKNOWN,
        retry_after_ms=RETRY_AFTER_MS,
    )


def make_cut_off(key: BookingKey | None, own_entry: EntryId) -> Refusal:
    """Return the refusal of a booking that is in flight when the entry has to end.

    The key is None if it has no writer id. A key of this entry is forgotten when it
    ends; any other key is known to its issuer.
    """
    detail = "the entry stops and the booking has not ended in the time left"
    if key is None or key.writer.entry == own_entry:
        return Refusal(
            ProblemKind.OUTCOME_UNKNOWN,
            detail,
            "look for it in a search before booking again",
            ran=Ran.UNKNOWN,
        )
    return Refusal(
        ProblemKind.OUTCOME_UNKNOWN,
        detail,
        "ask another entry under the same key, which never runs twice",
        ran=Ran.UNKNOWN,
        retry_after_ms=0,
    )


def make_internal_error() -> Refusal:
    """Return the refusal of a booking that failed with an internal error."""
    return Refusal(
        ProblemKind.INTERNAL,
        "the entry failed on this booking",
        "look for it in a search before booking again; its key will not run again",
        ran=Ran.UNKNOWN,
    )


def make_issuer_gone(key: BookingKey, detail: str) -> Refusal:
    """Return the refusal of a key whose status its issuer cannot return.

    `detail` is a predicate whose subject is the issuer, such as "has restarted".
    """
    return Refusal(
        ProblemKind.ISSUER_GONE,
        f"the entry {key.writer.entry} that issued the key {detail}; "
        "whether an earlier request with the key ran is unknown",
        f"if the key was never sent before, {GET_WRITER_REMEDY}; otherwise look for "
        "the booking in a search",
        ran=Ran.UNKNOWN,
    )


def make_issuer_unreachable(key: BookingKey, failure: Failure) -> Refusal:
    """Return the refusal of a key whose issuer did not reply in time."""
    refusal = make_issuer_gone(key, f"cannot be reached ({failure.reason.value})")
    refusal.retry_after_ms = RETRY_AFTER_MS
    return refusal


def make_reply_lost(key: BookingKey, failure: Failure) -> Refusal:
    """Return the refusal of a forwarded request that may have run; no reply came."""
    return Refusal(
        ProblemKind.OUTCOME_UNKNOWN,
        f"the entry {key.writer.entry} that issued the key was sent the booking and "
        f"did not reply ({failure.reason.value})",
        "ask again under the same key, which never runs twice",
        ran=Ran.UNKNOWN,
        retry_after_ms=RETRY_AFTER_MS,
    )


def make_refusal(verdict: Verdict, key: BookingKey, wait_s: float) -> Refusal:
    """Return the refusal for a verdict other than RUN, JOIN and ANSWERED.

    `wait_s` is the time in seconds until the registry may have room again.
    """
    writer = key.writer
    if verdict is Verdict.UNKNOWN:
        return Refusal(
            ProblemKind.OUTCOME_UNKNOWN,
            "the booking was sent and no answer came",
            "look for it in a search before booking again; its key will not run again",
            ran=Ran.UNKNOWN,
        )
    if verdict is Verdict.OTHER_ISSUER:
        return make_issuer_gone(key, "has restarted since")
    if verdict is Verdict.WRITER_FORGOTTEN:
        return make_issuer_gone(key, "has forgotten the writer id, which is too old")
    if verdict is Verdict.CONFLICT:
        return Refusal(
            ProblemKind.KEY_CONFLICT,
            f"the key {key.name!r} was used for another booking of this writer",
            "send the same body with the same key, or take a new key",
        )
    if verdict is Verdict.KEY_CLOSED:
        return Refusal(
            ProblemKind.KEY_CLOSED,
            f"the key {key.name!r} was closed before it ran",
            "send the booking under a new key",
        )
    if verdict is Verdict.WRITER_CLOSED:
        return Refusal(
            ProblemKind.WRITER_CLOSED,
            f"the writer id {writer} takes no new keys any more; this key has not run",
            GET_WRITER_REMEDY,
        )
    if verdict is Verdict.NEVER_ISSUED:
        return Refusal(
            ProblemKind.WRITER_REQUIRED,
            f"the writer id {writer} was never issued",
            GET_WRITER_REMEDY,
        )
    return make_registry_full(wait_s)


def make_registry_full(wait_s: float) -> Refusal:
    """Return the refusal of a new key or writer when the registry is full.

    `wait_s` is the time in seconds until it may have room again.
    """
    return Refusal(
        ProblemKind.OVERLOADED,
        "the entry remembers as many bookings as it may",
        "take a writer id at another entry, or come back at the stated time",
        retry_after_ms=max(1, int(wait_s * 1_000)),
    )
