"""Bytes: how messages are framed, and what cannot be read."""

from __future__ import annotations

import struct

from garnetlanding.conform.client import ROOT, Client, check
from garnetlanding.conform.suite import case
from garnetlanding.ninep import codec as p9
from garnetlanding.ninep import errors


def answered_or_ended(c: Client, tag: int) -> None:
    c.quiet()
    check(c.ended or any(c.problem(m) for m in c.answers(tag)), "neither an error nor an end came")


@case("intro(5): a message may come in any number of pieces")
def message_byte_by_byte(c: Client) -> None:
    for byte in p9.encode(7, p9.Twalk(ROOT, c.new_fid(), ())):
        c.raw(bytes([byte]))
    c.expect(p9.Rwalk, c.wait(7))


@case("intro(5): messages may come close behind each other")
def messages_in_one_piece(c: Client) -> None:
    fids = [c.new_fid() for _ in range(5)]
    c.raw(b"".join(p9.encode(10 + i, p9.Twalk(ROOT, fid, ())) for i, fid in enumerate(fids)))
    for i in range(5):
        c.expect(p9.Rwalk, c.wait(10 + i))


@case("intro(5): an unknown type is answered with an error, and the connection goes on")
def unknown_type(c: Client) -> None:
    c.raw(struct.pack("<IBH", 7, 255, 9))
    c.is_error(c.wait(9))
    c.must(p9.Rwalk, p9.Twalk(ROOT, c.new_fid(), ()))


@case("intro(5): a body cut short is answered with an error, or ends the connection")
def body_cut_short(c: Client) -> None:
    whole = p9.encode(9, p9.Twalk(ROOT, c.new_fid(), ("x",)))
    c.raw(struct.pack("<I", len(whole) - 2) + whole[4:-2])
    answered_or_ended(c, 9)


@case("intro(5): bytes behind the last field are answered with an error, or end the connection")
def bytes_left_over(c: Client) -> None:
    whole = p9.encode(9, p9.Tclunk(c.at()))
    c.raw(struct.pack("<I", len(whole) + 3) + whole[4:] + b"\0\0\0")
    answered_or_ended(c, 9)


@case("intro(5): a size below that of a header cannot be right: the connection ends")
def size_below_header(c: Client) -> None:
    c.raw(struct.pack("<IBH", 3, 120, 9))
    answered_or_ended(c, 9)


@case("version(5): a message over the agreed msize is not taken")
def size_over_msize(c: Client) -> None:
    fid = c.make("f")
    c.raw(p9.encode(9, p9.Twrite(fid, 0, b"x" * (c.msize + 100))))
    answered_or_ended(c, 9)


@case("intro(5): text is UTF-8")
def text_not_utf8(c: Client) -> None:
    body = struct.pack("<IIHH", ROOT, c.new_fid(), 1, 2) + b"\xff\xfe"
    c.raw(struct.pack("<IBH", 7 + len(body), 110, 9) + body)
    answered_or_ended(c, 9)


@case("intro(5): text holds no NUL")
def text_with_nul(c: Client) -> None:
    body = struct.pack("<IIHH", ROOT, c.new_fid(), 1, 3) + b"a\0b"
    c.raw(struct.pack("<IBH", 7 + len(body), 110, 9) + body)
    answered_or_ended(c, 9)


@case("intro(5): a client sends T-messages only")
def answer_sent_by_client(c: Client) -> None:
    c.raw(p9.encode(9, p9.Rclunk()))
    answered_or_ended(c, 9)


@case("intro(5): the answer carries the tag of its message, whatever the order")
def tags_are_echoed(c: Client) -> None:
    fid = c.make("f", b"data")
    tags = [5000, 0x7FFF, 0xFFFE, 7700]
    for tag in tags:
        c.send(p9.Tread(fid, 0, 4), tag)
    for tag in reversed(tags):
        check(c.expect(p9.Rread, c.wait(tag)).data == b"data", f"another answer for tag {tag}")
    c.quiet()
    check(all(len(c.answers(tag)) == 1 for tag in tags), "a tag was answered more than once")


@case("intro(5): after an error the connection and its fids stand")
def error_leaves_session(c: Client) -> None:
    fid = c.make("f", b"data")
    c.fails(p9.Tread(c.new_fid(), 0, 4), errors.EBADF)
    check(c.read(fid) == b"data", "the file reads otherwise")
