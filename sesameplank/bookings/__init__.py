"""Bookings: each runs at most once, whatever fails and whoever retries."""

from .forwarding import Forwarder, NoForwarder
from .runner import BookingRunner
from .service import BookingService

__all__ = ["BookingRunner", "BookingService", "Forwarder", "NoForwarder"]
