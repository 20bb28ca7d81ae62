"""The client library for callers."""

from .client import Client

__all__ = ["Client"]
