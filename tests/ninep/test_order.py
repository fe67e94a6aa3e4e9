"""The order of changes to the same file."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from garnetlanding.ninep.order import Order
from garnetlanding.ninep.shares import Shares

# The order of changes.

PATHS = st.lists(st.sampled_from(["a", "b", "c"]), min_size=0, max_size=3).map(tuple)
MOVES = st.lists(
    st.one_of(
        st.tuples(st.just("enter"), st.integers(0, 2), st.lists(PATHS, min_size=1, max_size=2)),
        st.tuples(st.just("end"), st.integers(0, 30), st.booleans()),
        st.tuples(st.just("pass"), st.integers(1, 60)),
    ),
    max_size=60,
)


@given(MOVES)
def test_changes_that_touch_go_one_by_one_in_their_order_and_none_is_forgotten(
    moves: list[tuple[object, ...]],
) -> None:
    """Against a plain model: what is out never touches what is out before it, of one client, or a rest."""
    order, now = Order(100, 1000), 0
    entered: dict[int, tuple[int, list[tuple[str, ...]]]] = {}
    out: list[int] = []
    waiting: list[int] = []
    rests: list[tuple[tuple[str, ...], int]] = []

    def touch(a: tuple[str, ...], b: tuple[str, ...]) -> bool:
        return a[: len(b)] == b or b[: len(a)] == a

    def may_go(ticket: int) -> bool:
        client, paths = entered[ticket]
        before = [t for t in (*out, *waiting) if t < ticket and entered[t][0] == client]
        return not any(touch(p, q) for t in before for p in entered[t][1] for q in paths) and not any(
            until > now and touch(p, q) for p, until in rests for q in paths
        )

    def release(tickets: list[int]) -> None:
        for ticket in tickets:
            assert may_go(ticket), "it went too early"
            waiting.remove(ticket)
            out.append(ticket)
        assert not any(may_go(ticket) for ticket in waiting), "one that may go was forgotten"

    def end(ticket: int, unsure: bool) -> None:
        (out if ticket in out else waiting).remove(ticket)
        if unsure:
            rests.extend((p, now + 100) for p in entered[ticket][1])
        client = entered[ticket][0]
        release(order.ended(client, ticket, now, unsure))

    for move in moves:
        match move:
            case "enter", int(client), list(paths):
                ticket, free = order.enter(client, tuple(("x", p) for p in paths), now)
                entered[ticket] = client, paths
                assert free == may_go(ticket)
                (out if free else waiting).append(ticket)
            case "end", int(at), bool(unsure) if out or waiting:
                live = out + waiting
                end(live[at % len(live)], unsure)
            case "pass", int(span):
                now += span
                due = order.next_at
                if due is not None and due <= now:
                    release(order.rested(now))
    while out or waiting:
        now += 100
        release(order.rested(now))
        if out:
            end(out[0], False)
    assert len(order) == 0


def test_a_rename_is_known_to_what_waits() -> None:
    order = Order(100, 10)
    first, _ = order.enter(1, (("x", ("a",)), ("x", ("b",))), 0)
    second, free = order.enter(1, (("x", ("a", "f")),), 0)
    assert not free
    order.moved(("x", ("a",)), ("b",))
    assert order.ended(1, first, 0, False) == [second]
    _, free = order.enter(1, (("x", ("b", "f")),), 0)
    assert not free, "it goes by its new name"


def test_rests_are_bounded_and_exports_apart() -> None:
    order = Order(100, 2)
    for name in "abc":
        ticket, _ = order.enter(1, (("x", (name,)),), 0)
        order.ended(1, ticket, 0, unsure=True)
    assert [order.enter(2, (("x", (name,)),), 1)[1] for name in "abc"] == [True, False, False]
    assert order.enter(2, (("y", ("b",)),), 1)[1]


def test_a_client_has_all_places_alone_and_its_part_beside_others() -> None:
    shares = Shares(8, 100)
    assert shares.of(1, 0) == 8
    for client in range(1, 5):
        shares.asks(client, client)
    assert [shares.of(client, 50) for client in (1, 4, 9)] == [2, 2, 1], "1 of 5 for one that is new"
    assert shares.of(4, 103) == 8, "the others have not asked for a while"
    shares.left(4)
    assert shares.of(3, 102) == 8
    for client in range(100):
        shares.asks(client, 200)
    assert shares.of(5, 200) == 1
