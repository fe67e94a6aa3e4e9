"""Atomic replacement of files: after a crash a file has either its old or its new content."""

from __future__ import annotations

import os
from pathlib import Path
from urllib.parse import quote


def instance_file_name(instance: str, kind: str) -> str:
    """Return the name of an instance's file of a kind, unique within a folder shared by several instances."""
    return f"garnetlanding-{quote(instance, safe='')}-{kind}"


def write_atomically(path: str | Path, data: bytes) -> None:
    """Replace the file's content and flush it to disk.

    The content is written to a temporary file in the same folder, which is then renamed. Raises `OSError`, in
    which case the old content is unchanged.
    """
    target = Path(path)
    temporary = target.with_name(target.name + ".new")
    with temporary.open("wb") as file:
        file.write(data)
        file.flush()
        os.fsync(file.fileno())
    temporary.replace(target)
    _sync_folder(target.parent)


def _sync_folder(path: Path) -> None:
    """Flush the folder's entries to disk; otherwise a crash may undo the rename."""
    descriptor = os.open(path, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
