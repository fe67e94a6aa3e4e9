"""Files that a crash at any moment leaves as they were or as they were to be."""

from __future__ import annotations

import os
from urllib.parse import quote


def file_name(head: str, what: str) -> str:
    """Heads of other names may keep theirs in the same folder."""
    return f"garnetlanding-{quote(head, safe='')}-{what}"


def replace_whole(path: str, data: bytes) -> None:
    """Writes beside the file, flushes it, then moves it into place. Raises OSError; the old file stands."""
    beside = path + ".new"
    with open(beside, "wb") as file:
        file.write(data)
        file.flush()
        os.fsync(file.fileno())
    os.replace(beside, path)
    folder = os.open(os.path.dirname(path) or ".", os.O_RDONLY)
    try:
        os.fsync(folder)  # the move itself
    finally:
        os.close(folder)
