"""Budgets that bound extra load to a fraction of the ordinary load."""


class TokenBudget:
    """Earns a fraction of a token with each ordinary request; extras cost one.

    One budget serves the whole process, so that many slow queries at once
    cannot each spend their own. `burst` bounds what a quiet time saves up.
    """

    def __init__(self, fraction: float, burst: float, tokens: float = 0.0) -> None:
        self.fraction = fraction
        self.burst = burst
        self.tokens = tokens
        self.refused = 0

    def set_fraction(self, fraction: float) -> None:
        """Change the fraction; tokens already earned stay."""
        self.fraction = fraction

    def earn(self, requests: int) -> None:
        """Count ordinary requests."""
        self.tokens = min(self.burst, self.tokens + requests * self.fraction)

    def take(self, count: int = 1) -> bool:
        """Take tokens for extra requests, all or none."""
        if self.fraction <= 0.0 or self.tokens < count:
            self.refused += 1
            return False
        self.tokens -= count
        return True
