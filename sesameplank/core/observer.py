"""What learns from each call to a target."""

from collections.abc import Sequence

from .attempts import Attempt
from .coverage import MissingRange
from .messages import TargetSearchAnswer
from .outcomes import Failure
from .plan import Plan


class CallObserver:
    """Is told of every call; this base learns nothing."""

    def note_sent(self, attempt: Attempt) -> None:
        """Take in that an attempt was sent."""
        return

    def note_ended(self, attempt: Attempt) -> None:
        """Take in that a sent attempt is over, however it ended."""
        return

    def note_answer(
        self, attempt: Attempt, answer: TargetSearchAnswer, now: float
    ) -> None:
        """Take in an answer, good or refusing."""
        return

    def note_failure(self, attempt: Attempt, failure: Failure, now: float) -> None:
        """Take in a failed call."""
        return

    def note_cancelled(self, attempt: Attempt, now: float) -> None:
        """Take in a call that was cut off here; it is not a failure."""
        return

    def take_probes(self, plan: Plan, now: float) -> list[Attempt]:
        """Return probes to send beside a query, of one shard each."""
        return []

    def note_probe(
        self, attempt: Attempt, outcome: TargetSearchAnswer | Failure, now: float
    ) -> None:
        """Take in what a probe brought."""
        return

    def note_missing(self, missing: Sequence[MissingRange]) -> None:
        """Take in which ranges an answer lacks, and why."""
        return
