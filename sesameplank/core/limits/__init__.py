"""Limits on the sum over all processes, and the part that each may use."""
