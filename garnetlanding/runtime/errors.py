"""Errors of the runtime package."""

from __future__ import annotations


class RuntimeLayerError(Exception):
    """Base of the errors that the event loop, its buffers and its connections raise."""


class DeadlineExceededError(RuntimeLayerError):
    """A wait passed its deadline."""


class StreamClosedError(RuntimeLayerError):
    """The stream has been closed, by either side or because of an error."""


class BufferPoolExhaustedError(RuntimeLayerError):
    """Every buffer is in use.

    The connection that needs one has to be closed, so that the process stays within its memory limit.
    """


class CloseRequestedError(RuntimeLayerError):
    """Raised in a connection's task to make it stop serving and linger until the client closes."""


class BackendProtocolError(RuntimeLayerError):
    """A backend violated its protocol, or may not be sent the rest of an attempt: the connection is closed.

    The message is counted as the cause and appears in the log.
    """


class IncompleteResponseError(BackendProtocolError):
    """A response began and did not end in time."""

    def __init__(self) -> None:
        super().__init__("incomplete response")


class UnsolicitedResponseError(BackendProtocolError):
    """Bytes arrived while no request was awaiting a response."""

    def __init__(self) -> None:
        super().__init__("unsolicited response")


class AddressError(ValueError):
    """A text is not an address of the form `HOST:PORT`; `text` is that text."""

    def __init__(self, text: str) -> None:
        super().__init__(f"not HOST:PORT: {text!r}")
        self.text = text


class LineTooLongError(ValueError):
    """A line has no end within `max_bytes` bytes."""

    def __init__(self, max_bytes: int) -> None:
        super().__init__("line too long")
        self.max_bytes = max_bytes
