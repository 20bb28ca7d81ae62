"""The callers' interface: HTTP and JSON."""

from .app import CallersApp

__all__ = ["CallersApp"]
