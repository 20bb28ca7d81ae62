"""Reads request bodies within limits on size and time."""

import gevent

from ..decoding import decode_json
from ..exceptions import MalformedDocumentError, StopReached
from .problems import ProblemKind, Refusal, make_stop_refusal

MAX_BODY_BYTES = 65_536
BODY_TIMEOUT_S = 5.0


def read_body(environ: dict, message_type):
    """Return the JSON body decoded as `message_type`, or raise Refusal."""
    payload = read_payload(environ)
    try:
        return decode_json(payload, message_type)
    except MalformedDocumentError as error:
        raise Refusal(
            ProblemKind.BAD_REQUEST,
            f"the body is refused: {error}",
            "correct that field; the reference lists them all",
        ) from error


def read_payload(environ: dict) -> bytes:
    """Return the raw body, or raise Refusal if it is malformed, too large or late."""
    chunked = environ.get("HTTP_TRANSFER_ENCODING", "").lower() == "chunked"
    length = MAX_BODY_BYTES + 1 if chunked else get_length(environ)
    payload = None
    try:
        with gevent.Timeout(BODY_TIMEOUT_S, False):
            payload = environ["wsgi.input"].read(length)
    except OSError as error:
        raise Refusal(
            ProblemKind.BAD_REQUEST,
            f"the body ended early or its chunks are malformed: {error}",
            "send as many bytes as Content-Length states, or whole chunks",
            ends_connection=True,
        ) from error
    except StopReached:
        raise make_stop_refusal() from None
    if payload is None:
        raise Refusal(
            ProblemKind.REQUEST_TIMEOUT,
            f"the body did not arrive whole within {BODY_TIMEOUT_S:.0f} s",
            "send the whole body at once",
            ends_connection=True,
        )
    if len(payload) > MAX_BODY_BYTES:
        raise make_too_large_refusal(f"over {MAX_BODY_BYTES}")
    return payload


def get_length(environ: dict) -> int:
    """Return the value of Content-Length in bytes, or raise Refusal."""
    length = environ.get("CONTENT_LENGTH") or ""
    if not (length.isascii() and length.isdigit()):
        raise Refusal(
            ProblemKind.BAD_REQUEST,
            "the Content-Length header is missing or not a number",
            "send the body's length in bytes",
            ends_connection=True,
        )
    if int(length) > MAX_BODY_BYTES:
        raise make_too_large_refusal(length)
    return int(length)


def make_too_large_refusal(length: str) -> Refusal:
    """Return the refusal of a body over the limit of MAX_BODY_BYTES."""
    return Refusal(
        ProblemKind.TOO_LARGE,
        f"the body has {length} bytes; the limit is {MAX_BODY_BYTES}",
        "send a smaller request",
        ends_connection=True,
    )
