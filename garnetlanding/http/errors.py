"""The error of the package."""

from __future__ import annotations


class HttpError(ValueError):
    """A message that is not HTTP/1.1, or exceeds a limit: nothing after it on its connection can be read.

    `status` is the status code with which a server responds to it.
    """

    def __init__(self, reason: str, status: int = 400) -> None:
        super().__init__(reason)
        self.status = status
