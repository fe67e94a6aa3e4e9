"""The on-call page and the source agree on every message that needs an engineer, its module, its fields."""

from __future__ import annotations

import re
from collections.abc import Iterable
from functools import cache
from typing import NamedTuple

import click
import pytest

from garnetlanding.cli import commands
from garnetlanding.core.metrics import RequestMetrics, decode, encode
from tests.support.log_messages import AT_LEAST_WARNING, LogMessage, find_messages
from tests.support.source_modules import MODULES, PACKAGE, ROOT, reachable

PAGE = ROOT / "docs" / "operators" / "on-call.md"
CLASS = "C"  # stands for any request class on the pages

HEADING = re.compile(r"^### `(.+)`$")
EMITTER = re.compile(r"^- Emitted: `(warning|error|critical)` by `([a-z0-9_/]+)\.py`(?:, with (.+))?$")
ENTRY_PARTS = ("- Means: ", "- Usual cause: ", "- Check first: ")
MODULE = re.compile(r"`([a-z0-9_]+(?:/[a-z0-9_]+)*)\.py`")
QUOTED_MESSAGE = re.compile(r'\bmsg=(?:"([^"]+)"|([a-z]+))')


class Entry(NamedTuple):
    """What the page says of one message: the lines between its heading and the next one."""

    text: str
    lines: list[str]


@cache
def instance_messages() -> frozenset[LogMessage]:
    """Return every log message that `garnetlanding serve` can emit."""
    serve = {"cli.serve", *reachable("cli.serve")}
    return frozenset(find_messages({name: MODULES[name].read_text() for name in serve}))


def entries(page: str) -> list[Entry]:
    """Return the entries of the page's part on log messages."""
    part = page.partition("\n## Log messages\n")[2].partition("\n## ")[0]
    found: list[Entry] = []
    for line in part.splitlines():
        if heading := HEADING.match(line):
            found.append(Entry(heading[1], []))
        elif found:
            found[-1].lines.append(line)
    return found


def described_messages(page: str) -> set[LogMessage]:
    """Return the messages of the page's entries, with what it says of each one's level, module and fields."""
    messages: set[LogMessage] = set()
    for entry in entries(page):
        for line in entry.lines:
            if emitter := EMITTER.match(line):
                fields = frozenset(re.findall(r"`([a-z_]+)`", emitter[3] or ""))
                messages.add(LogMessage(entry.text, emitter[1], emitter[2].replace("/", "."), fields))
    return messages


def differences(page: str, messages: Iterable[LogMessage]) -> tuple[list[LogMessage], list[LogMessage]]:
    """Return the messages that the page lacks, and those of the page that are not in the source."""
    emitted = {message for message in messages if message.level in AT_LEAST_WARNING}
    described = described_messages(page)
    return sorted(emitted - described), sorted(described - emitted)


def missing_modules(page: str) -> list[str]:
    """Return the modules that a page names and that do not exist."""
    named = set(MODULE.findall(page))
    assert named, "the page names no module"
    return sorted(name for name in named if not (ROOT / PACKAGE / f"{name}.py").is_file())


def unknown_quotes(page: str, messages: Iterable[LogMessage]) -> list[str]:
    """Return the messages that a page quotes as `msg="..."` and that no module emits."""
    texts = {message.text for message in messages}
    quoted = {re.sub(r"\s+", " ", in_quotes or word) for in_quotes, word in QUOTED_MESSAGE.findall(page)}
    return sorted(quoted - texts)


def administration_calls() -> set[str]:
    """Return the names of all calls of `garnetlanding ops`, those about other instances as `fleet NAME`."""
    with click.Context(commands) as context:
        ops = commands.get_command(context, "ops")
        assert isinstance(ops, click.Group)
        fleet = ops.commands["fleet"]
    assert isinstance(fleet, click.Group)
    return set(ops.commands) - {"fleet"} | {f"fleet {name}" for name in fleet.commands}


def test_every_warning_and_error_of_an_instance_stands_on_the_page_and_no_other() -> None:
    missing, stale = differences(PAGE.read_text(), instance_messages())
    assert not missing, "emitted, and not on the page"
    assert not stale, "on the page, and not emitted so"


def test_entries_are_in_alphabetical_order_each_once_and_complete() -> None:
    found = entries(PAGE.read_text())
    texts = [entry.text for entry in found]
    assert texts == sorted(set(texts))
    for entry in found:
        for part in ENTRY_PARTS:
            answers = [line for line in entry.lines if line.startswith(part)]
            assert len(answers) == 1, (entry.text, part)
            assert len(answers[0]) > len(part), (entry.text, part)


def test_every_module_that_the_page_names_exists() -> None:
    assert not missing_modules(PAGE.read_text())


def test_every_call_that_the_page_names_exists() -> None:
    calls = administration_calls()
    named = set(re.findall(r"\bops (fleet [a-z][a-z-]+|(?!fleet\b)[a-z][a-z-]+)", PAGE.read_text()))
    assert named
    assert named <= calls


def test_every_metric_that_the_page_names_exists() -> None:
    counters = set(decode(encode(RequestMetrics([CLASS]), 0, 0, 0)))
    exporting = [path for name, path in MODULES.items() if "telemetry" in name]
    exported = "".join(path.read_text() for path in exporting)
    for name in set(re.findall(r"`(app\.[A-Za-z_.]+)`", PAGE.read_text())):
        assert name in counters, name
    for name in set(re.findall(r"`garnetlanding\.([a-z_.]+)`", PAGE.read_text())):
        assert f'"garnetlanding.{name}"' in exported or f'"{name}"' in exported, name


def test_every_link_to_a_heading_leads_to_one() -> None:
    text = PAGE.read_text()
    anchors = {
        re.sub(r"[^a-z0-9_ -]", "", line.lstrip("# ").lower()).replace(" ", "-")
        for line in text.splitlines()
        if line.startswith("##")
    }
    links = set(re.findall(r"\]\(#([^)]+)\)", text))
    assert links
    assert links <= anchors


@pytest.mark.parametrize(
    "page",
    ["README.md", *(str(path.relative_to(ROOT)) for path in sorted((ROOT / "docs").rglob("*.md")))],
)
def test_every_log_message_that_a_page_quotes_exists(page: str) -> None:
    assert not unknown_quotes((ROOT / page).read_text(), instance_messages())


# The checks notice what they are there for


SOURCE = """
import logging

log = logging.getLogger(__name__)
FULL = "disk full"

def save(ok):
    log.info("saved")
    log.warning("save slow" if ok else "save failed", extra={"kv": {"path": "x", "why": "y"}})
    fields = {"free": 0}
    log.log(logging.ERROR, FULL, extra={"kv": fields})

def report(text, count):
    log.error(text, extra={"kv": {"count": count}})

class Worker:
    def __init__(self, logger: logging.Logger):
        self.logger = logger

    def run(self):
        self.logger.critical("worker died")
        report("queue full", 3)
"""


def test_messages_are_found_in_conditions_constants_helpers_and_attributes() -> None:
    saving = frozenset({"path", "why"})
    assert find_messages({"worker": SOURCE}) == {
        LogMessage("saved", "info", "worker"),
        LogMessage("save slow", "warning", "worker", saving),
        LogMessage("save failed", "warning", "worker", saving),
        LogMessage("disk full", "error", "worker", frozenset({"free"})),
        LogMessage("queue full", "error", "worker", frozenset({"count"})),
        LogMessage("worker died", "critical", "worker"),
    }


@pytest.mark.parametrize(
    "line",
    [
        'logging.getLogger("x").warning("lost")',
        "log = logging.getLogger(__name__)\nlog.warning(make_text())",
        'log = logging.getLogger(__name__)\nlog.warning(f"lost {1}")',
        'log = logging.getLogger(__name__)\nlog.warning("lost" if 1 else make_text())',
        'log = logging.getLogger(__name__)\nlog.log(30, "lost")',
        "log = logging.getLogger(__name__)\nlog.warning()",
        'log = logging.getLogger(__name__)\nlog.warning("lost", extra={"kv": make_fields()})',
    ],
)
def test_a_message_that_cannot_be_read_from_the_source_is_an_error(line: str) -> None:
    with pytest.raises(ValueError, match="worker"):
        find_messages({"worker": f"import logging\n{line}\n"})


def test_a_planted_message_is_missing_on_the_page() -> None:
    planted = MODULES["daemon.reload"].read_text() + '\nlog.warning("planted", extra={"kv": {"a": 1}})\n'
    messages = find_messages({"daemon.reload": planted})
    before, _ = differences(PAGE.read_text(), instance_messages())
    missing, _ = differences(PAGE.read_text(), messages | instance_messages())
    added = set(missing) - set(before)
    assert added == {LogMessage("planted", "warning", "daemon.reload", frozenset({"a"}))}


def test_an_entry_for_a_message_that_nothing_emits_is_stale() -> None:
    entry = (
        "\n## Log messages\n\n### `gone long ago`\n\n- Emitted: `error` by `daemon/reload.py`, with `why`\n"
    )
    _, before = differences(PAGE.read_text(), instance_messages())
    _, stale = differences(PAGE.read_text().replace("\n## Log messages\n", entry), instance_messages())
    added = set(stale) - set(before)
    assert added == {LogMessage("gone long ago", "error", "daemon.reload", frozenset({"why"}))}


def test_another_level_another_module_or_another_field_is_a_difference() -> None:
    for old, new in [
        ("`error` by `store/p", "`warning` by `store/p"),
        ("`store/persister.py`", "`store/x.py`"),
    ]:
        assert differences(PAGE.read_text().replace(old, new), instance_messages()) != ([], [])
    assert differences(
        PAGE.read_text().replace("with `path`, `why`", "with `path`"), instance_messages()
    ) != (
        [],
        [],
    )


def test_a_module_that_does_not_exist_and_a_quote_of_no_message_are_noticed() -> None:
    assert missing_modules(PAGE.read_text() + "`daemon/nowhere.py`") == ["daemon/nowhere"]
    assert unknown_quotes('msg="never said" msg=ended', instance_messages()) == ["never said"]
