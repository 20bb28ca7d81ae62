"""Forwarded requests: calls, hedges, retries, batches and merged answers."""
