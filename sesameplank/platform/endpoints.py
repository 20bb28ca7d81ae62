"""The calls that the platform and its callers make to a VM besides requests."""

from urllib.parse import parse_qs

import msgspec

from ..forwarding.http_messages import Request
from ..ids import DataCentre

READY_PATH = "/readyz"
ADDRESSES_PATH = "/resolve"


class WireAddresses(msgspec.Struct):
    """The answer to a caller that asks where to connect."""

    addrs: list[str]
    ttl_s: float


def read_data_centre(request: Request) -> DataCentre:
    """Return the data centre that a caller says it stands in, or an empty name."""
    query = request.target.partition(b"?")[2].decode("latin-1")
    return DataCentre(parse_qs(query).get("zone", [""])[0])


def encode_addresses(addresses: list[str], ttl_s: float) -> bytes:
    """Return the body that names the addresses and how long to keep them."""
    return msgspec.json.encode(WireAddresses(addresses, ttl_s))
