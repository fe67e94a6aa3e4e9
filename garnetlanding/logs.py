"""Log lines as key=value pairs on standard error."""

from __future__ import annotations

import logging
import sys


def _quote(value: object) -> str:
    text = str(value)
    if text and not any(c in text for c in ' "=\n\r\t'):
        return text
    for raw, escaped in (("\\", "\\\\"), ('"', '\\"'), ("\n", "\\n"), ("\r", "\\r")):
        text = text.replace(raw, escaped)
    return f'"{text}"'


class KeyValueFormatter(logging.Formatter):
    """Fixed pairs first, then those that a call hands over in `extra={"kv": {...}}`."""

    default_msec_format = "%s.%03d"

    def format(self, record: logging.LogRecord) -> str:
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
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(KeyValueFormatter())
    logging.basicConfig(level=level.upper(), handlers=[handler], force=True)
