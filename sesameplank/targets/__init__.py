"""Calls to targets: connection pools, dispatch and health."""

from .dispatch import DirectDispatcher, Dispatcher
from .pool import TargetPool

__all__ = ["DirectDispatcher", "Dispatcher", "TargetPool"]
