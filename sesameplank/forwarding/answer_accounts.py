"""Accounts of callers' requests: each that was read is answered, or reported."""

from collections.abc import Callable
from enum import Enum

import msgspec

from ..ids import RequestId
from .http_messages import Request
from .request_log import RequestLog

FIRST_ERROR_STATUS = 400


class AnswerStage(Enum):
    """How far a request that has been read completely got.

    `QUEUED` requests wait for the earlier ones on their connection, the handler is
    at work for `SERVED` ones, and the reply is being written for `ANSWERED` ones.
    """

    QUEUED = "queued"
    SERVED = "served"
    ANSWERED = "answered"


class CloseCause(Enum):
    """Why a connection was closed.

    `CALLER_LEFT` means that the caller closed or reset it, `CONNECTION_CLOSED` that
    this process did, and `PROCESS_ENDED` that it did so at its own end.
    """

    CALLER_LEFT = "caller_left"
    CONNECTION_CLOSED = "connection_closed"
    PROCESS_ENDED = "process_ended"
    WRITE_FAILED = "write_failed"
    WRITE_TIMEOUT = "write_timeout"


class PendingRequest:
    """A request that has been read completely.

    `received_at` is the time at which it had arrived completely, in seconds.
    `unwritten` is the number of bytes of the reply that have not been written, None
    before there is a reply. `calls` is the number of calls sent for the request, None
    unless the handler is at work. `has_ended` is true once the reply is written or its
    loss is reported.
    """

    def __init__(
        self, request: Request, received_at: float, while_stopping: bool
    ) -> None:
        self.request = request
        self.received_at = received_at
        self.while_stopping = while_stopping
        self.stage = AnswerStage.QUEUED
        self.unwritten: int | None = None
        self.calls: int | None = None
        self.has_ended = False


class StopTotals(msgspec.Struct):
    """What became of the requests that were read since the stop began.

    `refused` counts replies with an error status, `answered` the other replies.
    """

    read: int = 0
    answered: int = 0
    refused: int = 0
    unanswered: int = 0


def ignore_count(event: str) -> None:
    """Count nothing."""


def get_no_id(request: Request) -> None:
    """Return None: the id of the request is unknown."""


class AnswerAccounts:
    """Counts the requests that are read and answered, and reports the others.

    `log` is None if nothing is to be logged. `get_request_id` reads the id that the
    caller sent with a request. `bytes_read` and `bytes_written` count all that passed
    on callers' connections.
    """

    def __init__(
        self,
        log: RequestLog | None = None,
        count: Callable[[str], None] = ignore_count,
        get_request_id: Callable[[Request], RequestId | None] = get_no_id,
    ) -> None:
        self.log = log
        self.count = count
        self.get_request_id = get_request_id
        self.stop_totals = StopTotals()
        self.bytes_read = 0
        self.bytes_written = 0

    def note_read(self, request: Request, now: float, stopping: bool) -> PendingRequest:
        """Record that a request has been read completely."""
        self.count("requests_read")
        self.stop_totals.read += stopping
        return PendingRequest(request, now, stopping)

    def note_answered(self, pending: PendingRequest, status: int) -> None:
        """Record that the reply to a request has been written completely."""
        if pending.has_ended:
            return
        pending.has_ended = True
        self.count("answers_written")
        if not pending.while_stopping:
            return
        if status >= FIRST_ERROR_STATUS:
            self.stop_totals.refused += 1
        else:
            self.stop_totals.answered += 1

    def note_unanswered(
        self,
        pending: PendingRequest,
        cause: CloseCause,
        now: float,
        stopping: bool,
        listener: str,
    ) -> None:
        """Count and log a request whose connection ended before its reply was written.

        `listener` is the address that the caller connected to.
        """
        if pending.has_ended:
            return
        pending.has_ended = True
        self.count(f"unanswered_{cause.value}")
        self.stop_totals.unanswered += pending.while_stopping
        if self.log is None:
            return
        progress = {"calls": pending.calls, "unwritten_bytes": pending.unwritten}
        known = {name: value for name, value in progress.items() if value is not None}
        self.log.note_failure(
            "request_unanswered",
            request=self.get_request_id(pending.request),
            stage=pending.stage.value,
            cause=cause.value,
            after_ms=int((now - pending.received_at) * 1_000),
            stopping=stopping,
            listener=listener,
            **known,
        )

    def note_unread(
        self, cause: CloseCause, unread: int, unacknowledged: int, stopping: bool
    ) -> None:
        """Count and log a connection that is closed with unread bytes of the caller.

        The kernel then resets it, and the caller can lose replies that have been
        written but that it has not read. Both numbers are in bytes.
        """
        self.count("closed_unread")
        if self.log is None:
            return
        self.log.note_failure(
            "connection_closed_unread",
            cause=cause.value,
            unread_bytes=unread,
            unacknowledged_bytes=unacknowledged,
            stopping=stopping,
        )
