"""Which era of the store that publishes the targets to believe.

A risen era makes every process refuse all lists of earlier ones, for good. So a rise
that only one answer shows is not believed yet.
"""

from enum import Enum

from .document_version import DocumentVersion
from .target_table import TargetTable


class EraVerdict(Enum):
    """What to do with an answer of the store.

    `UNCONFIRMED` asks for another answer, since only this one shows a risen era.
    """

    CURRENT = "current"
    UNCONFIRMED = "unconfirmed"
    REFUSED = "refused"


class EraGate:
    """Judges the eras of successive answers; `candidate` is one not believed yet.

    While nothing is known, the first answer is believed.
    """

    def __init__(self, table: TargetTable) -> None:
        self.table = table
        self.candidate: int | None = None

    def judge(self, era: int) -> EraVerdict:
        """Return the verdict on an answer, and note its era if it is believed."""
        candidate, self.candidate = self.candidate, None
        if era < self.table.known_era:
            return EraVerdict.REFUSED
        if era == self.table.known_era:
            is_doubtful = candidate not in (None, era)
            return EraVerdict.REFUSED if is_doubtful else EraVerdict.CURRENT
        is_first = not self.table.known_era and self.table.version == DocumentVersion()
        if not is_first and era != candidate:
            self.candidate = era
            if candidate is None:
                return EraVerdict.UNCONFIRMED
            return EraVerdict.REFUSED
        self.table.note_era(era)
        return EraVerdict.CURRENT
