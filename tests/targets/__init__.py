"""Tests of calls to targets."""
