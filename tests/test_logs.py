"""Log lines: key=value pairs that a program can parse."""

from __future__ import annotations

import logging

from garnetlanding.logs import KeyValueFormatter


def test_log_line_has_key_value_pairs_with_special_characters_quoted() -> None:
    record = logging.LogRecord("x", logging.INFO, "", 0, 'say "hi"\n', (), None)
    record.kv = {"a": 1, "b": "c d", "e": ""}
    line = KeyValueFormatter().format(record)
    assert line.endswith('level=info logger=x msg="say \\"hi\\"\\n" a=1 b="c d" e=""')
