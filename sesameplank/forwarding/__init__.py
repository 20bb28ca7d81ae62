"""Forwards callers' requests over configured routes to targets."""
