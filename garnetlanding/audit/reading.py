"""Reads the audits of many heads from files and folders."""

from __future__ import annotations

import os
from collections.abc import Iterable

from garnetlanding.audit import files, segments
from garnetlanding.audit.limits import LIMITS
from garnetlanding.audit.segments import CorruptSegmentError, Segment


def read(places: Iterable[str]) -> tuple[list[Segment], list[str]]:
    """All segments in these folders (or the folders of these files), and what could not be read: of a damaged
    file, what lies before the damage. Raises OSError."""
    told: list[Segment] = []
    problems: list[str] = []
    folders = sorted({place if os.path.isdir(place) else os.path.dirname(place) or "." for place in places})
    for folder in folders:
        for _, lives in sorted(files.names(folder).items()):
            for path, last in [(path, path == mine[-1][1]) for mine in lives.values() for _, path in mine]:
                with open(path, "rb") as file:
                    data = file.read()
                try:
                    told.append(segments.read(os.path.basename(path), data, last, LIMITS))
                except CorruptSegmentError as problem:
                    problems.append(str(problem))
                    told += problem.before
    return told, problems
