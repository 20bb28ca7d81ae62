"""Requests that crash the targets that run them, and how targets are kept from them."""
