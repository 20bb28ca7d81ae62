"""Bookings: each runs at most once, whatever fails and whoever retries."""

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
