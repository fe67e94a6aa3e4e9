"""Accessors of one table of a configuration."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from garnetlanding.config import ConfigError, Section

TABLE = {"flag": True, "count": 3, "text": "t", "empty": "", "address": "h:1", "list": []}


@pytest.mark.parametrize(
    ("read", "key", "problem"),
    [
        pytest.param(lambda s: s.number("flag", 0), "flag", "expected a number", id="boolean-is-no-number"),
        pytest.param(lambda s: s.number("count", 4), "count", "from 4 to 1e+12, found 3", id="below"),
        pytest.param(lambda s: s.number("count", 0, maximum=2), "count", "from 0 to 2, found 3", id="above"),
        pytest.param(lambda s: s.number("none", 0), "none", "found None", id="number-missing"),
        pytest.param(lambda s: s.text("empty"), "empty", "missing or not text", id="text-empty"),
        pytest.param(lambda s: s.text("list", ""), "list", "missing or not text", id="text-of-wrong-type"),
        pytest.param(lambda s: s.one_of("text", ["b", "a"]), "text", "'t' is none of a, b", id="no-choice"),
        pytest.param(lambda s: s.address("text"), "text", "", id="no-address"),
        pytest.param(
            lambda s: Section(s.raw("count"), s.key_path("count")), "count", "not a table", id="table"
        ),
    ],
)
def test_a_value_that_is_not_accepted_raises_an_error_with_its_whole_key(
    read: Callable[[Section], object], key: str, problem: str
) -> None:
    with pytest.raises(ConfigError) as error:
        read(Section(TABLE, "part"))
    assert error.value.key == f"part.{key}"
    assert str(error.value).startswith(f"key part.{key}: ")
    assert problem in str(error.value)


def test_accepted_values_and_defaults() -> None:
    section = Section(TABLE, "part")
    assert section.number("count", 3, maximum=3) == 3.0
    assert section.number("none", 0, 7) == 7.0
    assert section.text("empty", "") == ""
    assert section.text("none", "default") == "default"
    assert section.one_of("text", ["t", "u"]) == "t"
    assert section.address("address") == "h:1"
    assert section.has("list")
    assert section.raw("none") is None


def test_an_unknown_key_is_rejected_where_the_keys_are_known() -> None:
    with pytest.raises(ConfigError, match="^key part.count: not known here$"):
        Section({"text": "t", "count": 3}, "part", "text")
