"""Cases for message framing and malformed messages."""

from __future__ import annotations

import struct

from garnetlanding.conform.client import ROOT, Client
from garnetlanding.conform.errors import check
from garnetlanding.conform.registry import case
from garnetlanding.ninep import codec as p9
from garnetlanding.ninep import errors


def expect_error_or_close(client: Client, tag: int) -> None:
    """Fail unless the reply to the tag is an error or the server closes the connection."""
    client.drain_replies()
    check(
        client.server_closed or any(client.error_of(reply) for reply in client.replies_to(tag)),
        "the server neither replied with an error nor closed the connection",
    )


@case("intro(5): a message may arrive in any number of segments")
def message_byte_by_byte(client: Client) -> None:
    """intro(5): the size field alone delimits a message, so it may arrive byte by byte."""
    for byte in p9.encode(7, p9.Twalk(ROOT, client.new_fid(), ())):
        client.send_bytes(bytes([byte]))
    client.expect(p9.Rwalk, client.wait_for_reply(7))


@case("intro(5): several messages may arrive in one segment")
def messages_in_one_piece(client: Client) -> None:
    """intro(5): the next message begins where the size of the one before ends, without any gap."""
    fids = [client.new_fid() for _ in range(5)]
    client.send_bytes(
        b"".join(p9.encode(10 + index, p9.Twalk(ROOT, fid, ())) for index, fid in enumerate(fids))
    )
    for index in range(5):
        client.expect(p9.Rwalk, client.wait_for_reply(10 + index))


@case("intro(5): an unknown message type is an error and the connection stays open")
def unknown_type(client: Client) -> None:
    """intro(5): a request that cannot be served is answered with an error; only the listed types exist."""
    client.send_bytes(struct.pack("<IBH", 7, 255, 9))
    client.expect_error(client.wait_for_reply(9))
    client.call(p9.Rwalk, p9.Twalk(ROOT, client.new_fid(), ()))


@case("intro(5): a truncated message body is an error or closes the connection")
def body_cut_short(client: Client) -> None:
    """intro(5): a message consists of all the fields of its type; a shorter body is no message."""
    whole = p9.encode(9, p9.Twalk(ROOT, client.new_fid(), ("x",)))
    client.send_bytes(struct.pack("<I", len(whole) - 2) + whole[4:-2])
    expect_error_or_close(client, 9)


@case("intro(5): trailing bytes after the last field are an error or close the connection")
def bytes_left_over(client: Client) -> None:
    """intro(5): the size of a message is the sum of its fields, so no bytes may follow the last field."""
    whole = p9.encode(9, p9.Tclunk(client.walk_to()))
    client.send_bytes(struct.pack("<I", len(whole) + 3) + whole[4:] + b"\0\0\0")
    expect_error_or_close(client, 9)


@case("intro(5): a size smaller than the header is an error or closes the connection")
def size_below_header(client: Client) -> None:
    """intro(5): the size counts itself, the type and the tag, so it is never less than seven."""
    client.send_bytes(struct.pack("<IBH", 3, 120, 9))
    expect_error_or_close(client, 9)


@case("version(5): a message longer than the negotiated msize is rejected")
def size_over_msize(client: Client) -> None:
    """version(5): no message of the session may be longer than the msize of Rversion."""
    fid = client.create_file("f")
    client.send_bytes(p9.encode(9, p9.Twrite(fid, 0, b"x" * (client.msize + 100))))
    expect_error_or_close(client, 9)


@case("intro(5): strings are UTF-8")
def text_not_utf8(client: Client) -> None:
    """intro(5): a string is sent as a length and that many bytes of UTF-8."""
    body = struct.pack("<IIHH", ROOT, client.new_fid(), 1, 2) + b"\xff\xfe"
    client.send_bytes(struct.pack("<IBH", 7 + len(body), 110, 9) + body)
    expect_error_or_close(client, 9)


@case("intro(5): strings contain no NUL")
def text_with_nul(client: Client) -> None:
    """intro(5): the NUL character is illegal in text strings, and so in the names of a walk."""
    body = struct.pack("<IIHH", ROOT, client.new_fid(), 1, 3) + b"a\0b"
    client.send_bytes(struct.pack("<IBH", 7 + len(body), 110, 9) + body)
    expect_error_or_close(client, 9)


@case("intro(5): a client sends T-messages only")
def answer_sent_by_client(client: Client) -> None:
    """intro(5): clients send T-messages and servers R-messages; an Rclunk from a client is invalid."""
    client.send_bytes(p9.encode(9, p9.Rclunk()))
    expect_error_or_close(client, 9)


@case("intro(5): a reply has the tag of its request, in whatever order replies arrive")
def tags_are_echoed(client: Client) -> None:
    """intro(5): a reply has the tag of its request; replies may come in any order, one for each."""
    fid = client.create_file("f", b"data")
    tags = [5000, 0x7FFF, 0xFFFE, 7700]
    for tag in tags:
        client.send(p9.Tread(fid, 0, 4), tag)
    for tag in reversed(tags):
        check(
            client.expect(p9.Rread, client.wait_for_reply(tag)).data == b"data",
            f"unexpected data in the reply to tag {tag}",
        )
    client.drain_replies()
    check(all(len(client.replies_to(tag)) == 1 for tag in tags), "a tag received more than one reply")


@case("intro(5): after an error the connection and its fids remain valid")
def error_leaves_session(client: Client) -> None:
    """error(5): Rerror reports the failure of one request; the connection and other fids are unaffected."""
    fid = client.create_file("f", b"data")
    client.call_expecting_error(p9.Tread(client.new_fid(), 0, 4), errors.EBADF)
    check(client.read(fid) == b"data", "unexpected file content")
