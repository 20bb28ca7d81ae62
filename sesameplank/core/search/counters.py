"""Counters of policy decisions, by result or reason."""

from collections import defaultdict
from enum import Enum

import msgspec

from .coverage import MissingReason


class HedgeResult(Enum):
    """The result of a hedge that was due.

    WON means that the hedge was answered before the attempt that it duplicates.
    """

    SENT = "sent"
    WON = "won"
    BUDGET = "refused_by_budget"


class RetryResult(Enum):
    """The cause of a retry that was sent, or BUDGET if the budget refused it.

    RETRY_BUDGET is a retry sent after the delay that follows a refusal by the budget.
    The names other than BUDGET are those of `MissingReason`.
    """

    UNREACHABLE = "after_unreachable"
    DEADLINE = "after_timeout"
    OVERLOADED = "after_shed"
    NOT_OWNED = "after_not_owned"
    SNAPSHOT_GONE = "after_snapshot_gone"
    RETRY_BUDGET = "after_budget_pause"
    BUDGET = "refused_by_budget"


class EjectionReason(Enum):
    """Why a target was ejected, or why it was not ejected despite bad calls.

    KEPT_BY_FLOOR means that the limit on the number of ejected targets was reached.
    """

    SLOW = "slow"
    FAILING = "failing"
    KEPT_BY_FLOOR = "kept_by_floor"
    KEPT_LAST_REPLICA = "kept_last_replica"


class ProbeResult(Enum):
    """The result of a probe of an ejected target."""

    GOOD = "good"
    SLOW = "slow"
    FAILED = "failed"


class RefusalReason(Enum):
    """Why a request was refused before it was planned.

    LIMIT refuses requests of the first class, SHARE those of the lower classes.
    """

    LIMIT = "concurrency_limit"
    SHARE = "share_of_its_class"
    DEADLINE = "deadline_too_short"


def make_counts() -> defaultdict:
    """Return a mapping whose counts start at 0."""
    return defaultdict(int)


class PolicyCounters(msgspec.Struct):
    """Counts since the process started.

    Decisions that a budget or a limit prevented are counted as well. `returns` counts
    restored targets. `first_shards` counts the shards of first calls, `extra_shards`
    those of hedges, retries and probes.
    """

    hedges: dict[HedgeResult, int] = msgspec.field(default_factory=make_counts)
    retries: dict[RetryResult, int] = msgspec.field(default_factory=make_counts)
    ejections: dict[EjectionReason, int] = msgspec.field(default_factory=make_counts)
    probes: dict[ProbeResult, int] = msgspec.field(default_factory=make_counts)
    returns: int = 0
    admitted: int = 0
    refusals: dict[RefusalReason, int] = msgspec.field(default_factory=make_counts)
    missing: dict[MissingReason, int] = msgspec.field(default_factory=make_counts)
    first_shards: int = 0
    extra_shards: int = 0
