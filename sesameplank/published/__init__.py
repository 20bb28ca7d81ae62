"""Follows what the platform publishes: configuration, VMs and targets."""
