"""Tests of reading what the platform publishes."""
