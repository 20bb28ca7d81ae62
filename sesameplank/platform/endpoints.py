"""Paths and response bodies of the endpoints for readiness and addresses."""

import msgspec

READY_PATH = "/readyz"
ADDRESSES_PATH = "/resolve"


class WireAddresses(msgspec.Struct):
    """The response to a caller that looks up which addresses to connect to."""

    addrs: list[str]
    ttl_s: float


def encode_addresses(addresses: list[str], ttl_s: float) -> bytes:
    """Return the JSON body with the addresses and their time to live in seconds."""
    return msgspec.json.encode(WireAddresses(addresses, ttl_s))
