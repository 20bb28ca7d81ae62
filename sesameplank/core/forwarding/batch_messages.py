"""Messages between processes about batches of calls.

Fields are encoded by position: add new fields at the end, with a default.
"""

import msgspec

from ...ids import Fingerprint, RequestId, TargetId
from ..common.outcomes import Failure, FailureReason, Ran
from ..membership.peer_messages import PeerMessage
from ..quarantine.fingerprints import NO_FINGERPRINT
from .placement import LoadReport


class BatchedCalls(PeerMessage, frozen=True):
    """A request to call targets on behalf of the sender and to merge their answers.

    `batch` identifies the batch among those of the sender. `head` and `tail` are the
    encoded request without the headers that differ between targets. `top_k` is the
    number of greatest records to return. `remaining_ms` is the time until the deadline,
    and `flush_ms` the time from which answers are returned at once. If
    `wants_responses`, the responses are returned whole, each at once, and not merged.
    `is_head` says that they have no body, and `is_idempotent` that the request may run
    more than once. `has_lost_targets` says that the sender has lost its links to
    targets. `fingerprint` is that of the request, empty from older releases.
    """

    batch: int
    request_id: RequestId
    head: bytes
    tail: bytes
    top_k: int
    remaining_ms: int
    flush_ms: int
    targets: tuple[TargetId, ...]
    wants_responses: bool = False
    is_idempotent: bool = True
    is_head: bool = False
    has_lost_targets: bool = False
    fingerprint: Fingerprint = NO_FINGERPRINT


class BatchedLoad(msgspec.Struct, frozen=True, array_like=True):
    """A target's load report; `slowdown_percent` is 100 for the usual service time."""

    running: int
    waiting: int
    slots: int
    slowdown_percent: int

    @classmethod
    def pack(cls, report: LoadReport | None) -> "BatchedLoad | None":
        """Return a load report as it is sent, or None."""
        if report is None:
            return None
        slowdown_percent = round(report.slowdown * 100)
        return cls(report.running, report.waiting, report.slots, slowdown_percent)

    def unpack(self) -> LoadReport:
        """Return the load report."""
        return LoadReport(
            self.running, self.waiting, self.slots, self.slowdown_percent / 100
        )


class BatchedAnswer(msgspec.Struct, frozen=True, array_like=True):
    """A successful answer; its records are part of the merged ones.

    `index` is the position of the target in the batch, and `elapsed_us` the latency
    of the call in microseconds.
    """

    index: int
    signature: str
    elapsed_us: int
    load: BatchedLoad | None = None


class BatchedFailure(msgspec.Struct, frozen=True, array_like=True):
    """A call that failed, or that its target refused (`is_refusal`).

    `is_limited` says that the target's rate limit left no room, so nothing was sent.
    `is_other_target` is true if another target listens at the address now, and
    `answered_by` is its id, None if unknown. `is_quarantined` says that nothing was
    sent because such requests crash targets, and `is_crash` that the target crashed;
    older releases don't know that reason.
    """

    index: int
    reason: FailureReason
    ran: Ran
    is_refusal: bool = False
    is_other_target: bool = False
    load: BatchedLoad | None = None
    answered_by: TargetId | None = None
    is_limited: bool = False
    is_crash: bool = False
    is_quarantined: bool = False

    @classmethod
    def pack(cls, index: int, failure: Failure) -> "BatchedFailure":
        """Return the failure of a call as it is sent, with a reason known to all."""
        if failure.reason is FailureReason.CRASHED:
            return cls(index, FailureReason.TRUNCATED, failure.ran, is_crash=True)
        return cls(index, failure.reason, failure.ran)

    def unpack(self) -> Failure:
        """Return the failure as the sender of the batch processes it."""
        reason = FailureReason.CRASHED if self.is_crash else self.reason
        return Failure(reason, self.ran, "reported by the aggregating VM")


class BatchedResponse(msgspec.Struct, frozen=True, array_like=True):
    """A whole response of a target, also one that reports a failure or a refusal."""

    index: int
    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes


class BatchedAnswers(PeerMessage, frozen=True):
    """The answers of a batch since the previous message, and their greatest records."""

    batch: int
    answers: tuple[BatchedAnswer, ...] = ()
    failures: tuple[BatchedFailure, ...] = ()
    records: bytes = b""
    responses: tuple[BatchedResponse, ...] = ()


class BatchWithdrawal(PeerMessage, frozen=True):
    """A request to return the calls of a batch that no target has got yet.

    Older releases don't know this message, and ignore it.
    """

    batch: int


class BatchCancel(PeerMessage, frozen=True):
    """A request to cancel the calls of a batch that are still in flight."""

    batch: int
