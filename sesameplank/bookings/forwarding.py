"""Passes bookings on to the entry that issued their writer id."""

from abc import ABC, abstractmethod
from typing import ClassVar

from ..callers.problems import Problem
from ..core.messages import BookingAnswer, BookingRequest, BookingStatus
from ..core.outcomes import Failure, FailureReason, Ran
from ..ids import CallerName, EntryId, IdempotencyKey, RequestId
from ..peers import PeerLinks, PeerMessage

UNREACHABLE = Failure(FailureReason.CONNECT, Ran.NOT_RUN, "there are no peer links")


class ForwardedReply(PeerMessage, frozen=True, array_like=True):
    """The issuer's reply: one of the three."""

    answer: BookingAnswer | None = None
    status: BookingStatus | None = None
    problem: Problem | None = None


class ForwardedBooking(PeerMessage, frozen=True, array_like=True):
    """A booking on its way to the issuer of its key."""

    reply_type: ClassVar[type[PeerMessage]] = ForwardedReply

    request_id: RequestId
    caller: CallerName
    key: IdempotencyKey
    request: BookingRequest


class ForwardedQuestion(PeerMessage, frozen=True, array_like=True):
    """A question about a key; `close` asks that it never run from now on."""

    reply_type: ClassVar[type[PeerMessage]] = ForwardedReply

    request_id: RequestId
    key: IdempotencyKey
    close: bool


class Forwarder(ABC):
    """Carries bookings and questions to other entries.

    Deadlines are seconds of the process's clock. A message may be passed on
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
    """Reaches no other entry, for an entry that stands alone."""

    def forward(
        self,
        issuer: EntryId,
        message: ForwardedBooking | ForwardedQuestion,
        deadline_at: float,
    ) -> Failure:
        """Return a Failure."""
        return UNREACHABLE


class PeerForwarder(Forwarder):
    """Reaches other entries over the links between them."""

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
