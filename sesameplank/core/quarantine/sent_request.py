"""A request as its calls to targets show it."""

from ...ids import Fingerprint, RequestId


class SentRequest:
    """What all calls for one request share.

    `is_answered` says that a target has answered one of them.
    """

    def __init__(self, request_id: RequestId, fingerprint: Fingerprint) -> None:
        self.request_id = request_id
        self.fingerprint = fingerprint
        self.is_answered = False
