"""Writes the file of `audit merge --out`: JSON lines, one per span in time order, then one per problem.

The keys are a stored format and do not change with the names in the code.
"""

from __future__ import annotations

import json
from typing import Any

from garnetlanding.audit.records import encode_message_id
from garnetlanding.audit.timeline import FleetTimeline, Span


def write_merged_file(timeline: FleetTimeline, path: str) -> None:
    """Write the file, replacing its contents. Raises `OSError`."""
    with open(path, "w", encoding="utf-8") as file:
        for span in timeline.spans:
            file.write(json.dumps(encode_span(span), sort_keys=True) + "\n")
        for problem in timeline.problems:
            file.write(json.dumps({"problem": problem}) + "\n")


def encode_span(span: Span) -> dict[str, Any]:
    """Return the stored form of a span."""
    return {
        "head": span.instance,
        "life": span.incarnation,
        "me": span.instance_number,
        "since": span.start_wall_ms,
        "until": span.end_wall_ms,
        "began": span.start_us,
        "ended": span.end_us,
        "vector": span.versions,
        "changed": span.changed,
        "heard": encode_message_id(span.last_received),
        "said": span.last_sent,
        "first": span.requests_accepted_before,
        "taken": span.requests_accepted,
        "how": span.end.value,
        "stalled": span.stalled,
    }
