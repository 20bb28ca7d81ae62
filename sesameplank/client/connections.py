"""HTTP connections of the client library, each with one request at a time."""

import uuid

import gevent
import msgspec
from geventhttpclient import HTTPClient

from ..decoding import decode_json
from ..exceptions import (
    CallError,
    ForeignAnswerError,
    MalformedDocumentError,
    TruncatedAnswerError,
)
from ..ids import CallerName
from ..net import Address

ANSWER_MARGIN_S = 0.5
MIN_CONNECT_TIMEOUT_S = 0.05
MAX_CONNECT_TIMEOUT_S = 1.0


class Connections:
    """Sends requests of one caller, and pools one idle connection to each entry.

    A connection whose answer was not read completely is closed and not reused.
    """

    def __init__(self, caller: CallerName) -> None:
        self.caller = caller
        self.idle: dict[Address, HTTPClient] = {}

    def close(self) -> None:
        """Close every idle connection."""
        for connection in self.idle.values():
            connection.close()
        self.idle.clear()

    def post(
        self,
        address: Address,
        path: str,
        request: object,
        answer_type: type,
        budget_s: float,
        headers: dict[str, str] | None = None,
        margin_s: float = ANSWER_MARGIN_S,
    ):
        """Send one typed request and return the typed answer, or raise CallError."""
        all_headers = {
            "Content-Type": "application/json",
            "X-Caller": self.caller,
            **(headers or {}),
        }
        body = msgspec.json.encode(request)
        payload = self.call(
            address, "POST", path, body, all_headers, budget_s, margin_s
        )
        return decode_answer(payload, answer_type)

    def get(
        self,
        address: Address,
        path: str,
        answer_type: type,
        budget_s: float,
        method: str = "GET",
        margin_s: float = ANSWER_MARGIN_S,
    ):
        """Return the typed answer to a request without body, or raise CallError."""
        headers = {"X-Caller": self.caller}
        payload = self.call(address, method, path, b"", headers, budget_s, margin_s)
        return decode_answer(payload, answer_type)

    def call(
        self,
        address: Address,
        method: str,
        path: str,
        body: bytes,
        headers: dict[str, str],
        budget_s: float,
        margin_s: float = ANSWER_MARGIN_S,
    ) -> bytes:
        """Send one request and return the body of a 200 response, or raise CallError.

        The call times out after `budget_s` plus `margin_s`.
        """
        request_id = headers.get("X-Request-Id") or f"c-{uuid.uuid4().hex}"
        headers = {**headers, "X-Request-Id": request_id}
        connection = self.idle.pop(address, None) or make_connection(address, budget_s)
        reusable = False
        try:
            with gevent.Timeout(budget_s + margin_s):
                response = connection.request(method, path, body, headers)
                payload = bytes(response.read())
            check_answer(response, payload, request_id)
            reusable = response.get("connection", "").lower() != "close"
        except (gevent.Timeout, Exception) as error:
            raise CallError(
                f"the entry {address} gave no answer: {error!r}",
                kind="no-answer",
                ran="not_run"
                if isinstance(error, ConnectionRefusedError)
                else "unknown",
            ) from error
        finally:
            if reusable:
                self.idle[address] = connection
            else:
                connection.close()
        if response.status_code != 200:
            raise make_call_error(payload)
        return payload


def make_connection(address: Address, budget_s: float) -> HTTPClient:
    """Return an HTTP client with one connection, which opens on the first request.

    Opening may take only a part of the budget, so that time remains to call another
    entry if this one is unreachable.
    """
    return HTTPClient(
        address.host,
        address.port,
        concurrency=1,
        connection_timeout=min(
            MAX_CONNECT_TIMEOUT_S, max(MIN_CONNECT_TIMEOUT_S, budget_s / 3)
        ),
        network_timeout=None,
    )


def check_answer(response, payload: bytes, request_id: str) -> None:
    """Raise TransportError unless the answer is complete and to this request.

    The request id is checked only for a 200 response. An entry that refuses the
    connection answers before it reads the request, and so does not know its id.
    """
    length = int(response["content-length"])
    if len(payload) != length:
        raise TruncatedAnswerError(
            f"the answer has {len(payload)} bytes instead of {length}", sent=True
        )
    echoed = response.get("x-request-id")
    if echoed != request_id and response.status_code == 200:
        raise ForeignAnswerError(
            f"the answer is to another request, {echoed}", sent=True
        )


def decode_answer(payload: bytes, answer_type: type):
    """Return the typed answer, or raise CallError if it is malformed."""
    try:
        return decode_json(payload, answer_type)
    except MalformedDocumentError as error:
        raise CallError(
            f"the entry's answer is malformed: {error}; use a client of its release",
            kind="no-answer",
            ran="unknown",
        ) from error


def make_call_error(payload: bytes) -> CallError:
    """Return the error that a problem document describes."""
    problem = decode_answer(payload, dict)
    retry_after_ms = problem.get("retry_after_ms")
    return CallError(
        f"{problem['detail']}; {problem['remedy']}",
        kind=problem["type"].rpartition(":")[2],
        ran=problem["ran"],
        retry_after_s=None if retry_after_ms is None else retry_after_ms / 1_000,
    )
