"""Decisions without input or output: clocks and randomness are passed in."""
