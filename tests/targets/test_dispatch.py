"""Tests for decoding targets' answers."""

import msgspec
import testtools

from sesameplank.core.common.outcomes import Failure, FailureReason, Ran
from sesameplank.core.search.messages import TargetSearchAnswer
from sesameplank.targets.dispatch import decode_matching_answer

ANSWER = TargetSearchAnswer("r1", 7, ())


class DecodeMatchingAnswerTests(testtools.TestCase):
    """Only a complete answer to the request itself is accepted."""

    def test_answer_to_the_request_is_accepted(self):
        payload = msgspec.json.encode(ANSWER)
        self.assertEqual(
            ANSWER, decode_matching_answer(payload, TargetSearchAnswer, "r1")
        )

    def test_other_payloads_are_failures(self):
        payload = msgspec.json.encode(ANSWER)
        table = [
            ("of another request", payload, "r2", FailureReason.FOREIGN),
            ("cut off", payload[:-1], "r1", FailureReason.BAD_ANSWER),
            ("of another kind", b"{}", "r1", FailureReason.BAD_ANSWER),
        ]
        for name, received, request_id, reason in table:
            outcome = decode_matching_answer(received, TargetSearchAnswer, request_id)
            self.assertIsInstance(outcome, Failure, name)
            self.assertEqual((reason, Ran.UNKNOWN), (outcome.reason, outcome.ran), name)
