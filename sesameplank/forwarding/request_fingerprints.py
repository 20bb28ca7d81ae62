"""Fingerprints of callers' HTTP requests."""

from ..core.quarantine.fingerprints import NO_FINGERPRINT, make_fingerprint
from ..ids import Fingerprint
from .http_messages import MessageError, Request, RequestReader

MAX_BYTES = 16 * 1024 * 1024  # A call that is made for another VM was bounded there.


def find_fingerprint(request: Request) -> Fingerprint:
    """Return the fingerprint of a request: its caller, method, target and body.

    The host names the caller, and so may its credentials.
    """
    return make_fingerprint(
        (request.get(b"host") or "").lower().encode("latin-1"),
        (request.get(b"authorization") or "").encode("latin-1"),
        request.method,
        bytes(request.target),
        bytes(request.body),
    )


def find_encoded_fingerprint(encoded: bytes) -> Fingerprint:
    """Return the fingerprint of an encoded request, none if it can't be read."""
    reader = RequestReader(MAX_BYTES, MAX_BYTES)
    try:
        reader.feed(encoded)
    except MessageError:
        return NO_FINGERPRINT
    return find_fingerprint(reader.complete[0]) if reader.complete else NO_FINGERPRINT
