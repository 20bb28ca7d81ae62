"""Reads request bodies within bounds of size and time."""

import gevent
import msgspec

from .problems import ProblemKind, Refusal

MAX_BODY_BYTES = 65_536
BODY_TIMEOUT_S = 5.0


def read_body(environ: dict, kind):
    """Return the typed JSON body, or raise Refusal."""
    payload = read_payload(environ)
    try:
        return msgspec.json.decode(payload, type=kind)
    except msgspec.DecodeError as error:
        raise Refusal(
            ProblemKind.BAD_REQUEST,
            f"the body is refused: {error}",
            "correct that field; the reference lists them all",
        ) from error


def read_payload(environ: dict) -> bytes:
    """Return the raw body, or raise Refusal when it is too large or too slow."""
    length = environ.get("CONTENT_LENGTH") or ""
    if not length.isdigit():
        raise Refusal(
            ProblemKind.BAD_REQUEST,
            "the Content-Length header is missing or not a number",
            "send the body's length in bytes",
        )
    if int(length) > MAX_BODY_BYTES:
        raise Refusal(
            ProblemKind.TOO_LARGE,
            f"the body has {length} bytes, over the limit of {MAX_BODY_BYTES}",
            "send a smaller request",
        )
    with gevent.Timeout(BODY_TIMEOUT_S, False):
        payload = environ["wsgi.input"].read(int(length))
        if len(payload) == int(length):
            return payload
    raise Refusal(
        ProblemKind.BAD_REQUEST,
        f"the body did not arrive whole within {BODY_TIMEOUT_S:.0f} s",
        "send the whole body at once",
    )
