"""Clocks, estimates and outcomes, which several subjects use."""
