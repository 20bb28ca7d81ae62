"""Tests of `sesameplank.bookings`."""
