"""Fixtures of the administrative service's tests."""

from __future__ import annotations

import pathlib

import pytest

from tests.support.admin import Office


@pytest.fixture
def office(tmp_path: pathlib.Path) -> Office:
    return Office(tmp_path)
