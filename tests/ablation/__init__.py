"""Tests of studies of variants."""
