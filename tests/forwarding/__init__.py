"""Tests of the forwarding process."""
