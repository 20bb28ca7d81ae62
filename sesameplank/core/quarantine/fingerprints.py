"""Fingerprints: what requests with different ids have in common.

Two requests with the same fingerprint make a target do the same. It covers all that a
caller chose and that reaches the target, so that no caller can make another's request
look like one that crashes targets. The hash is a cryptographic one for the same reason.
"""

import hashlib
import re

from ...ids import Fingerprint

DIGEST_BYTES = 16
LENGTH_BYTES = 8
FINGERPRINT_FORM = re.compile(r"[0-9a-f]{32}")
NO_FINGERPRINT = Fingerprint("")


def make_fingerprint(*parts: bytes) -> Fingerprint:
    """Return the fingerprint of a request with these parts, as hexadecimal digits."""
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in parts:
        digest.update(len(part).to_bytes(LENGTH_BYTES))
        digest.update(part)
    return Fingerprint(digest.hexdigest())


def is_fingerprint(text: str) -> bool:
    """Return whether a text has the form of a fingerprint."""
    return FINGERPRINT_FORM.fullmatch(text) is not None
