"""An emulated 9P file server in both dialects, on a disk of its own or a shared one."""

from __future__ import annotations

from typing import Any

from garnetlanding.emulator.file_connection import BaseFileServer, Dialect
from garnetlanding.emulator.files_linux import LinuxDialect
from garnetlanding.emulator.files_plain import PlainDialect
from garnetlanding.ninep import codec, codec_linux

_DIALECTS: dict[str, Dialect] = {codec.VERSION: PlainDialect(), codec_linux.VERSION: LinuxDialect()}


class FileServer(BaseFileServer):
    """A file server that accepts the given versions of 9P."""

    def __init__(self, *args: Any, versions: tuple[str, ...] = tuple(_DIALECTS), **kwargs: Any) -> None:
        dialects = {version: _DIALECTS[version] for version in versions}
        super().__init__(*args, dialects=dialects, **kwargs)
