"""An example client: writes and reads a piece of data over RESP2, then reads a glossary over 9P.

    python -m example.client [ADDRESS]

With the address of an instance, it only uses RESP2, with that instance.
"""

from __future__ import annotations

import socket
import sys
from collections.abc import Iterator

from garnetlanding.limits import Limits
from garnetlanding.ninep import codec as p9
from garnetlanding.resp import codec as resp
from garnetlanding.runtime.buffers import BufferPool
from garnetlanding.runtime.stream import parse_address

RESP_ADDRESS = ("127.0.0.1", 7379)
NINEP_ADDRESS = ("127.0.0.1", 7640)
MAX_NINEP_MESSAGE = 1 << 16  # bytes
POOL = BufferPool(8192, 4, 1024)


def write_and_read(address: tuple[str, int]) -> None:
    """Write a block and read it over RESP2."""
    with socket.create_connection(address, timeout=5) as sock:
        decoder = resp.Decoder(POOL, Limits())
        for verb, request_class, request_id, *body in (
            ("BLK.WRITE", "draft-save", "1", b"a translation memory"),
            ("BLK.READ", "segment-read", "2"),
        ):
            pairs = f"c={request_class},t=standard,d=1000,volume=0000000000000001,units=2,shard=0,hosts=1"
            words = [verb, "00000000000000aa", request_id, pairs]
            sock.sendall(resp.encode_command([*(word.encode() for word in words), *body]))
            answers: list[resp.Value] = []
            while not answers:
                answers += decoder.feed(sock.recv(4096))
            print(verb, "->", answers[0])


def read_glossary() -> None:
    """Read a file over 9P."""
    with socket.create_connection(NINEP_ADDRESS, timeout=5) as sock:
        framer = p9.Framer(POOL, MAX_NINEP_MESSAGE)
        for reply in exchange(
            sock,
            framer,
            [
                p9.Tversion(8192, p9.VERSION),
                p9.Tattach(0, p9.NOFID, "toy", "glossaries"),
                p9.Twalk(0, 1, ("sv", "law.tsv")),
                p9.Topen(1, p9.OREAD),
                p9.Tread(1, 0, 4096),
                p9.Tclunk(1),
            ],
        ):
            print("9P ->", reply)


def exchange(sock: socket.socket, framer: p9.Framer, messages: list[p9.Message]) -> Iterator[object]:
    """Send one message after another and yield the reply to each."""
    for message in messages:
        sock.sendall(p9.encode(p9.NOTAG if isinstance(message, p9.Tversion) else 1, message))
        replies: list[object] = []
        while not replies:
            replies += [reply for _, reply in framer.feed(sock.recv(65536))]
        yield replies[0]


if __name__ == "__main__":
    if len(sys.argv) > 1:
        write_and_read(parse_address(sys.argv[1]))
    else:
        write_and_read(RESP_ADDRESS)
        read_glossary()
