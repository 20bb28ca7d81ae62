"""Tests of the calls that a booking makes to targets."""

import msgspec
import testtools

from sesameplank.bookings import BookingRunner
from sesameplank.callers.app import CallerContext
from sesameplank.callers.problems import Refusal
from sesameplank.conf import PublishedConfiguration
from sesameplank.core.common.clock import ManualClock
from sesameplank.core.common.outcomes import Failure, FailureReason, Ran
from sesameplank.core.published.versions import ConfigurationStore
from sesameplank.core.search.messages import BookingRequest, TargetBooking
from sesameplank.standins.deployments import VATUWAQA, make_configuration

NAME = "order-desk"


class RefusingDispatcher:
    """Records the calls, and refuses each as not run."""

    def __init__(self) -> None:
        self.calls: list[tuple[str, TargetBooking]] = []

    def book(self, target, message, deadline_at, answer_by) -> Failure:
        """Refuse a booking."""
        self.calls.append((target, message))
        return Failure(FailureReason.REFUSED, Ran.NOT_RUN)


class CallIdTests(testtools.TestCase):
    """Guards against a copy of a refusal that is taken for a later answer."""

    def test_each_call_has_an_id_of_its_own_and_the_same_key(self):
        clock = ManualClock()
        store = ConfigurationStore(clock)
        document = msgspec.json.encode(make_configuration(VATUWAQA, "127.9"))
        store.offer(PublishedConfiguration(3, msgspec.Raw(document)))
        dispatcher = RefusingDispatcher()
        runner = BookingRunner(dispatcher, store, clock)
        call = CallerContext("r1", NAME, store.current, 5.0)
        for _ in range(2):
            request = BookingRequest(NAME, "record", 1)
            self.assertRaises(Refusal, runner.run, call, "key", request)
        messages = [message for _, message in dispatcher.calls]
        self.assertEqual(4, len({message.request_id for message in messages}))
        self.assertEqual({"key"}, {message.idempotency_key for message in messages})
