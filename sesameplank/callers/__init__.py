"""The HTTP and JSON interface for callers."""

from .app import CallersApp

__all__ = ["CallersApp"]
