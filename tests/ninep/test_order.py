"""The order of changes to the same file."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from garnetlanding.ninep.order import ChangeOrder

PATHS = st.lists(st.sampled_from(["a", "b", "c"]), min_size=0, max_size=3).map(tuple)
Path = tuple[str, ...]
STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("enqueue"), st.integers(0, 2), st.lists(PATHS, min_size=1, max_size=2)),
        st.tuples(st.just("finish"), st.integers(0, 30), st.booleans()),
        st.tuples(st.just("advance"), st.integers(1, 60)),
    ),
    max_size=60,
)


def paths_overlap(first: Path, second: Path) -> bool:
    """Whether the paths are equal or one is an ancestor of the other."""
    return first[: len(second)] == second or second[: len(first)] == first


class OrderModel:
    """A `ChangeOrder` and a reference model: lists of in-flight and queued changes and of paused paths."""

    def __init__(self) -> None:
        self.order = ChangeOrder(100, 1000)
        self.now = 0
        self.enqueued: dict[int, tuple[int, list[Path]]] = {}
        self.in_flight: list[int] = []
        self.queued: list[int] = []
        self.paused: list[tuple[Path, int]] = []

    def may_start(self, ticket: int) -> bool:
        client, paths = self.enqueued[ticket]
        earlier = [
            other
            for other in (*self.in_flight, *self.queued)
            if other < ticket and self.enqueued[other][0] == client
        ]
        blocked = any(
            paths_overlap(p, q) for other in earlier for p in self.enqueued[other][1] for q in paths
        )
        is_paused = any(until > self.now and paths_overlap(p, q) for p, until in self.paused for q in paths)
        return not blocked and not is_paused

    def enqueue(self, client: int, paths: list[Path]) -> None:
        ticket, may_start = self.order.enqueue(client, tuple(("x", path) for path in paths), self.now)
        self.enqueued[ticket] = client, paths
        assert may_start == self.may_start(ticket)
        (self.in_flight if may_start else self.queued).append(ticket)

    def start(self, tickets: list[int]) -> None:
        for ticket in tickets:
            assert self.may_start(ticket), "started too early"
            self.queued.remove(ticket)
            self.in_flight.append(ticket)
        assert not any(
            self.may_start(ticket) for ticket in self.queued
        ), "a change that may start was not started"

    def finish(self, ticket: int, outcome_unknown: bool) -> None:
        (self.in_flight if ticket in self.in_flight else self.queued).remove(ticket)
        if outcome_unknown:
            self.paused.extend((path, self.now + 100) for path in self.enqueued[ticket][1])
        client = self.enqueued[ticket][0]
        self.start(self.order.finish(client, ticket, self.now, outcome_unknown))

    def advance(self, span: int) -> None:
        self.now += span
        due = self.order.next_expiry
        if due is not None and due <= self.now:
            self.start(self.order.expire_pauses(self.now))


@given(STEPS)
def test_overlapping_changes_run_one_by_one_in_order_and_none_is_lost(
    steps: list[tuple[object, ...]],
) -> None:
    """A change in flight never overlaps an earlier change of the same client or a paused path."""
    model = OrderModel()
    for step in steps:
        match step:
            case "enqueue", int(client), list(paths):
                model.enqueue(client, paths)
            case "finish", int(index), bool(outcome_unknown) if model.in_flight or model.queued:
                unfinished = model.in_flight + model.queued
                model.finish(unfinished[index % len(unfinished)], outcome_unknown)
            case "advance", int(span):
                model.advance(span)
    while model.in_flight or model.queued:
        model.now += 100
        model.start(model.order.expire_pauses(model.now))
        if model.in_flight:
            model.finish(model.in_flight[0], outcome_unknown=False)
    assert len(model.order) == 0


def test_queued_changes_follow_a_rename() -> None:
    order = ChangeOrder(100, 10)
    first, _ = order.enqueue(1, (("x", ("a",)), ("x", ("b",))), 0)
    second, may_start = order.enqueue(1, (("x", ("a", "f")),), 0)
    assert not may_start
    order.rename(("x", ("a",)), ("b",))
    assert order.finish(1, first, 0, False) == [second]
    _, may_start = order.enqueue(1, (("x", ("b", "f")),), 0)
    assert not may_start, "the queued change has the new path"


def test_paused_paths_are_bounded_and_separate_per_export() -> None:
    order = ChangeOrder(100, 2)
    for name in "abc":
        ticket, _ = order.enqueue(1, (("x", (name,)),), 0)
        order.finish(1, ticket, 0, outcome_unknown=True)
    assert [order.enqueue(2, (("x", (name,)),), 1)[1] for name in "abc"] == [True, False, False]
    assert order.enqueue(2, (("y", ("b",)),), 1)[1]
