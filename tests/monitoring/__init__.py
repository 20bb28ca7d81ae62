"""Tests of monitoring."""
