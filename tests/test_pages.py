"""Links of the pages lead to files and headings that exist; the program has the commands that they show."""

from __future__ import annotations

import re
from collections.abc import Iterator
from pathlib import Path

import click
import pytest

from garnetlanding.audit.limits import AuditLimits
from garnetlanding.cli import commands
from garnetlanding.limits import Limits
from garnetlanding.peers.limits import PeerLimits
from tests.support.source_modules import PACKAGE, ROOT

PAGES = [ROOT / "README.md", *sorted((ROOT / "docs").rglob("*.md"))]
OPERATORS_PAGES = [ROOT / "README.md", *sorted((ROOT / "docs" / "operators").glob("*.md"))]
HISTORY = ROOT / "docs" / "ROADMAP.md"  # names what there was at the time
LINK = re.compile(r"\]\(([^)#\s]*)(?:#([^)\s]+))?\)")
CODE = re.compile(r"^ {4}(.+)$|`([^`\n]+)`", re.MULTILINE)
COMMAND = re.compile(r"\bgarnetlanding ((?:[a-z0-9][a-z0-9-]*\b ?)+)([^|#&]*)")

MODULE = re.compile(r"`([a-z0-9_]+(?:/[a-z0-9_]+)*\.py)`")
NAME_IN_MODULE = re.compile(
    r"`([a-z0-9_/]+\.py)` \(`([A-Za-z_]+)`|`([A-Za-z_.]+)` (?:in|of) `([a-z0-9_/]+\.py)`"
)
LIMIT = re.compile(r"`([a-z0-9_]+_(?:us|conns|sockets|bytes|clients|connections|requests|per_backend))`")


def each(pages: list[Path]) -> pytest.MarkDecorator:
    """Run a test once for each of the pages."""
    return pytest.mark.parametrize("page", pages, ids=lambda page: str(page.relative_to(ROOT)))


def anchors(page: Path) -> set[str]:
    """Return what links to the headings of a page name, in the form that common renderers give them."""
    lines = (line for line in page.read_text().splitlines() if line.startswith("#"))
    titles = (re.sub(r"\]\([^)]*\)", "", line.lstrip("# ")).lower() for line in lines)
    return {re.sub(r"[^a-z0-9_ -]", "", title).replace(" ", "-") for title in titles}


def broken_links(page: Path) -> list[str]:
    """Return the links of a page that lead to no file, or to no heading of it."""
    broken: list[str] = []
    for name, anchor in LINK.findall(page.read_text()):
        if "://" in name:
            continue
        target = (page.parent / name).resolve() if name else page
        if not target.exists() or (anchor and anchor not in anchors(target)):
            broken.append(f"{name}#{anchor}")
    return broken


def commands_in(text: str) -> Iterator[tuple[list[str], set[str]]]:
    """Yield the words and the options of every command line of the program in a page's code."""
    for block, inline in CODE.findall(text):
        for words, rest in COMMAND.findall(block or inline):
            yield words.split(), set(re.findall(r"(?<!\S)\[?(--[a-z][a-z-]*)", rest))


def fault_of(words: list[str], options: set[str]) -> str | None:
    """Return what is wrong with a command line, or None."""
    command: click.Command = commands
    with click.Context(commands) as context:
        for word in words:
            if not isinstance(command, click.Group):
                break
            found = command.get_command(context, word)
            if found is None:
                return f"no command {' '.join(words)}"
            command = found
    known = {option for parameter in command.params for option in parameter.opts}
    unknown = options - known
    return f"{' '.join(words)}: no option {sorted(unknown)}" if unknown else None


@each(PAGES)
def test_every_link_leads_to_a_file_and_a_heading(page: Path) -> None:
    assert not broken_links(page)


@each(PAGES)
def test_every_command_that_a_page_shows_exists_with_its_options(page: Path) -> None:
    faults = [fault_of(words, options) for words, options in commands_in(page.read_text())]
    assert not [fault for fault in faults if fault]


@each([page for page in PAGES if page != HISTORY])
def test_every_module_that_a_page_names_exists(page: Path) -> None:
    named = set(MODULE.findall(page.read_text()))
    assert not [
        name for name in named if not (ROOT / PACKAGE / name).is_file() and not (ROOT / name).is_file()
    ]


@each([page for page in PAGES if page != HISTORY])
def test_every_name_that_a_page_places_in_a_module_is_there(page: Path) -> None:
    places = [
        (behind or name, module or other)
        for module, behind, name, other in NAME_IN_MODULE.findall(page.read_text())
    ]
    for name, module in places:
        path = ROOT / PACKAGE / module
        source = (path if path.is_file() else ROOT / module).read_text()
        assert re.search(rf"\b{name.rpartition('.')[2]}\b", source), (name, module)


@each(OPERATORS_PAGES)
def test_every_limit_that_an_operators_page_names_exists(page: Path) -> None:
    known = {name for limits in (Limits, PeerLimits, AuditLimits) for name in limits.__dataclass_fields__}
    keys = (ROOT / "deploy" / "operator.toml").read_text()
    named = set(LIMIT.findall(page.read_text()))
    assert not [name for name in named if name not in known and name not in keys]


def test_wrong_commands_options_and_links_are_noticed(tmp_path: Path) -> None:
    text = (
        "    garnetlanding ops metricz --address X\n"
        "`garnetlanding ops ready --adress X`, [a](no.md), [b](#no)\n"
    )
    faults = [fault_of(words, options) for words, options in commands_in(text)]
    assert faults == ["no command ops metricz", "ops ready: no option ['--adress']"]
    page = tmp_path / "page.md"
    page.write_text(text)
    assert broken_links(page) == ["no.md#", "#no"]


def test_every_page_of_the_operators_is_in_the_index() -> None:
    index = (ROOT / "docs" / "README.md").read_text()
    pages = [path.name for path in (ROOT / "docs" / "operators").glob("*.md")]
    assert not [name for name in pages if f"](operators/{name})" not in index]
