"""Fixtures for the tests of the admin service."""

from __future__ import annotations

import pathlib

import pytest

from tests.support.admin import AdministeredInstance


@pytest.fixture
def instance(tmp_path: pathlib.Path) -> AdministeredInstance:
    return AdministeredInstance(tmp_path)
