"""Format log records as key=value pairs on standard error, one line a record."""

from __future__ import annotations

import logging
import sys

SPECIAL = ' "=\n\r\t'
"""A value with one of these characters is quoted."""

ESCAPES = (("\\", "\\\\"), ('"', '\\"'), ("\n", "\\n"), ("\r", "\\r"))
"""Characters and their escapes within quotes; the backslash must be escaped first."""


def _quote(value: object) -> str:
    text = str(value)
    if text and not any(character in SPECIAL for character in text):
        return text
    for character, escaped in ESCAPES:
        text = text.replace(character, escaped)
    return f'"{text}"'


class KeyValueFormatter(logging.Formatter):
    """Formats time, level, logger and message, then the pairs of `extra={"kv": {...}}`, then a traceback."""

    default_msec_format = "%s.%03d"

    def format(self, record: logging.LogRecord) -> str:
        """Return the record as one line; values with special characters are quoted."""
        pairs: dict[str, object] = {
            "time": self.formatTime(record),
            "level": record.levelname.lower(),
            "logger": record.name,
            "msg": record.getMessage(),
        }
        pairs |= getattr(record, "kv", {})
        if record.exc_info:
            pairs["trace"] = self.formatException(record.exc_info)
        return " ".join(f"{name}={_quote(value)}" for name, value in pairs.items())


def set_up(level: str) -> None:
    """Log records of `level` and above (`debug`, `info`, `warning`, `error`) to standard error."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(KeyValueFormatter())
    logging.basicConfig(level=level.upper(), handlers=[handler], force=True)
