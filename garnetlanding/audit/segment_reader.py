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
class ReadResult:
    """Segments and problems found; a corrupt file contributes the records before the corruption."""

    segments: list[Segment] = field(default_factory=list)
    problems: list[str] = field(default_factory=list)

    def add(self, other: ReadResult) -> None:
        """Append the segments and problems of another result."""
        self.segments += other.segments
        self.problems += other.problems


def read_segments(paths: Iterable[str]) -> ReadResult:
    """Read every segment in the given folders and in the folders of the given files. Raises `OSError`."""
    result = ReadResult()
    folders = {path if os.path.isdir(path) else os.path.dirname(path) or "." for path in paths}
    for folder in sorted(folders):
        for _, instance_files in sorted(list_segments(folder).items()):
            for files in instance_files.by_incarnation.values():
                for file in files:
                    _read_file(file, file is files[-1], result)
    return result


def _read_file(file: SegmentFile, is_last: bool, result: ReadResult) -> None:
    with open(file.path, "rb") as opened:
        data = opened.read()
    try:
        result.segments.append(read_segment(os.path.basename(file.path), data, is_last, LIMITS))
    except CorruptSegmentError as error:
        result.problems.append(str(error))
        if error.intact is not None:
            result.segments.append(error.intact)
