"""Exceptions of the runtime package."""

from __future__ import annotations


class RuntimeLayerError(Exception):
    """Base class for errors of the event loop, the buffers and the connections."""


class DeadlineExceededError(RuntimeLayerError):
    """A wait passed its deadline."""


class StreamClosedError(RuntimeLayerError):
    """The stream was closed by either side or because of an error."""


class BufferPoolExhaustedError(RuntimeLayerError):
    """No buffer may be used for the connection, since no other connection holds more memory.

    It has to be closed, so that the process stays within its memory limit.
    """


class CloseRequestedError(RuntimeLayerError):
    """Raised in a client connection's task to end serving and begin the lingering close."""


class InputEndedError(RuntimeLayerError):
    """Raised in a client connection's task to end reading; what has been written is still sent."""


class BackendProtocolError(RuntimeLayerError):
    """A backend violated its protocol, or the rest of an attempt must not be sent to it.

    The connection is closed. The message is counted as the cause and logged.
    """


class IncompleteResponseError(BackendProtocolError):
    """A response began and was not completed in time."""

    def __init__(self) -> None:
        super().__init__("half an answer")


class UnsolicitedResponseError(BackendProtocolError):
    """Bytes arrived while no request was awaiting a response."""

    def __init__(self) -> None:
        super().__init__("answer to nothing")


class AddressError(ValueError):
    """`text` is not an address of the form `HOST:PORT`."""

    def __init__(self, text: str) -> None:
        super().__init__(f"not HOST:PORT: {text!r}")
        self.text = text


class LineTooLongError(ValueError):
    """A line does not end within `max_bytes` bytes."""

    def __init__(self, max_bytes: int) -> None:
        super().__init__("line too long")
        self.max_bytes = max_bytes
