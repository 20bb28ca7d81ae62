"""The bodies of the store's answers, and their decoding item by item.

Any program may write items, so one that can't be decoded must not cost the others.
"""

import msgspec

from ..decoding import decode_json
from ..exceptions import MalformedDocumentError
from .items import NonNegativeInt
from .json_parts import read_text, split_members, split_parts

UNKNOWN_ERA = 0


class WireItem(msgspec.Struct):
    """An item or its deletion event.

    `rev` is the store's revision at the item's last change.
    """

    key: str
    rev: NonNegativeInt
    value: str = ""
    deleted: bool = False


class UnreadableItem(WireItem):
    """An item of which only the key could be read, empty if not even that.

    `rev` is the store's revision when it answered. `reason` says what is wrong.
    """

    reason: str = ""


class WirePage(msgspec.Struct):
    """A page of items. `as_of` is the store's revision when it was read.

    `era` is not part of the body; it counts the restores of the store from a copy.
    """

    items: list[WireItem]
    has_more: bool
    as_of: NonNegativeInt
    era: int = UNKNOWN_ERA


class WireEvents(msgspec.Struct):
    """The changes after a requested revision, up to the revision `as_of`.

    `era` is not part of the body, as in WirePage.
    """

    events: list[WireItem]
    as_of: NonNegativeInt
    era: int = UNKNOWN_ERA


LIST_FIELDS = {WirePage: "items", WireEvents: "events"}


def decode_answer(body: bytes, kind: type) -> WirePage | WireEvents:
    """Return the typed body of an answer, with an UnreadableItem for each bad item.

    Raises MalformedDocumentError if anything but an item can't be decoded.
    """
    try:
        return decode_json(body, kind)
    except MalformedDocumentError:
        return decode_by_items(body, kind)


def decode_by_items(body: bytes, kind: type) -> WirePage | WireEvents:
    """Return what `decode_answer` does, but decode each item by itself."""
    field = LIST_FIELDS[kind]
    members = split_members(body)
    items = split_parts(members.get(field, b""))
    known = {*kind.__struct_fields__} & {*members} - {field}
    head = {name: msgspec.Raw(members[name]) for name in known}
    answer = decode_json(msgspec.json.encode({**head, field: []}), kind)
    setattr(answer, field, [decode_item(item, answer.as_of) for item in items])
    return answer


def decode_item(document: bytes, as_of: int) -> WireItem:
    """Return an item, as an UnreadableItem if it can't be decoded."""
    try:
        return decode_json(document, WireItem)
    except MalformedDocumentError as error:
        return UnreadableItem(read_key(document), as_of, reason=str(error))


def read_key(document: bytes) -> str:
    """Return the key of an item that can't be decoded, empty if it has none."""
    try:
        return read_text(split_members(document).get("key", b""))
    except MalformedDocumentError:
        return ""
