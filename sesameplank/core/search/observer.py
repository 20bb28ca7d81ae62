"""The base class of observers of calls to targets."""

from collections.abc import Sequence

from ..common.outcomes import Failure
from .attempts import Attempt
from .coverage import MissingRange
from .messages import TargetSearchAnswer
from .plan import Plan


class CallObserver:
    """Receives the events of every call; this base class ignores them."""

    def note_sent(self, attempt: Attempt) -> None:
        """Record that an attempt was sent."""
        return

    def note_ended(self, attempt: Attempt) -> None:
        """Record that a sent attempt has ended, with or without an answer."""
        return

    def note_answer(
        self, attempt: Attempt, answer: TargetSearchAnswer, now: float
    ) -> None:
        """Record an answer, which may refuse some or all shards."""
        return

    def note_failure(self, attempt: Attempt, failure: Failure, now: float) -> None:
        """Record a failed call."""
        return

    def note_cancelled(self, attempt: Attempt, now: float) -> None:
        """Record a call that this process cancelled, which is not a failure."""
        return

    def take_probes(self, plan: Plan, now: float) -> list[Attempt]:
        """Return probes to send concurrently with a query, of one shard each."""
        return []

    def note_probe(
        self, attempt: Attempt, outcome: TargetSearchAnswer | Failure, now: float
    ) -> None:
        """Record the outcome of a probe."""
        return

    def note_missing(self, missing: Sequence[MissingRange]) -> None:
        """Record which ranges an answer lacks, and why."""
        return
