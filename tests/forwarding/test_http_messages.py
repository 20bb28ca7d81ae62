"""Tests of reading and encoding HTTP/1.1 messages."""

import random

import testtools

from sesameplank.forwarding.http_messages import (
    MessageError,
    RequestReader,
    ResponseReader,
    encode_request,
    encode_response,
)

LIMIT = 1_000
GOOD = b"POST /a?b=1 HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc"
CHUNKED = (
    b"POST /c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"3\r\nabc\r\n2\r\nde\r\n0\r\nX-Trailer: 1\r\n\r\n"
)


class RequestReaderTests(testtools.TestCase):
    """Requests are parsed from any split of their bytes, or raise MessageError."""

    def test_split_position_does_not_matter(self):
        data = GOOD + CHUNKED + GOOD
        for cut in range(1, len(data)):
            reader = RequestReader(LIMIT, LIMIT)
            reader.feed(data[:cut])
            reader.feed(data[cut:])
            bodies = [bytes(item.body) for item in reader.complete]
            self.assertEqual([b"abc", b"abcde", b"abc"], bodies)
            self.assertEqual([], [h for h in reader.complete[1].headers if b"T" in h])

    def test_invalid_requests_raise_error_with_status(self):
        for data, status in (
            (b"GET / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n", 400),
            (
                b"GET / HTTP/1.1\r\nContent-Length: 1\r\n"
                b"Transfer-Encoding: chunked\r\n\r\n",
                400,
            ),
            (b"GET / HTTP/1.1\r\n" + b"X: " + b"y" * 2_000 + b"\r\n\r\n", 431),
            (b"GET /" + b"y" * 2_000 + b" HTTP/1.1\r\n\r\n", 431),
            (b"POST / HTTP/1.1\r\nContent-Length: 1001\r\n\r\n", 413),
            (
                b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
                b"3e9\r\n" + b"x" * 1_001,
                413,
            ),
            (b"CONNECT h:1 HTTP/1.1\r\n\r\n", 400),
            (b"nothing\r\n\r\n", 400),
        ):
            reader = RequestReader(LIMIT, LIMIT)
            error = self.assertRaises(MessageError, reader.feed, data)
            self.assertEqual(status, error.status, data[:60])

    def test_corrupted_bytes_raise_message_error_or_nothing(self):
        """Random changes of bytes cause no other error and no oversized body."""
        rng = random.Random(5)
        for _ in range(2_000):
            data = bytearray(GOOD + CHUNKED)
            for _ in range(rng.randrange(1, 4)):
                data[rng.randrange(len(data))] = rng.randrange(256)
            reader = RequestReader(LIMIT, LIMIT)
            try:
                reader.feed(bytes(data))
            except MessageError:
                continue
            for request in reader.complete:
                self.assertLessEqual(len(request.body), LIMIT)


class ResponseReaderTests(testtools.TestCase):
    """Responses are delimited by a length, chunks or the connection's end."""

    CASES = (
        # bytes, responses complete before and after the connection's end, corrupt
        (b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab", 1, 1, False),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nab", 0, 0, False),
        (b"HTTP/1.1 200 OK\r\n\r\nab", 0, 1, False),
        (
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"2\r\nab\r\n0\r\n\r\n",
            1,
            1,
            False,
        ),
        (
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n",
            0,
            0,
            False,
        ),
        (
            b"HTTP/1.1 100 Continue\r\n\r\n"
            b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
            1,
            1,
            False,
        ),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\nextra", 1, 1, True),
        (b"\x00\x01\x02", 0, 0, True),
    )

    def test_delimiting_of_responses(self):
        for data, before, after, corrupt in self.CASES:
            reader = ResponseReader(LIMIT, LIMIT)
            reader.feed(data)
            self.assertEqual(before, len(reader.complete), data)
            reader.finish()
            self.assertEqual(after, len(reader.complete), data)
            self.assertEqual(corrupt, reader.is_corrupt, data)


class EncodeTests(testtools.TestCase):
    """Encoded messages are read back unchanged."""

    def test_request_round_trip(self):
        reader = RequestReader(LIMIT, LIMIT)
        reader.feed(encode_request(b"PUT", b"/x", [(b"A", b"b")], b"body"))
        (request,) = reader.complete
        self.assertEqual(
            (b"PUT", b"/x", b"body"),
            (request.method, request.target, bytes(request.body)),
        )

    def test_response_round_trip(self):
        reader = ResponseReader(LIMIT, LIMIT)
        reader.feed(encode_response(204, "No Content", [], b"", close=False))
        reader.feed(encode_response(200, "OK", [(b"A", b"b")], b"x", close=True))
        self.assertEqual([204, 200], [item.status for item in reader.complete])
        self.assertFalse(reader.complete[1].keep_alive)


HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED_HEAD = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
PIECE = 16_384
MAX_ENDLESS_PIECES = 64


class EndlessMessageTests(testtools.TestCase):
    """Bytes without end are refused after a bounded number of them."""

    RESPONSES = (
        # What it is, its beginning, and what is repeated without end.
        ("empty lines", b"", b"\r\n"),
        ("reason", b"HTTP/1.1 200 ", b"a"),
        ("header name", HEAD, b"a"),
        ("header value", HEAD + b"X: ", b"a"),
        ("spaces of a value", HEAD + b"X: ", b" "),
        ("headers", HEAD, b"X: a\r\n"),
        ("interim responses", b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
        ("body", HEAD + b"\r\n", b"a"),
        ("body of a stated length", HEAD + b"Content-Length: 99999999\r\n\r\n", b"a"),
        ("chunks", CHUNKED_HEAD, b"1\r\na\r\n"),
        ("chunk size", CHUNKED_HEAD, b"0"),
        ("chunk extension", CHUNKED_HEAD + b"5;", b"a"),
        ("trailer name", CHUNKED_HEAD + b"0\r\n", b"a"),
        ("trailer value", CHUNKED_HEAD + b"0\r\nX: ", b"a"),
        ("trailers", CHUNKED_HEAD + b"0\r\n", b"X: a\r\n"),
    )

    def count_pieces(self, feed, is_refused, start: bytes, repeated: bytes) -> int:
        """Return after how many pieces a message is refused."""
        feed(start)
        piece = repeated * (PIECE // len(repeated))
        for number in range(1, MAX_ENDLESS_PIECES + 1):
            feed(piece)
            if is_refused():
                return number
        return MAX_ENDLESS_PIECES + 1

    def test_responses(self):
        for name, start, repeated in self.RESPONSES:
            reader = ResponseReader(PIECE, 8 * PIECE)
            pieces = self.count_pieces(
                reader.feed,
                lambda reader=reader: reader.is_corrupt,
                start,
                repeated,
            )
            self.assertLessEqual(pieces, MAX_ENDLESS_PIECES, name)

    def test_requests(self):
        post = b"POST / HTTP/1.1\r\nHost: h\r\n"
        chunked = post + b"Transfer-Encoding: chunked\r\n\r\n"
        for name, start, repeated in (
            ("empty lines", b"", b"\r\n"),
            ("method", b"", b"G"),
            ("target", b"GET /", b"a"),
            ("header name", post, b"a"),
            ("header value", post + b"X: ", b"a"),
            ("chunk extension", chunked + b"5;", b"a"),
            ("chunks", chunked, b"1\r\na\r\n"),
            ("trailer value", chunked + b"0\r\nX: ", b"a"),
            ("trailers", chunked + b"0\r\n", b"X: a\r\n"),
        ):
            reader = RequestReader(PIECE, 8 * PIECE)
            errors: list[MessageError] = []

            def feed(data: bytes, reader=reader, errors=errors) -> None:
                try:
                    reader.feed(data)
                except MessageError as error:
                    errors.append(error)

            pieces = self.count_pieces(feed, errors.__len__, start, repeated)
            self.assertLessEqual(pieces, MAX_ENDLESS_PIECES, name)

    def test_messages_near_the_limits_are_read_in_any_pieces(self):
        head = HEAD + b"X: " + b"a" * (PIECE - 100) + b"\r\n"
        data = head + b"Content-Length: 200\r\n\r\n" + b"b" * 200
        for size in (1, 100, 5_000, len(data)):
            reader = ResponseReader(PIECE, 8 * PIECE)
            for start in range(0, len(data), size):
                reader.feed(data[start : start + size])
            self.assertFalse(reader.is_corrupt, size)
            self.assertEqual(1, len(reader.complete), size)
