"""Encoding of messages between entries: a frame is a sequence of CBOR items."""

import io
from collections.abc import Iterator
from enum import IntEnum

import cbor2
import msgspec

from ..core.common.outcomes import Failure
from ..exceptions import PeerProtocolError
from ..ids import EntryId, Incarnation
from .messages import PeerMessage

CBOR_TYPES = (bytes,)  # CBOR encodes these without a conversion by msgspec.


class EnvelopeKind(IntEnum):
    """The kinds of envelopes."""

    ONE_WAY = 0
    CALL = 1
    REPLY = 2
    FAILURE = 3


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """One message with its sender, time of sending and call.

    `name` is the message type, and `body` holds the fields of the message. In a
    FAILURE, `name` is the type of the call, and `body` holds one `Failure`.
    `sent_ms` is the sender's monotonic clock in milliseconds. `budget_ms` is the
    time from the sending of a call to its deadline.
    """

    kind: EnvelopeKind
    sender: EntryId
    incarnation: Incarnation
    sent_ms: int
    name: str
    body: list
    call_id: int = 0
    budget_ms: int = 0


def pack_message(message: msgspec.Struct) -> list:
    """Return the fields of a message as types that CBOR can encode."""
    return msgspec.to_builtins(message, builtin_types=CBOR_TYPES)


def unpack_message(body: list, message_type: type[PeerMessage]) -> PeerMessage:
    """Return the typed message, or raise PeerProtocolError."""
    try:
        return msgspec.convert(body, message_type, builtin_types=CBOR_TYPES)
    except msgspec.ValidationError as error:
        raise PeerProtocolError(
            f"a {message_type.__name__} from a peer is malformed: {error}; "
            "run the same release on every entry"
        ) from error


def unpack_failure(body: list) -> Failure:
    """Return the failure that a peer reports, or raise PeerProtocolError."""
    try:
        return msgspec.convert(body[0], Failure)
    except (msgspec.ValidationError, IndexError) as error:
        raise PeerProtocolError(
            f"a failure from a peer is malformed: {error}; "
            "run the same release on every entry"
        ) from error


def encode_envelope(envelope: Envelope) -> bytes:
    """Return an envelope encoded as a CBOR item."""
    return cbor2.dumps(msgspec.to_builtins(envelope, builtin_types=CBOR_TYPES))


def decode_frame(frame: bytes) -> Iterator[tuple[Envelope, int]]:
    """Yield the envelopes of a frame, each with its size in bytes.

    Raise PeerProtocolError if the frame is malformed.
    """
    stream = io.BytesIO(frame)
    decoder = cbor2.CBORDecoder(stream)
    start = 0
    while start < len(frame):
        try:
            envelope = msgspec.convert(
                decoder.decode(), Envelope, builtin_types=CBOR_TYPES
            )
        except (cbor2.CBORDecodeError, msgspec.ValidationError) as error:
            raise PeerProtocolError(
                f"a frame from a peer is malformed: {error}; "
                "run the same release on every entry"
            ) from error
        end = stream.tell()
        yield envelope, end - start
        start = end
