"""Errors by meaning; each message names the value, the rule and the way out."""


class SesameplankError(Exception):
    """Base of every error that the project raises."""


class ConfigurationError(SesameplankError):
    """A published document or a setting breaks a rule."""


class SettingsError(ConfigurationError):
    """A flag or an environment variable holds an unusable value."""


class PlatformError(SesameplankError):
    """The platform's service could not be read."""


class HistoryGoneError(PlatformError):
    """The platform's service no longer holds the changes that were asked for."""


class PeerProtocolError(SesameplankError):
    """A frame from another entry cannot be read."""


class BadRequestError(SesameplankError):
    """A caller's request breaks a rule of the callers' interface."""


class TransportError(SesameplankError):
    """A call failed on the way; attribute `sent` says whether bytes left.

    `sent` is False only when no byte of the request has left this process.
    """

    def __init__(self, message: str, *, sent: bool) -> None:
        super().__init__(message)
        self.sent = sent


class ForeignAnswerError(TransportError):
    """An answer carries the request id of another request."""


class TruncatedAnswerError(TransportError):
    """An answer ended before its stated length."""


class CallError(SesameplankError):
    """The client library's call was refused or its outcome is unknown.

    `kind` is the problem's kind, `ran` is "not_run" or "unknown", and
    `retry_after_s` is the time to come back in seconds, or None. A booking's
    `idempotency_key` is what to ask about, or to send again.
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


class LoadError(SesameplankError):
    """A run of the load tool could not be carried out."""
