"""Names of segment files, and the listing of a folder of them.

A file is called `garnetlanding-INSTANCE-audit-INCARNATION.NUMBER`, where the instance's name is
percent-encoded and the number has eight digits.
"""

from __future__ import annotations

import os
import re
from collections.abc import Iterator
from dataclasses import dataclass, field

from garnetlanding.audit.records import Incarnation, SegmentPosition
from garnetlanding.runtime.files import instance_file_name

_PURPOSE = "audit"
_SEGMENT_NAME = re.compile(rf"(.+)-{_PURPOSE}-(\d+)\.(\d{{8}})")


@dataclass(frozen=True, slots=True)
class SegmentFile:
    """A segment that exists on disk."""

    position: SegmentPosition
    path: str


@dataclass(slots=True)
class InstanceFiles:
    """All segments of one instance in one folder, by incarnation, each incarnation's in writing order."""

    by_incarnation: dict[int, list[SegmentFile]] = field(default_factory=dict)

    def in_writing_order(self) -> Iterator[SegmentFile]:
        """Yield every segment, oldest incarnation first."""
        for _, files in sorted(self.by_incarnation.items()):
            yield from files


def segment_path(folder: str, incarnation: Incarnation, number: int) -> str:
    """Return the path of a segment of that incarnation."""
    stem = instance_file_name(incarnation.instance, _PURPOSE)
    return os.path.join(folder, f"{stem}-{incarnation.number}.{number:08}")


def list_segments(folder: str) -> dict[str, InstanceFiles]:
    """Return the segments in a folder by the part of their names that encodes the instance.

    Files with other names are passed over. Raises `OSError` where the folder cannot be listed.
    """
    found: dict[str, InstanceFiles] = {}
    for name in sorted(os.listdir(folder)):
        match = _SEGMENT_NAME.fullmatch(name)
        if match is None:
            continue
        stem = match[1]
        incarnation = int(match[2])
        number = int(match[3])
        of_incarnation = found.setdefault(stem, InstanceFiles()).by_incarnation.setdefault(incarnation, [])
        of_incarnation.append(SegmentFile(SegmentPosition(incarnation, number), os.path.join(folder, name)))
    return found


def list_instance_segments(folder: str, instance: str) -> InstanceFiles:
    """Return the segments of one instance in a folder. Raises `OSError`."""
    stem = instance_file_name(instance, _PURPOSE).removesuffix(f"-{_PURPOSE}")
    return list_segments(folder).get(stem, InstanceFiles())
