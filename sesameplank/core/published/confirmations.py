"""When the platform's service last confirmed a document that this process has."""

from .readings import Reading


class Confirmation:
    """The newest confirmation of one document; times are in seconds.

    `confirmed_at` is when the service confirmed the version in force, None if it never
    did, and `confirmed_by` the reading that did, None if it is this process's own.
    `own_readings` counts the confirmations by this process's own readings.
    """

    def __init__(self) -> None:
        self.confirmed_at: float | None = None
        self.confirmed_by: Reading | None = None
        self.own_readings = 0

    def note(self, confirmed_at: float, reading: Reading | None = None) -> None:
        """Record a confirmation by a reading of another process, or by an own one.

        Only the newest confirmation counts.
        """
        if reading is None:
            self.own_readings += 1
        if self.confirmed_at is None or confirmed_at > self.confirmed_at:
            self.confirmed_at = confirmed_at
            self.confirmed_by = reading

    def get_age_s(self, now: float) -> float | None:
        """Return the seconds since the service confirmed the document, or None.

        Confirmations that peers relayed count too.
        """
        if self.confirmed_at is None:
            return None
        return max(0.0, now - self.confirmed_at)
