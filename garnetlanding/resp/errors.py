"""Errors of the package."""

from __future__ import annotations


class RespError(ValueError):
    """Input that is not what this protocol allows; the text is what a client is told of it."""


class ProtocolError(RespError):
    """Bytes that are not RESP2 or exceed a limit: framing is lost, and nothing after them can be read."""


class InvalidCommandError(RespError):
    """A command that is well framed and cannot be accepted; the text names the argument or field."""
