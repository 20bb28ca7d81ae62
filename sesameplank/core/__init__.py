"""The decision logic, which performs no I/O; clocks and randomness are passed in."""
