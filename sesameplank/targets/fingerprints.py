"""Fingerprints of the search calls and bookings that targets get.

They are taken from the encoded message, so that a call of another entry has the same
one as a call of this process. What differs between attempts is left out.
"""

import msgspec

from ..core.quarantine.fingerprints import NO_FINGERPRINT, make_fingerprint
from ..core.search.messages import SearchRequest, TargetBooking, TargetSearch
from ..decoding import decode_json
from ..exceptions import MalformedDocumentError
from ..ids import Fingerprint

SEARCH_PATH = "/search"
BOOKING_PATH = "/book"


def find_search_fingerprint(request: SearchRequest | TargetSearch) -> Fingerprint:
    """Return the fingerprint of a caller's query, or of a call for it."""
    return make_fingerprint(
        SEARCH_PATH.encode(),
        msgspec.json.encode(
            (
                request.collection,
                request.terms,
                request.filters,
                request.order,
                request.limit,
            )
        ),
    )


def find_message_fingerprint(path: str, body: bytes) -> Fingerprint:
    """Return the fingerprint of an encoded call.

    There is none if it is no new work, or if it can't be read: targets refuse it.
    """
    try:
        if path == SEARCH_PATH:
            search = decode_json(body, TargetSearch)
            return find_search_fingerprint(search)
        if path == BOOKING_PATH:
            return find_booking_fingerprint(decode_json(body, TargetBooking))
    except MalformedDocumentError:
        return NO_FINGERPRINT
    return NO_FINGERPRINT


def find_booking_fingerprint(booking: TargetBooking) -> Fingerprint:
    """Return the fingerprint of a booking, whatever its key."""
    return make_fingerprint(
        BOOKING_PATH.encode(),
        msgspec.json.encode((booking.collection, booking.record, booking.quantity)),
    )
