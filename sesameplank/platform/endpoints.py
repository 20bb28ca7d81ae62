"""The calls that the platform and its callers make to a VM besides requests."""

import msgspec

READY_PATH = "/readyz"
ADDRESSES_PATH = "/resolve"


class WireAddresses(msgspec.Struct):
    """The answer to a caller that asks where to connect."""

    addrs: list[str]
    ttl_s: float


def encode_addresses(addresses: list[str], ttl_s: float) -> bytes:
    """Return the body that names the addresses and how long to keep them."""
    return msgspec.json.encode(WireAddresses(addresses, ttl_s))
