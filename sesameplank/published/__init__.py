"""Readers of what the platform publishes: configuration, VM list and targets."""
