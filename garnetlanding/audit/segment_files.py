"""Names segment files and lists those in a folder.

A file is named `garnetlanding-INSTANCE-audit-INCARNATION.NUMBER`. The instance's name is percent-encoded, and
the number has eight digits.
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
    """A segment file on disk."""

    position: SegmentPosition
    path: str


@dataclass(slots=True)
class InstanceFiles:
    """The segments of one instance in one folder, by incarnation; each list is in writing order."""

    by_incarnation: dict[int, list[SegmentFile]] = field(default_factory=dict)

    def in_writing_order(self) -> Iterator[SegmentFile]:
        """Yield every segment, oldest incarnation first."""
        for _, files in sorted(self.by_incarnation.items()):
            yield from files


def segment_path(folder: str, incarnation: Incarnation, number: int) -> str:
    """Return the path of a segment of an incarnation."""
    stem = instance_file_name(incarnation.instance, _PURPOSE)
    return os.path.join(folder, f"{stem}-{incarnation.number}.{number:08}")


def list_segments(folder: str) -> dict[str, InstanceFiles]:
    """Return the segments in a folder, by the part of their file names that encodes the instance.

    Files with other names are ignored. Raises `OSError` if the folder cannot be listed.
    """
    by_stem: dict[str, InstanceFiles] = {}
    for name in sorted(os.listdir(folder)):
        match = _SEGMENT_NAME.fullmatch(name)
        if match is None:
            continue
        stem = match[1]
        incarnation = int(match[2])
        number = int(match[3])
        file = SegmentFile(SegmentPosition(incarnation, number), os.path.join(folder, name))
        by_stem.setdefault(stem, InstanceFiles()).by_incarnation.setdefault(incarnation, []).append(file)
    return by_stem


def list_instance_segments(folder: str, instance: str) -> InstanceFiles:
    """Return the segments of one instance in a folder. Raises `OSError`."""
    stem = instance_file_name(instance, _PURPOSE).removesuffix(f"-{_PURPOSE}")
    return list_segments(folder).get(stem, InstanceFiles())
