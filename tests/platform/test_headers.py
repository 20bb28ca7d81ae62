"""Tests of the platform's headers."""

import testtools

from sesameplank.core.limits.target_limits import LimitNews, UnreadableLimit
from sesameplank.forwarding.http_messages import Request, Response
from sesameplank.platform.headers import (
    PlatformDialect,
    parse_idle_timeout_s,
    parse_load,
    parse_non_negative_int,
)


class ParseTests(testtools.TestCase):
    """Header values are parsed, and malformed ones give None."""

    def test_non_negative_integers(self):
        for text, value in (
            ("5", 5),
            ("0", 0),
            ("-1", None),
            ("1.5", None),
            ("", None),
            (None, None),
            ("x", None),
            ("9" * 15, 999_999_999_999_999),
            ("9" * 400, None),
            ("9" * 5_000, None),
        ):
            self.assertEqual(value, parse_non_negative_int(text), text)

    def test_idle_timeout(self):
        for text, value in (
            ("timeout=5", 5.0),
            ("max=3, Timeout=7", 7.0),
            ("timeout=x", None),
            ("", None),
            (None, None),
        ):
            self.assertEqual(value, parse_idle_timeout_s(text), text)

    def test_load(self):
        self.assertEqual(2.5, parse_load("1,2,3,250").slowdown)
        self.assertEqual(1.0, parse_load("1,2,3").slowdown)
        for text in ("1,2", "a,b,c", "1,2,-3", "", None):
            self.assertIsNone(parse_load(text), text)


class PlatformDialectTests(testtools.TestCase):
    """Headers are translated from and to the forwarder's types."""

    def test_unreadable_time_limit_is_an_error(self):
        for value, timeout_s, is_error in (
            (None, None, False),
            (b"900", 0.9, False),
            (b"9" * 400, None, True),
            (b"9" * 5_000, None, True),
            (b"soon", None, True),
        ):
            request = Request()
            request.add(b"X-Request-Id", b"r")
            if value is not None:
                request.add(b"X-Deadline-Ms", value)
            metadata = PlatformDialect().read_request_metadata(request)
            self.assertEqual(timeout_s, metadata.timeout_s, value)
            self.assertEqual(is_error, metadata.error is not None, value)

    def test_hop_by_hop_headers_are_not_forwarded(self):
        request = Request()
        for name, value in [
            (b"Host", b"h"),
            (b"Connection", b"close, X-Hop"),
            (b"X-Hop", b"1"),
            (b"Keep-Alive", b"5"),
            (b"X-Own", b"2"),
            (b"X-Deadline-Ms", b"900"),
            (b"X-Expect-Instance", b"forged"),
            (b"X-Request-Id", b"r"),
        ]:
            request.add(name, value)
        dialect = PlatformDialect()
        headers = dialect.get_forwarded_headers(request)
        headers += dialect.make_call_headers("i-1", 0.4567)
        self.assertEqual(
            {
                b"Host": b"h",
                b"X-Own": b"2",
                b"X-Request-Id": b"r",
                b"X-Deadline-Ms": b"456",
                b"X-Expect-Instance": b"i-1",
            },
            dict(headers),
        )

    def test_answer_reflects_status_and_headers(self):
        for status, headers, not_run, other, usable in (
            (200, [(b"x-server-stamp", b"s")], False, False, True),
            (503, [(b"X-Not-Executed", b"1")], True, False, True),
            (503, [], False, False, True),
            (421, [], True, True, True),
            (200, [(b"Content-Encoding", b"gzip")], False, False, False),
        ):
            response = Response()
            response.status = status
            for name, value in headers:
                response.add(name, value)
            answer = PlatformDialect().read_answer(response)
            self.assertEqual(
                (not_run, other, usable),
                (answer.not_run, answer.is_other_target, answer.is_usable),
            )

    def test_refusal_has_retry_after_in_seconds(self):
        headers = dict(PlatformDialect().make_refusal_headers("r", 0.25))
        self.assertEqual(b"0.250", headers[b"Retry-After"])


class TargetLimitTests(testtools.TestCase):
    """The rate limit that a target names is read, and an unreadable one is reported."""

    def read(self, *values: bytes, status: int = 200):
        response = Response()
        response.status = status
        for value in values:
            response.add(b"Server-Limit", value)
        return PlatformDialect().read_response_metadata(response)

    def test_decimal_numbers(self):
        for value, per_s in (
            (b"11.8", 11.8),
            (b"0", 0.0),
            (b"0.25", 0.25),
            (b" 7 ", 7),
        ):
            self.assertEqual(LimitNews(per_s), self.read(value).limit, value)

    def test_answer_without_a_limit_lifts_it(self):
        self.assertEqual(LimitNews(None), self.read().limit)

    def test_other_values_say_nothing_and_are_reported(self):
        for values in (
            (b"",),
            (b"-1",),
            (b"nan",),
            (b"inf",),
            (b"1e3",),
            (b"1,5",),
            (b"9" * 400,),
            (b"1." + b"9" * 400,),
            ("\u0661".encode(),),
            (b"5", b"5"),
        ):
            metadata = self.read(*values)
            self.assertIsInstance(metadata.limit, UnreadableLimit, values)

    def test_another_target_says_nothing_of_the_limit(self):
        for values in ((), (b"5",)):
            metadata = self.read(*values, status=421)
            self.assertIsNone(metadata.limit, values)


class AvailabilityTests(testtools.TestCase):
    """Whether a target leaves, and for how long it wants no requests."""

    def read(self, status: int, *headers: tuple[bytes, bytes]):
        """Return what a response with these headers says."""
        response = Response()
        response.status = status
        for name, value in headers:
            response.add(name, value)
        return PlatformDialect().read_response_metadata(response)

    def test_target_that_leaves(self):
        for status, value, is_leaving in (
            (200, b"1", True),
            (503, b" 1 ", True),
            (500, b"1", True),
            (421, b"1", False),
            (200, b"0", False),
            (200, b"", False),
        ):
            metadata = self.read(status, (b"Server-Leaving", value))
            self.assertEqual(is_leaving, metadata.is_leaving, (status, value))
        self.assertFalse(self.read(200).is_leaving)

    def test_pause(self):
        for status, value, pause_s in (
            (503, b"2", 2.0),
            (503, b"0.25", 0.25),
            (503, b"0", 0.0),
            (200, b"2", None),
            (429, b"2", None),
            (421, b"2", None),
            (503, b"-1", None),
            (503, b"nan", None),
            (503, b"inf", None),
            (503, b"1e9", None),
            (503, b"", None),
            (503, b"9" * 400, None),
            (503, b"Fri, 04 Dec 2026 15:00:00 GMT", None),
        ):
            metadata = self.read(status, (b"Retry-After", value))
            self.assertEqual(pause_s, metadata.pause_s, (status, value))

    def test_pause_that_is_stated_twice_is_ignored(self):
        headers = (b"Retry-After", b"2"), (b"retry-after", b"3")
        self.assertIsNone(self.read(503, *headers).pause_s)
