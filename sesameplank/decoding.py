"""Decoding of documents that come from outside this process.

The decoder of the library raises errors of several kinds, depending on what is wrong
with a document. Here each of them becomes a MalformedDocumentError.
"""

from typing import Any

import msgspec

from .exceptions import MalformedDocumentError

# A document may be nested more deeply than the stack of the decoder allows.
DECODER_ERRORS = (msgspec.DecodeError, UnicodeDecodeError, RecursionError)


def decode_json(document: bytes | msgspec.Raw, document_type: Any = Any) -> Any:
    """Return the typed value of a JSON document, or raise MalformedDocumentError."""
    try:
        return msgspec.json.decode(document, type=document_type)
    except DECODER_ERRORS as error:
        raise MalformedDocumentError(str(error)) from error


def decode_msgpack(document: bytes, document_type: Any = Any) -> Any:
    """Return the typed value of a MessagePack document.

    Raises MalformedDocumentError.
    """
    try:
        return msgspec.msgpack.decode(document, type=document_type)
    except DECODER_ERRORS as error:
        raise MalformedDocumentError(str(error)) from error
