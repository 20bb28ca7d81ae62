"""Requests and responses of the interface for callers, as bytes on a socket."""

import msgspec

GOOD_BODY = b'{"collection": "order-desk"}'


def make_head(length: int | str | None, *lines: str, path: str = "/v1/search") -> bytes:
    """Return the request line and headers of a POST request of a known caller."""
    head = [f"POST {path} HTTP/1.1", "Host: entry", "X-Caller: order-desk", *lines]
    if length is not None:
        head.append(f"Content-Length: {length}")
    return "\r\n".join([*head, "", ""]).encode("latin-1")


def make_post(body: bytes, *lines: str) -> bytes:
    """Return a complete search request."""
    return make_head(len(body), *lines) + body


class RawResponse:
    """An HTTP response that is read from a stream."""

    def __init__(self, stream) -> None:
        self.status = int(stream.readline().split()[1])
        self.headers = {}
        while (line := stream.readline().strip()) != b"":
            name, _, value = line.decode("latin-1").partition(":")
            self.headers[name.lower()] = value.strip()
        self.body = stream.read(int(self.headers["content-length"]))

    @property
    def problem(self) -> dict:
        """The problem document."""
        return msgspec.json.decode(self.body)

    @property
    def kind(self) -> str:
        """The kind of the problem."""
        return self.problem["type"].rpartition(":")[2]
