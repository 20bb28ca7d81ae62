"""Tests of the client library's searches against scripted entries."""

import random

import msgspec
import testtools

from sesameplank.callers.problems import STATUSES, ProblemKind, Refusal
from sesameplank.client import Client
from sesameplank.core.common.outcomes import Ran
from sesameplank.core.membership.addresses import AddressAnswer
from sesameplank.core.search.coverage import Coverage
from sesameplank.core.search.messages import SearchAnswer, SearchRequest
from sesameplank.core.search.ranges import KEY_SPACE, KeyRange
from sesameplank.exceptions import CallError
from sesameplank.net import Address
from sesameplank.standins.fleet import reserve_block
from sesameplank.wsgi import make_server

DEADLINE_MS = 60_000
REQUEST = SearchRequest("orders")
COMPLETE_COVERAGE = Coverage((KeyRange(0, KEY_SPACE),))


def refuse(kind: ProblemKind, retry_after_ms: int | None = None) -> Refusal:
    """Return a refusal of a request that was not run."""
    return Refusal(kind, "no", "wait", ran=Ran.NOT_RUN, retry_after_ms=retry_after_ms)


class ScriptedEntry:
    """An entry that sends scripted replies, then complete answers.

    A reply is a Refusal, the snapshot of an answer, "truncated" for an answer
    that is cut off, or "foreign" for one with another request's id.
    """

    def __init__(self, addresses: list[str], ttl_ms: int) -> None:
        self.address_answer = AddressAnswer(tuple(addresses), ttl_ms)
        self.address_requests = 0
        self.replies: list = []
        self.requests: list[SearchRequest] = []
        self.request_ids: list[str] = []

    def __call__(self, environ, start_response):
        """Answer one HTTP request."""
        status, extra, request_id = "200 OK", 0, environ["HTTP_X_REQUEST_ID"]
        self.request_ids.append(request_id)
        if environ["PATH_INFO"] == "/v1/addresses":
            self.address_requests += 1
            body = msgspec.json.encode(self.address_answer)
        else:
            length = int(environ["CONTENT_LENGTH"])
            payload = environ["wsgi.input"].read(length)
            self.requests.append(msgspec.json.decode(payload, type=SearchRequest))
            reply = self.replies.pop(0) if self.replies else 7
            if isinstance(reply, Refusal):
                status = STATUSES[reply.kind]
                body = msgspec.json.encode(reply.make_problem(request_id))
            else:
                snapshot = reply if isinstance(reply, int) else 7
                answer = SearchAnswer(
                    "r", "orders", snapshot, 1, "ordinary", 0, (), COMPLETE_COVERAGE
                )
                body = msgspec.json.encode(answer)
                extra = 5 if reply == "truncated" else 0
                request_id = "other" if reply == "foreign" else request_id
        headers = [
            ("Content-Length", str(len(body) + extra)),
            ("X-Request-Id", request_id),
        ]
        if extra:
            headers.append(("Connection", "close"))
        start_response(status, headers)
        return [body]


class SearchClientTests(testtools.TestCase):
    """A search fails over to another entry unless every entry would refuse it."""

    def setUp(self):
        super().setUp()
        block = self.enterContext(reserve_block())
        addresses = [Address(f"{block}.1.{number}", 8080) for number in (1, 2)]
        self.make_entries(addresses, ttl_ms=600_000)
        self.client = self.enterContext(
            Client("clerk", addresses[:1], random.Random(1))
        )

    def make_entries(self, addresses: list[Address], ttl_ms: int) -> None:
        """Serve two scripted entries whose address lists contain both."""
        self.first, self.second = entries = [
            ScriptedEntry([str(item) for item in addresses], ttl_ms) for _ in addresses
        ]
        for address, entry in zip(addresses, entries, strict=True):
            server = make_server(address, entry)
            server.start()
            self.addCleanup(server.stop, timeout=1)

    def count_searches(self) -> tuple[int, int]:
        """Return how many searches each entry received."""
        return len(self.first.requests), len(self.second.requests)

    def test_search_fails_over_to_the_other_entry(self):
        table = [
            ("leaving", refuse(ProblemKind.LEAVING, 0), (1, 1)),
            ("not ready", refuse(ProblemKind.NOT_READY, 1_000), (1, 1)),
            ("overloaded", refuse(ProblemKind.OVERLOADED, 10), (1, 1)),
            ("cut off", "truncated", (1, 1)),
            ("of another request", "foreign", (1, 1)),
            ("older than seen", 6, (1, 1)),
        ]
        self.client.search(REQUEST, DEADLINE_MS)
        for name, reply, expected in table:
            self.client.address_cache.unusable_until.clear()
            self.first.requests.clear()
            self.second.requests.clear()
            self.first.replies = [reply]
            answer = self.client.search(REQUEST, DEADLINE_MS)
            self.assertEqual(7, answer.snapshot, name)
            self.assertEqual(expected, self.count_searches(), name)

    def test_refusal_that_every_entry_would_repeat_is_final(self):
        table = [
            ProblemKind.UNKNOWN_COLLECTION,
            ProblemKind.UNKNOWN_CALLER,
            ProblemKind.BAD_REQUEST,
            ProblemKind.DEADLINE_EXPIRED,
        ]
        for kind in table:
            self.first.requests.clear()
            self.first.replies = [refuse(kind)]
            error = self.assertRaises(
                CallError, self.client.search, REQUEST, DEADLINE_MS
            )
            self.assertEqual(kind.value, error.kind)
            self.assertEqual((1, 0), self.count_searches())

    def test_retry_time_beyond_the_deadline_ends_the_search(self):
        self.first.replies = [refuse(ProblemKind.OVERLOADED, 2 * DEADLINE_MS)]
        error = self.assertRaises(CallError, self.client.search, REQUEST, DEADLINE_MS)
        self.assertEqual(("overloaded", "not_run"), (error.kind, error.ran))
        self.assertEqual((1, 0), self.count_searches())

    def test_each_attempt_carries_the_remaining_time(self):
        self.first.replies = [refuse(ProblemKind.OVERLOADED, 50)]
        self.client.search(REQUEST, DEADLINE_MS)
        before, after = self.first.requests[0], self.second.requests[0]
        self.assertTrue(after.deadline_ms < before.deadline_ms)

    def test_leaving_entry_is_not_used_by_the_next_search(self):
        self.first.replies = [refuse(ProblemKind.LEAVING, 0)]
        self.client.search(REQUEST, DEADLINE_MS)
        self.client.search(REQUEST, DEADLINE_MS)
        self.assertEqual((1, 2), self.count_searches())
        self.assertEqual(1, self.second.address_requests)

    def test_address_list_is_cached_for_its_time_to_live(self):
        for _ in range(3):
            self.client.search(REQUEST, DEADLINE_MS)
        self.assertEqual(1, self.first.address_requests)

    def test_search_carries_the_newest_snapshot_seen(self):
        self.client.search(REQUEST, DEADLINE_MS)
        self.client.search(REQUEST, DEADLINE_MS)
        self.assertEqual(
            [0, 7], [item.at_least_snapshot for item in self.first.requests]
        )

    def test_request_id_of_the_caller_is_sent(self):
        address = self.client.address_cache.seeds[0]
        headers = {"X-Request-Id": "mine"}
        self.client.connections.post(
            address, "/v1/search", REQUEST, SearchAnswer, 60.0, headers
        )
        self.assertEqual("mine", self.first.request_ids[-1])

    def test_unreachable_entry_is_skipped(self):
        gone = Address(self.client.address_cache.seeds[0].host, 8089)
        self.client.address_cache.seeds = [gone, *self.client.address_cache.seeds]
        self.assertEqual(7, self.client.search(REQUEST, DEADLINE_MS).snapshot)
