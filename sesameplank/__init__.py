"""A query tier between callers and many shards."""

__version__ = "0.10.0"
