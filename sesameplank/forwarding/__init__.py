"""Forwarding of callers' requests to targets along the configured routes."""
