"""Reads and watches what the platform publishes."""

from .reader import PlatformReader

__all__ = ["PlatformReader"]
