"""Bookings, each of which runs at most once in spite of failures and retries."""

from .forwarding import (
    ForwardedBooking,
    ForwardedQuestion,
    Forwarder,
    NoForwarder,
    PeerForwarder,
)
from .runner import BookingRunner
from .service import BookingService

__all__ = [
    "BookingRunner",
    "BookingService",
    "ForwardedBooking",
    "ForwardedQuestion",
    "Forwarder",
    "NoForwarder",
    "PeerForwarder",
]
