"""Forwards bookings to the entry that issued their writer id."""

from abc import ABC, abstractmethod
from typing import ClassVar

from ..callers.problems import Problem
from ..core.common.outcomes import Failure, FailureReason, Ran
from ..core.search.messages import BookingAnswer, BookingRequest, BookingStatus
from ..ids import CallerName, EntryId, IdempotencyKey, RequestId
from ..peers import PeerLinks, PeerMessage

UNREACHABLE = Failure(FailureReason.CONNECT, Ran.NOT_RUN, "there are no peer links")


class ForwardedReply(PeerMessage, frozen=True, array_like=True):
    """The reply of the issuer, with exactly one of its fields set."""

    answer: BookingAnswer | None = None
    status: BookingStatus | None = None
    problem: Problem | None = None


class ForwardedBooking(PeerMessage, frozen=True, array_like=True):
    """A booking that is forwarded to the issuer of its key."""

    reply_type: ClassVar[type[PeerMessage]] = ForwardedReply

    request_id: RequestId
    caller: CallerName
    key: IdempotencyKey
    request: BookingRequest


class ForwardedQuestion(PeerMessage, frozen=True, array_like=True):
    """A request for the status of a key.

    `close` requests that the key be closed, so that it never runs from now on.
    """

    reply_type: ClassVar[type[PeerMessage]] = ForwardedReply

    request_id: RequestId
    key: IdempotencyKey
    close: bool


class Forwarder(ABC):
    """Forwards bookings and status requests to other entries.

    Deadlines are in seconds of this process's clock. A message may be forwarded
    again after a lost reply, because the issuer runs a key at most once.
    """

    @abstractmethod
    def forward(
        self,
        issuer: EntryId,
        message: ForwardedBooking | ForwardedQuestion,
        deadline_at: float,
    ) -> ForwardedReply | Failure:
        """Return the issuer's reply, or a Failure."""


class NoForwarder(Forwarder):
    """Fails every request; used by an entry without peers."""

    def forward(
        self,
        issuer: EntryId,
        message: ForwardedBooking | ForwardedQuestion,
        deadline_at: float,
    ) -> Failure:
        """Return a Failure that states that the message was not sent."""
        return UNREACHABLE


class PeerForwarder(Forwarder):
    """Forwards over the links between entries."""

    def __init__(self, links: PeerLinks) -> None:
        self.links = links

    def forward(
        self,
        issuer: EntryId,
        message: ForwardedBooking | ForwardedQuestion,
        deadline_at: float,
    ) -> ForwardedReply | Failure:
        """Return the issuer's reply, or a Failure."""
        return self.links.call(issuer, message, deadline_at)
