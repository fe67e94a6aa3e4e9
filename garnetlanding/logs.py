"""Log lines as key=value pairs on standard error, one line a record, for people and for programs."""

from __future__ import annotations

import logging
import sys

# What makes quotes necessary, and how each character is escaped within them; the backslash comes first.
SPECIAL = ' "=\n\r\t'
ESCAPES = (("\\", "\\\\"), ('"', '\\"'), ("\n", "\\n"), ("\r", "\\r"))


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
        """Return the record as one line; a value with spaces, quotes or `=` is quoted."""
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
