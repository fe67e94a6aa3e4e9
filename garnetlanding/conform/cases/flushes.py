"""Flush: what it takes back, in which order it is answered, which tags are free."""

from __future__ import annotations

from garnetlanding.conform.client import Client, check
from garnetlanding.conform.suite import case
from garnetlanding.ninep import codec as p9


def order(c: Client, *tags: int) -> list[int]:
    return [tag for tag, _ in c.got if tag in tags]


@case("flush(5): a tag that nobody waits for is flushed all the same")
def flush_unknown_tag(c: Client) -> None:
    c.must(p9.Rflush, p9.Tflush(0x1234))


@case("flush(5): what has been answered can be flushed")
def flush_answered(c: Client) -> None:
    fid = c.make("f", b"x")
    c.must(p9.Rread, p9.Tread(fid, 0, 1), 40)
    c.must(p9.Rflush, p9.Tflush(40))


@case("flush(5): nothing comes for the old tag after Rflush")
def flush_is_last(c: Client) -> None:
    fid = c.make("f", b"x" * 1000)
    for tag in range(40, 50):
        c.send(p9.Tread(fid, 0, 1000), tag)
    for tag in range(40, 50):
        c.send(p9.Tflush(tag), tag + 100)
    c.quiet()
    for tag in range(40, 50):
        seen = order(c, tag, tag + 100)
        check(seen in ([tag, tag + 100], [tag + 100]), f"answers in the order {seen}")


@case("flush(5): the old tag is free after Rflush")
def flush_frees_tag(c: Client) -> None:
    fid = c.make("f", b"0123")
    c.send(p9.Tread(fid, 0, 2), 40)
    c.must(p9.Rflush, p9.Tflush(40), 41)
    before = len(c.answers(40))
    c.send(p9.Tread(fid, 2, 2), 40)
    c.quiet()
    replies = c.answers(40)[before:]
    check(len(replies) == 1 and c.expect(p9.Rread, replies[0]).data == b"23", "another answer")


@case("flush(5): a flush can be flushed; both are answered, the earlier first")
def flush_of_flush(c: Client) -> None:
    fid = c.make("f", b"x")
    c.send(p9.Tread(fid, 0, 1), 40)
    c.send(p9.Tflush(40), 41)
    c.send(p9.Tflush(41), 42)
    c.quiet()
    seen = order(c, 41, 42)
    check(seen in ([41, 42], [42]), f"answers in the order {seen}")


@case("flush(5): several flushes of one tag are answered in their order")
def flush_twice(c: Client) -> None:
    fid = c.make("f", b"x")
    c.send(p9.Tread(fid, 0, 1), 40)
    for tag in (41, 42, 43):
        c.send(p9.Tflush(40), tag)
    c.quiet()
    check(order(c, 41, 42, 43) == [41, 42, 43], f"answers in the order {order(c, 41, 42, 43)}")


@case("flush(5): a write that was answered was done, one that was not may be")
def flush_of_write(c: Client) -> None:
    fid = c.make("f", b"....")
    c.send(p9.Twrite(fid, 0, b"done"), 40)
    c.send(p9.Tflush(40), 41)
    c.expect(p9.Rflush, c.wait(41))
    c.quiet()
    content = c.read(fid)
    answered = any(isinstance(m, p9.Rwrite) for m in c.answers(40))
    check(content == b"done" if answered else content in (b"....", b"done"), "other bytes")


@case("flush(5): a walk that was flushed without an answer made no fid")
def flush_of_walk(c: Client) -> None:
    c.make("f", b"x")
    fid, newfid = c.at(), c.new_fid()
    c.send(p9.Twalk(fid, newfid, ("f",)), 40)
    c.send(p9.Tflush(40), 41)
    c.expect(p9.Rflush, c.wait(41))
    c.quiet()
    if c.answers(40):
        c.clunk(newfid)
    else:
        c.must(p9.Rwalk, p9.Twalk(fid, newfid, ("f",)))


@case("flush(5): others are not touched")
def flush_leaves_others(c: Client) -> None:
    fid = c.make("f", b"0123456789")
    c.send(p9.Tread(fid, 0, 5), 40)
    c.send(p9.Tread(fid, 5, 5), 41)
    c.send(p9.Tflush(40), 42)
    check(c.expect(p9.Rread, c.wait(41)).data == b"56789", "other bytes")
    c.expect(p9.Rflush, c.wait(42))
