"""The instance's own admission checks."""

from __future__ import annotations

from dataclasses import replace

import pytest

from garnetlanding.core.admission_checks import Capacity, validate
from garnetlanding.core.ports import InvalidRequestError, RequestDefect, RequestSpec
from garnetlanding.limits import Limits
from tests.support.clock import SECOND
from tests.support.decision_bench import make_settings

VALID = RequestSpec("read", "gold", "v", "k", 6.0, 3, SECOND, 3, None)


@pytest.mark.parametrize(
    ("spec", "defect", "text"),
    [
        pytest.param(
            replace(VALID, request_class="x"), RequestDefect.UNKNOWN_CLASS, "unknown class", id="class"
        ),
        pytest.param(replace(VALID, plan="x"), RequestDefect.UNKNOWN_PLAN, "unknown plan", id="plan"),
        pytest.param(replace(VALID, cell=4), RequestDefect.UNKNOWN_CELL, "unknown shard", id="cell"),
        pytest.param(
            replace(VALID, units=6.1),
            RequestDefect.TOO_MANY_UNITS,
            "more units than the largest request has",
            id="units",
        ),
        pytest.param(
            replace(VALID, serving_instances=4),
            RequestDefect.TOO_MANY_INSTANCES,
            "more hosts than there are",
            id="instances",
        ),
    ],
)
def test_a_request_outside_the_settings_is_invalid(
    spec: RequestSpec, defect: RequestDefect, text: str
) -> None:
    settings = make_settings(cells=4)
    validate(VALID, settings)
    with pytest.raises(InvalidRequestError, match=f"^{text}$") as error:
        validate(spec, settings)
    assert error.value.defect is defect


def test_capacity_is_used_by_the_scarcer_of_requests_and_bytes() -> None:
    capacity = Capacity(replace(Limits(), open_requests=10, open_bytes=1000))
    capacity.open_requests = 5
    capacity.held_bytes = 800
    assert capacity.used == 0.8
    assert not capacity.is_exceeded
    capacity.quota = 0.5
    assert capacity.is_exceeded, "another process of the instance may use the rest"
    capacity.held_bytes = 0
    assert capacity.used == 0.5
    assert not capacity.is_exceeded


def test_a_new_object_has_no_cell_to_check() -> None:
    validate(replace(VALID, cell=None), make_settings(cells=4))
