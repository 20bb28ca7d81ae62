"""The order of the versions of a published document."""

import msgspec


class DocumentVersion(msgspec.Struct, frozen=True, order=True):
    """The version of a published document; a higher era outranks any number.

    Numbers start again at a lower value when the store that publishes the document
    is restored from a copy, which raises its era. The era is 0 for documents whose
    numbers never fall.
    """

    era: int = 0
    number: int = 0
