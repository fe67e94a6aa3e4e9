"""Reads the audits of many instances from files and folders."""

from __future__ import annotations

import os
from collections.abc import Iterable
from dataclasses import dataclass, field

from garnetlanding.audit.errors import CorruptSegmentError
from garnetlanding.audit.limits import LIMITS
from garnetlanding.audit.segment import Segment
from garnetlanding.audit.segment_files import SegmentFile, list_segments
from garnetlanding.audit.segments import read_segment


@dataclass(slots=True)
class SegmentsRead:
    """What was read, and what could not be: of a corrupt file, the records before the corruption are kept."""

    segments: list[Segment] = field(default_factory=list)
    problems: list[str] = field(default_factory=list)

    def add(self, other: SegmentsRead) -> None:
        """Append what was read elsewhere."""
        self.segments += other.segments
        self.problems += other.problems


def read_segments(places: Iterable[str]) -> SegmentsRead:
    """Read every segment in these folders, or in the folders of these files. Raises `OSError`."""
    found = SegmentsRead()
    folders = {place if os.path.isdir(place) else os.path.dirname(place) or "." for place in places}
    for folder in sorted(folders):
        for _, instance_files in sorted(list_segments(folder).items()):
            for files in instance_files.by_incarnation.values():
                for file in files:
                    _read_file(file, file is files[-1], found)
    return found


def _read_file(file: SegmentFile, is_last: bool, found: SegmentsRead) -> None:
    with open(file.path, "rb") as opened:
        data = opened.read()
    try:
        found.segments.append(read_segment(os.path.basename(file.path), data, is_last, LIMITS))
    except CorruptSegmentError as error:
        found.problems.append(str(error))
        if error.intact is not None:
            found.segments.append(error.intact)
