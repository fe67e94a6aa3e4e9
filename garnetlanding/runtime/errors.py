"""Errors of the runtime package."""


class RuntimeLayerError(Exception):
    """Base of the errors that the event loop, its buffers and its connections raise."""


class DeadlineExceededError(RuntimeLayerError):
    """A wait passed its deadline."""


class StreamClosedError(RuntimeLayerError):
    """The stream is closed, by either side or by an error."""


class BufferPoolExhaustedError(RuntimeLayerError):
    """Every buffer is in use.

    The connection that asks for one has to end, so that the process stays within its memory.
    """


class BackendProtocolError(RuntimeLayerError):
    """The backend broke its protocol, or must not be sent the rest: the connection is closed."""


class CloseRequestedError(RuntimeLayerError):
    """Raised in a connection's task by others: the connection is to linger from now on."""
