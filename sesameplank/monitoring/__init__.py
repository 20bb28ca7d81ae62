"""Monitoring of a process by operators: state dump, metrics and request logs."""

from .decisions import DecisionLog
from .requests import RequestLedger

__all__ = ["DecisionLog", "RequestLedger"]
