"""The client library for callers."""

from ..core.search.messages import Filter, Order, SearchRequest
from .client import Client

__all__ = ["Client", "Filter", "Order", "SearchRequest"]
