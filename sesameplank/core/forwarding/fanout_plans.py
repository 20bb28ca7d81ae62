"""Plans of forwarded requests, made from the route and the caller's time limit."""

import math

from ...ids import ServiceName
from ..published.routes import Route
from .call_times import CallTimes
from .extra_load import ExtraLoadBudget
from .fanout_calls import FanoutPlan

ANSWER_MARGIN_S = 0.006  # Time reserved before the latency objective.
DEADLINE_MARGIN_S = 0.010  # Time reserved before the deadline.
COVERAGE_TOLERANCE = 1e-9  # Absorbs floating-point rounding errors.


def make_fanout_plan(
    route: Route,
    shards: tuple[ServiceName, ...],
    *,
    received_at: float,
    transit_s: float,
    caller_timeout_s: float | None,
    now: float,
    times: CallTimes,
    budget: ExtraLoadBudget,
) -> FanoutPlan:
    """Return the plan of a request; all times are in seconds.

    `transit_s` is the part of the request's latency that the network takes, and
    `caller_timeout_s` the time for which the caller waits, None if it set no limit.
    """
    timeout_s = (
        route.timeout_s
        if caller_timeout_s is None
        else min(route.timeout_s, caller_timeout_s)
    )
    objective_s = route.objective_s - transit_s - ANSWER_MARGIN_S
    fill = budget.get_fill(shards[0], now)
    return FanoutPlan(
        shards=shards,
        required=get_required(route, len(shards)),
        idempotent=route.idempotent,
        max_attempts=route.max_attempts,
        objective_at=received_at + max(0.0, objective_s),
        deadline_at=received_at + max(0.0, timeout_s - DEADLINE_MARGIN_S),
        usual_call_s=times.get_usual_call_s(route),
        hedge_after_s=(
            times.get_hedge_delay_s(route, fill) if route.idempotent else None
        ),
    )


def get_required(route: Route, shards: int) -> int:
    """Return the least number of shards that must answer."""
    if not route.is_gather:
        return 1
    return max(1, math.ceil(route.min_coverage * shards - COVERAGE_TOLERANCE))
