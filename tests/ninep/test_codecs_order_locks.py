"""The 9P parts without sockets: codecs under noise, order of changes, locks, errors, operations."""

from __future__ import annotations

import struct

import pytest
from hypothesis import given
from hypothesis import strategies as st

from garnetlanding.decision.interface import Effect
from garnetlanding.ninep import codec as p9
from garnetlanding.ninep import linux as p9l
from garnetlanding.ninep import model, problems
from garnetlanding.ninep.locks import Exclusive, Locks, Owner, Range
from garnetlanding.ninep.ops import TABLE, Op, class_for, with_twins
from garnetlanding.ninep.order import Order
from garnetlanding.ninep.shares import Shares
from garnetlanding.runtime.buffers import BufferPool
from tests.helpers import READ, WRITE, settings

DIALECTS = {"9P2000": p9.PLAIN, "9P2000.L": p9l.LINUX}
TEXT = st.text(st.characters(blacklist_characters="\0", blacklist_categories=("Cs",)), max_size=20)
QIDS = st.builds(p9.Qid, st.integers(0, 255), st.integers(0, 2**32 - 1), st.integers(0, 2**64 - 1))


def field_values(plan: p9.Plan) -> list[st.SearchStrategy[object]]:
    """What may stand in each field, by the struct and kinds of its plan."""
    lead = [{"B": 8, "H": 16, "I": 32, "Q": 64}[c] for c in plan._body.format[1:]]
    rest = {
        "s": TEXT,
        "q": QIDS,
        "d": st.binary(max_size=50),
        "n": st.binary(max_size=50),
        "S": st.lists(TEXT, max_size=16).map(tuple),
        "Q": st.lists(QIDS, max_size=16).map(tuple),
    }
    ints = {"1": 8, "2": 16, "4": 32, "8": 64}
    return [st.integers(0, 2**bits - 1) for bits in lead] + [
        rest[k] if k in rest else st.integers(0, 2 ** ints[k] - 1) for k in plan._rest
    ]


@pytest.mark.parametrize("dialect", DIALECTS)
@given(data=st.data())
def test_every_message_survives_a_round_trip(dialect: str, data: st.DataObject) -> None:
    table = DIALECTS[dialect]
    plan = table[data.draw(st.sampled_from(sorted(table)))]
    message = plan.cls(*(data.draw(value) for value in field_values(plan)))
    raw = p9.encode(77, message)
    assert struct.unpack("<IBH", raw[:7]) == (len(raw), plan.number, 77)
    assert p9.decode(raw[4], raw[7:], table) == message
    for cut in range(7, len(raw), 1 + len(raw) // 8):
        assert isinstance(p9.decode(raw[4], raw[7:cut], table), p9.Malformed), "a part is not the whole"


@pytest.mark.parametrize("dialect", DIALECTS)
@given(data=st.data(), body=st.binary(max_size=80))
def test_no_body_raises_out_of_a_codec(dialect: str, data: st.DataObject, body: bytes) -> None:
    table = DIALECTS[dialect]
    number = data.draw(st.integers(0, 255) | st.sampled_from(sorted(table)))
    message = p9.decode(number, body, table)
    if not isinstance(message, p9.Malformed):
        assert p9.encode(1, message)[7:] == body, "what can be read says all that was there"


@pytest.mark.parametrize("dialect", DIALECTS)
@given(pieces=st.lists(st.binary(min_size=1, max_size=300), max_size=20), most=st.integers(7, 400))
def test_a_framer_never_holds_more_than_the_largest_message(
    dialect: str, pieces: list[bytes], most: int
) -> None:
    pool = BufferPool(64, 4, 1 << 12)
    framer = p9.Framer(pool, most, DIALECTS[dialect])
    try:
        for piece in pieces:
            for tag, message in framer.feed(piece):
                assert 0 <= tag <= 0xFFFF and isinstance(message, p9.Message | p9.Malformed)
            assert pool.in_use * 64 <= most + 300 + 64
    except p9.FrameError:
        pass
    framer.close()
    assert pool.in_use == 0


@given(st.binary(max_size=120))
def test_no_stat_and_no_entry_raises_but_value_errors(data: bytes) -> None:
    for parse in (model.parse_stat, model.read_entries):
        try:
            parse(data)
        except ValueError:
            pass


def test_plans_and_fields_agree() -> None:
    with pytest.raises(TypeError, match="Tread"):
        p9.Plan(1, p9.Tread, "48")


# The table of operations.


def test_what_may_not_run_twice_asks_under_a_class_that_forbids_it() -> None:
    config = with_twins(settings(), ["write"])
    assert config.classes["write/once"].effect is Effect.UNSAFE
    unsafe = {**config.classes, "hard": WRITE.__class__("hard", 1, 0, 1, 1, Effect.UNSAFE)}
    for op, spec in TABLE.items():
        got = class_for(op, "read", "write", config.classes)
        assert got == ("read" if not spec.change else "write" if spec.repeat else "write/once")
        if spec.change:
            assert class_for(op, "read", "hard", unsafe) == "hard", "the settings have one"
    assert set(TABLE) == set(Op)
    assert with_twins(settings(), ["gone"]).classes == {"read": READ, "write": WRITE}


def test_errors_of_one_dialect_are_told_in_the_other() -> None:
    for number, texts in problems.TEXTS:
        for text in texts:
            assert problems.from_text(text).number == number
            assert problems.from_text(f"'/a/b': {text.capitalize()}").number == number
        assert problems.from_number(number).text == texts[0]
    assert problems.from_text("what is this") == problems.Problem(problems.EIO, "what is this")
    assert problems.from_number(4711).text == "error 4711"


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


# Locks.


@given(
    st.lists(
        st.tuples(st.integers(0, 2), st.sampled_from("rwu"), st.integers(0, 12), st.integers(1, 6)),
        max_size=40,
    )
)
def test_locks_against_a_map_of_single_bytes(steps: list[tuple[int, str, int, int]]) -> None:
    locks, held = Locks(1000), [dict[int, bool]() for _ in range(20)]  # by byte: owner to whether it writes
    for who, kind, start, length in steps:
        owner, span = Owner(who, 1, "x"), range(start, start + length)
        if kind == "u":
            locks.release(("e", 1), owner, start, start + length)
            for byte in span:
                held[byte].pop(who, None)
            continue
        write = kind == "w"
        blocked = any(
            other != who and (write or theirs) for byte in span for other, theirs in held[byte].items()
        )
        assert locks.take(("e", 1), Range(owner, 1, write, start, start + length)) is not blocked
        if not blocked:
            for byte in span:
                held[byte][who] = write
    for who in range(3):
        locks.clunked(who, None)
    assert locks.count == 0


def test_locks_are_bounded_and_exclusive_use_ends_with_its_fid() -> None:
    locks = Locks(3)
    for start in (0, 10, 20):
        assert locks.take(("e", 1), Range(Owner(1, 1, "x"), 1, True, start, start + 1))
    with pytest.raises(OverflowError):
        locks.take(("e", 1), Range(Owner(1, 1, "x"), 1, True, 30, 31))
    exclusive = Exclusive()
    assert exclusive.open(("e", 1), 1, 5) and not exclusive.open(("e", 1), 1, 6)
    exclusive.clunked(1, 6)
    assert not exclusive.open(("e", 1), 2, 5)
    exclusive.clunked(1, 5)
    assert exclusive.open(("e", 1), 2, 5)
