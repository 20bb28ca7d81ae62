"""Randomized soak tests that inject faults into real processes and check guarantees."""
