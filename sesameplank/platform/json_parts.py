"""Splitting of JSON texts into their parts without decoding these.

It is used for texts that the decoder refuses as a whole, because of any one part.
Nothing is checked but the nesting, which may be of any depth.
"""

import json
import re

from ..exceptions import MalformedDocumentError

TOKEN = re.compile(rb'"[^"\\]*(?:\\.[^"\\]*)*"|[\[\]{},"]', re.DOTALL)
MEMBER = re.compile(rb'\s*("[^"\\]*(?:\\.[^"\\]*)*")\s*:(.*)', re.DOTALL)
OPENING = (b"[", b"{")
CLOSING = (b"]", b"}")
QUOTE = b'"'


def split_parts(document: bytes) -> list[bytes]:
    """Return the elements of a list, or the members of an object.

    Raises MalformedDocumentError if the document is neither, or ends inside.
    """
    parts: list[bytes] = []
    depth = start = 0
    for match in TOKEN.finditer(document):
        token = match[0]
        if token in OPENING:
            depth += 1
            if depth == 1:
                start = match.end()
        elif depth == 1 and (token == b"," or token in CLOSING):
            parts.append(document[start : match.start()].strip())
            start = match.end()
        if token in CLOSING:
            depth -= 1
        if depth == 0 or token == QUOTE:  # A text without an end.
            break
    if depth or not start:
        raise MalformedDocumentError("it is no whole list or object")
    return [part for part in parts if part]


def split_members(document: bytes) -> dict[str, bytes]:
    """Return the values of an object by their names; the last of each name counts.

    Raises MalformedDocumentError.
    """
    matches = (MEMBER.match(part) for part in split_parts(document))
    return {read_text(match[1]): match[2].strip() for match in matches if match}


def read_text(document: bytes) -> str:
    """Return a JSON string; bytes that are not UTF-8 become lone surrogates.

    Raises MalformedDocumentError.
    """
    try:
        text = json.loads(document.decode(errors="surrogateescape"), strict=False)
    except (ValueError, RecursionError) as error:
        raise MalformedDocumentError(str(error)) from error
    if not isinstance(text, str):
        raise MalformedDocumentError("it is no text")
    return text
