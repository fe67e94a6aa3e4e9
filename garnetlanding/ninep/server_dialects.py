"""Selects the dialect of a client connection by the version string of Tversion."""

from __future__ import annotations

from garnetlanding.ninep import codec, codec_linux
from garnetlanding.ninep.client_session import ClientSession
from garnetlanding.ninep.server_dialect import ServerDialect
from garnetlanding.ninep.server_dialect_linux import LinuxServerDialect
from garnetlanding.ninep.server_dialect_plain import PlainServerDialect


def choose_dialect(version: str, session: ClientSession) -> ServerDialect | None:
    """Return the dialect for the version that a client proposes, or None if it is not supported.

    A version 9P2000 with an unknown suffix after a period selects plain 9P2000 (version(5)).
    """
    if version == codec_linux.VERSION:
        return LinuxServerDialect(session)
    if version.split(".")[0] == codec.VERSION:
        return PlainServerDialect(session)
    return None
