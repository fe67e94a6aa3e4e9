"""Files that a crash at any moment leaves either as they were or as they were to be."""

from __future__ import annotations

import os
from urllib.parse import quote


def file_name(instance: str, kind: str) -> str:
    """Return the name of an instance's file of that kind; instances may share a folder."""
    return f"garnetlanding-{quote(instance, safe='')}-{kind}"


def replace_whole(path: str, data: bytes) -> None:
    """Replace the file's content: write a file beside it, flush that, and move it into place.

    Raises `OSError`; the old file stands then.
    """
    beside = path + ".new"
    with open(beside, "wb") as file:
        file.write(data)
        file.flush()
        os.fsync(file.fileno())
    os.replace(beside, path)
    _sync_folder(os.path.dirname(path) or ".")


def _sync_folder(path: str) -> None:
    """Flush the folder's entries: without this a crash may undo the move."""
    folder = os.open(path, os.O_RDONLY)
    try:
        os.fsync(folder)
    finally:
        os.close(folder)
