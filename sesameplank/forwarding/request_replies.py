"""The replies to forwarded requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from ..core.forwarding.verdicts import Verdict
from .dialect import TargetAnswer
from .http_messages import Response
from .request_handling import Reply

if TYPE_CHECKING:
    from .forwarded_request import ForwardedRequest

NOT_RUN_RETRY_AFTER_S = 0.2
WITHHELD_RETRY_AFTER_S = 2.0  # Targets that have crashed take seconds to start again.


class Part(msgspec.Struct, frozen=True):
    """A target's answer and the response that contained it.

    The answer is successful, or an error that may be relayed to the caller.
    """

    answer: TargetAnswer
    response: Response


def make_reply(forwarded: ForwardedRequest, verdict: Verdict) -> Reply:
    """Return the reply for a verdict."""
    if verdict is not Verdict.ANSWERED:
        return make_error_reply(forwarded, verdict)
    if forwarded.route.is_gather:
        return make_merged_reply(forwarded)
    return relay_response(forwarded, forwarded.answer_part)


def make_merged_reply(forwarded: ForwardedRequest) -> Reply:
    """Return the merged answers of the shards."""
    parts = forwarded.parts
    missing = len(forwarded.plan.shards) - len(parts.signatures)
    forwarded.forwarder.count("whole" if not missing else "partial")
    headers = forwarded.forwarder.dialect.make_merged_headers(
        forwarded.metadata.request_id, parts.signatures.values(), missing
    )
    return Reply(200, headers, parts.get_body())


def relay_response(forwarded: ForwardedRequest, part: Part) -> Reply:
    """Return a target's response unchanged, except for hop-by-hop headers."""
    response = part.response
    headers = response.get_end_to_end()
    if not forwarded.is_head:
        return Reply(response.status, headers, bytes(response.body))
    length = response.get(b"content-length")
    if length is not None:
        headers.append((b"Content-Length", length.encode()))
    return Reply(response.status, headers, None)


def make_error_reply(forwarded: ForwardedRequest, verdict: Verdict) -> Reply:
    """Return the reply to a request that was not answered.

    Relay a target's error response, if there is one, unless the route merges
    shards. Reply 503 only if certainly no target has run or will run the
    request, otherwise 502 or 504.
    """
    if not forwarded.route.is_gather and forwarded.error_part is not None:
        return relay_response(forwarded, forwarded.error_part)
    request_id = forwarded.metadata.request_id
    if forwarded.fanout.is_certainly_not_run:
        retry_after_s = get_retry_after_s(forwarded, verdict)
        return forwarded.forwarder.refuse(request_id, 503, retry_after_s)
    is_timeout = verdict in (Verdict.EXPIRED, Verdict.CALLER_LEFT)
    return forwarded.forwarder.refuse(request_id, 504 if is_timeout else 502)


def get_retry_after_s(forwarded: ForwardedRequest, verdict: Verdict) -> float:
    """Return when to repeat the request, which has not run, in seconds."""
    if verdict is Verdict.WITHHELD:
        return WITHHELD_RETRY_AFTER_S
    fingerprint = forwarded.sent_request.fingerprint
    quarantine = forwarded.forwarder.quarantine
    hold_s = quarantine.get_hold_s(fingerprint, forwarded.clock.now())
    return hold_s or NOT_RUN_RETRY_AFTER_S
