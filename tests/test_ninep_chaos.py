"""A few random fault schedules; `benchmarks/ninep_chaos.py` runs long ones."""

from __future__ import annotations

import pytest

from tests.chaos import run


@pytest.mark.parametrize("seed", range(4))
def test_a_random_schedule_keeps_the_rules(seed: int) -> None:
    chaos = run(seed, 120)
    assert chaos.told["write ok"] > 5 and chaos.told["read ok"] > 3, chaos.told
