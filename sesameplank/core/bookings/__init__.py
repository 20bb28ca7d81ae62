"""Bookings, which run at most once."""
