"""Tests of the age at which a view is stale."""

import testtools

from sesameplank.core.published.view_age import ViewAge, ViewEvent

START = 100.0


class ViewAgeTests(testtools.TestCase):
    """Guards against a view that grows old while nothing tells."""

    CASES = (
        # description, (time, age of the last confirmation) and what is told each time
        ("never confirmed", ((109.9, None, None), (110.0, None, ViewEvent.STALE))),
        ("confirmed", ((110.0, 0.5, None), (200.0, 9.9, None))),
        (
            "repeated while it lasts",
            (
                (150.0, 10.0, ViewEvent.STALE),
                (159.9, 19.9, None),
                (160.0, 20.0, ViewEvent.STALE),
                (169.9, 29.9, None),
                (170.0, 30.0, ViewEvent.STALE),
            ),
        ),
        (
            "over, and again at once",
            (
                (150.0, 11.0, ViewEvent.STALE),
                (151.0, 0.0, ViewEvent.CURRENT),
                (151.5, 0.5, None),
                (152.0, 12.0, ViewEvent.STALE),
            ),
        ),
    )

    def test_table(self):
        for description, steps in self.CASES:
            view = ViewAge(START)
            for now, age_s, told in steps:
                self.assertEqual(told, view.update(age_s, now), (description, now))
                is_stale = view.get_age_s(age_s, now) >= 10.0
                self.assertEqual(is_stale, view.is_stale, (description, now))
