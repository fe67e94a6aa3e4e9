"""Cases for flush: cancelled requests, the order of replies and the reuse of tags."""

from __future__ import annotations

from garnetlanding.conform.client import Client
from garnetlanding.conform.errors import check
from garnetlanding.conform.registry import case
from garnetlanding.ninep import codec as p9


def reply_order(client: Client, *tags: int) -> list[int]:
    """Return these tags in the order in which replies to them arrived."""
    return [tag for tag, _ in client.replies if tag in tags]


@case("flush(5): a flush of a tag without a request is answered with Rflush")
def flush_unknown_tag(client: Client) -> None:
    """flush(5): a flush is always answered with Rflush, also if its oldtag is not outstanding."""
    client.call(p9.Rflush, p9.Tflush(0x1234))


@case("flush(5): a flush of a completed request is answered with Rflush")
def flush_answered(client: Client) -> None:
    """flush(5): a flush of a request that has already been replied to is answered with Rflush."""
    fid = client.create_file("f", b"x")
    client.call(p9.Rread, p9.Tread(fid, 0, 1), 40)
    client.call(p9.Rflush, p9.Tflush(40))


@case("flush(5): no reply to the flushed request follows Rflush")
def flush_is_last(client: Client) -> None:
    """flush(5): a reply to the old request may come before Rflush and never after it."""
    fid = client.create_file("f", b"x" * 1000)
    for tag in range(40, 50):
        client.send(p9.Tread(fid, 0, 1000), tag)
    for tag in range(40, 50):
        client.send(p9.Tflush(tag), tag + 100)
    client.drain_replies()
    for tag in range(40, 50):
        order = reply_order(client, tag, tag + 100)
        check(order in ([tag, tag + 100], [tag + 100]), f"replies in the order {order}")


@case("flush(5): the flushed tag may be reused after Rflush")
def flush_frees_tag(client: Client) -> None:
    """flush(5): once Rflush is received the old tag may be used again."""
    fid = client.create_file("f", b"0123")
    client.send(p9.Tread(fid, 0, 2), 40)
    client.call(p9.Rflush, p9.Tflush(40), 41)
    before = len(client.replies_to(40))
    client.send(p9.Tread(fid, 2, 2), 40)
    client.drain_replies()
    replies = client.replies_to(40)[before:]
    check(
        len(replies) == 1 and client.expect(p9.Rread, replies[0]).data == b"23",
        "unexpected replies to the reused tag",
    )


@case("flush(5): a flush can be flushed; replies come in the order of the flushes")
def flush_of_flush(client: Client) -> None:
    """flush(5): a flush may itself be flushed; replies come in the order of the flushes."""
    fid = client.create_file("f", b"x")
    client.send(p9.Tread(fid, 0, 1), 40)
    client.send(p9.Tflush(40), 41)
    client.send(p9.Tflush(41), 42)
    client.drain_replies()
    order = reply_order(client, 41, 42)
    check(order in ([41, 42], [42]), f"replies in the order {order}")


@case("flush(5): several flushes of one tag are answered in the order sent")
def flush_twice(client: Client) -> None:
    """flush(5): several flushes of one tag must be answered in the order in which they were sent."""
    fid = client.create_file("f", b"x")
    client.send(p9.Tread(fid, 0, 1), 40)
    for tag in (41, 42, 43):
        client.send(p9.Tflush(40), tag)
    client.drain_replies()
    order = reply_order(client, 41, 42, 43)
    check(order == [41, 42, 43], f"replies in the order {order}")


@case("flush(5): a write with a reply was done; a write flushed without one may have been")
def flush_of_write(client: Client) -> None:
    """flush(5): a request replied to before Rflush has been executed; any other may have been."""
    fid = client.create_file("f", b"....")
    client.send(p9.Twrite(fid, 0, b"done"), 40)
    client.send(p9.Tflush(40), 41)
    client.expect(p9.Rflush, client.wait_for_reply(41))
    client.drain_replies()
    content = client.read(fid)
    answered = any(isinstance(reply, p9.Rwrite) for reply in client.replies_to(40))
    check(content == b"done" if answered else content in (b"....", b"done"), "unexpected data")


@case("flush(5): a walk that was flushed without a reply established no fid")
def flush_of_walk(client: Client) -> None:
    """flush(5): a client that receives Rflush and no Rwalk may assume that the walk did not happen."""
    client.create_file("f", b"x")
    fid = client.walk_to()
    newfid = client.new_fid()
    client.send(p9.Twalk(fid, newfid, ("f",)), 40)
    client.send(p9.Tflush(40), 41)
    client.expect(p9.Rflush, client.wait_for_reply(41))
    client.drain_replies()
    if client.replies_to(40):
        client.clunk(newfid)
    else:
        client.call(p9.Rwalk, p9.Twalk(fid, newfid, ("f",)))


@case("flush(5): a flush does not affect other requests")
def flush_leaves_others(client: Client) -> None:
    """flush(5): a flush affects only the request with oldtag."""
    fid = client.create_file("f", b"0123456789")
    client.send(p9.Tread(fid, 0, 5), 40)
    client.send(p9.Tread(fid, 5, 5), 41)
    client.send(p9.Tflush(40), 42)
    check(client.expect(p9.Rread, client.wait_for_reply(41)).data == b"56789", "unexpected data")
    client.expect(p9.Rflush, client.wait_for_reply(42))
