"""What operators see of a process: state dump, metrics and request logs."""

from .decisions import DecisionLog
from .requests import RequestLedger

__all__ = ["DecisionLog", "RequestLedger"]
