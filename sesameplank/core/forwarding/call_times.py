"""Recent latencies of the calls of each route, and the hedge delay based on them."""

from ..common.latency import RecentQuantiles
from ..published.routes import Route

USUAL_QUANTILE = 0.5
EARLY_HEDGE_QUANTILE = 0.85  # With a full extra-load budget.
LATE_HEDGE_QUANTILE = 0.97  # With an exhausted budget.
COMPLETION_QUANTILE = 0.97
MIN_HEDGE_DELAY_S = 0.003
# Shares of the latency objective.
MAX_HEDGE_DELAY_SHARE = 0.4
DEFAULT_CALL_SHARE = 0.12  # The usual latency until enough calls are known.
WINDOW_CALLS = 512
MIN_CALLS = 30


class CallTimes:
    """Latencies of answered calls by route, in seconds."""

    def __init__(self) -> None:
        self.by_route: dict[str, RecentQuantiles] = {}

    def observe(self, route: Route, elapsed_s: float) -> None:
        """Record the latency of an answered call."""
        times = self.by_route.get(route.name)
        if times is None:
            times = RecentQuantiles(WINDOW_CALLS, MIN_CALLS)
            self.by_route[route.name] = times
        times.add(elapsed_s)

    def get_usual_call_s(self, route: Route) -> float:
        """Return the median latency of recent calls in seconds.

        Return a share of the latency objective if too few calls are known.
        """
        value = self.get_quantile(route, USUAL_QUANTILE)
        return DEFAULT_CALL_SHARE * route.objective_s if value is None else value

    def get_completion_s(self, route: Route) -> float:
        """Return the time in seconds in which nearly all requests of a route end.

        It is at least the latency objective, at which a request over shards ends even
        if some of its calls take longer.
        """
        if route.is_gather:
            return route.objective_s
        value = self.get_quantile(route, COMPLETION_QUANTILE)
        return max(route.objective_s, value or 0.0)

    def get_hedge_delay_s(self, route: Route, fill: float) -> float:
        """Return the delay in seconds after which a call is hedged.

        `fill` is the share of the extra-load budget that is left, from 0 to 1. The
        more is left, the earlier calls are hedged.
        """
        quantile = LATE_HEDGE_QUANTILE + fill * (
            EARLY_HEDGE_QUANTILE - LATE_HEDGE_QUANTILE
        )
        value = self.get_quantile(route, quantile)
        max_delay_s = MAX_HEDGE_DELAY_SHARE * route.objective_s
        if value is None:
            return max_delay_s
        return min(max_delay_s, max(MIN_HEDGE_DELAY_S, value))

    def get_quantile(self, route: Route, quantile: float) -> float | None:
        """Return a latency quantile of recent calls, or None if they are too few."""
        times = self.by_route.get(route.name)
        return None if times is None else times.get_quantile(quantile)
