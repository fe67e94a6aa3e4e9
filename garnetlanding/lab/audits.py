"""Holds what the audit says against the histories: which settings each attempt was sent on."""

from __future__ import annotations

import pathlib
from bisect import bisect_right

from garnetlanding.audit.limits import LIMITS
from garnetlanding.audit.merge import merge
from garnetlanding.audit.segment_reader import read_segments
from garnetlanding.lab.findings import Findings
from garnetlanding.lab.history import Line

Steps = dict[tuple[str, int], list[tuple[int, str]]]  # by head and life: from when on which settings


def check(folder: pathlib.Path, lines: list[Line], found: Findings) -> None:
    """Every attempt of every head was sent under the settings that the audit names for that moment."""
    read = read_segments([str(folder)])
    fleet = merge(read.segments, LIMITS)
    found.broken += [f"audit: {problem}" for problem in read.problems]
    audited: Steps = {}
    for span in sorted(fleet.spans, key=lambda span: span.began):
        audited.setdefault((span.head, span.life), []).append((span.began, span.vector["settings"]))
    noted: Steps = {}
    for line in lines:
        if line["what"] == "settings":
            version = f"{line['epoch']}.{line['revision']}#{line['digest']:08x}"
            noted.setdefault((line["who"], line["life"]), []).append((line["at"], version))
    for line in lines:
        if line["what"] != "answered":
            continue
        for _, _, sent in line["attempts"]:
            key = line["who"], line["life"]
            mine, its = _at(noted.get(key, []), sent), _at(audited.get(key, []), sent)
            found.audited += 1
            if mine != its:
                found.broken.append(
                    f"audit: {line['id']} was sent by {key[0]} on {mine}, the audit says {its}"
                )


def _at(steps: list[tuple[int, str]], when: int) -> str:
    place = bisect_right([at for at, _ in steps], when)
    return steps[place - 1][1] if place else ""
