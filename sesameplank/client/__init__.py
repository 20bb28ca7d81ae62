"""The library that callers use."""

from .client import Client

__all__ = ["Client"]
