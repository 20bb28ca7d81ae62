"""The exceptions of the project.

A message about an invalid value names the value, the rule that it violates and a
remedy.
"""


class SesameplankError(Exception):
    """Base class of all errors that the project raises."""


class ConfigurationError(SesameplankError):
    """A published document or a setting violates a rule."""


class VersionNotAppliedError(SesameplankError):
    """A published version is valid, but a component of this process can't apply it."""


class MalformedDocumentError(SesameplankError):
    """A document from outside this process cannot be decoded."""


class SettingsError(ConfigurationError):
    """A flag or an environment variable holds an unusable value."""


class PlatformError(SesameplankError):
    """The platform's service could not be read."""


class HistoryGoneError(PlatformError):
    """The platform's service no longer holds the requested changes."""


class UnreadableResponseError(PlatformError):
    """The platform's service sent a response that could not be read whole."""


class RefusedAnswerError(PlatformError):
    """The platform's service sent an answer that may be older than what is known."""


class PeerProtocolError(SesameplankError):
    """A frame from another entry cannot be decoded."""


class BadRequestError(SesameplankError):
    """A caller's request violates a rule of the callers' interface."""


class TransportError(SesameplankError):
    """A call failed in transit.

    `sent` is False only if no byte of the request has left this process.
    """

    def __init__(self, message: str, *, sent: bool) -> None:
        super().__init__(message)
        self.sent = sent


class ForeignAnswerError(TransportError):
    """An answer carries the request id of another request."""


class TruncatedAnswerError(TransportError):
    """An answer is shorter than its declared length."""


class OversizedAnswerError(TransportError):
    """An answer goes on beyond the greatest size, and may never end."""


class CallerLeftError(SesameplankError):
    """The caller has closed its connection, so its request needs no answer."""


class CallError(SesameplankError):
    """A call of the client library was refused or its outcome is unknown.

    `kind` is the kind of the problem, and `ran` is "not_run" or "unknown".
    `retry_after_s` is the time to wait before a retry in seconds, or None. For
    a booking, `idempotency_key` is the key with which to look up its status or
    to retry it.
    """

    def __init__(
        self,
        message: str,
        *,
        kind: str,
        ran: str,
        retry_after_s: float | None = None,
        idempotency_key: str | None = None,
    ) -> None:
        super().__init__(message)
        self.kind = kind
        self.ran = ran
        self.retry_after_s = retry_after_s
        self.idempotency_key = idempotency_key


class StopReached(BaseException):  # noqa: N818 - it is no error of the request.
    """Raised in a request that is in flight when the process has to end.

    It is no Exception, so that only code that knows the request's state catches it.
    """


class LoadError(SesameplankError):
    """The load tool could not complete a run."""


class AblationError(SesameplankError):
    """A study is invalid, or does not fit the code."""
