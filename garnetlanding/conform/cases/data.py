"""Reading and writing: counts, offsets, what is there afterwards."""

from __future__ import annotations

from garnetlanding.conform.client import Client
from garnetlanding.conform.errors import check
from garnetlanding.conform.registry import PLAIN_ONLY, case
from garnetlanding.ninep import codec as p9
from garnetlanding.ninep import errors

TEXT = bytes(range(256)) * 8


@case("write(5): what was written is read")
def read_what_was_written(client: Client) -> None:
    """write(5): the bytes of a write are in the file from its offset on, and a read returns them."""
    fid = client.create_file("f", TEXT)
    check(client.read(fid) == TEXT, "other bytes")


@case("read(5): from an offset on")
def read_at_offset(client: Client) -> None:
    """read(5): a read returns bytes of the file from the given offset on."""
    fid = client.create_file("f", TEXT)
    check(client.call(p9.Rread, p9.Tread(fid, 100, 50)).data == TEXT[100:150], "other bytes")


@case("read(5): nothing is read past the end")
def read_past_end(client: Client) -> None:
    """read(5): a read at or behind the end of the file returns a count of zero."""
    fid = client.create_file("f", b"short")
    for offset in (5, 6, 1 << 40):
        check(client.call(p9.Rread, p9.Tread(fid, offset, 10)).data == b"", f"bytes at {offset}")


@case("read(5): less than asked for at the end")
def read_short_at_end(client: Client) -> None:
    """read(5): fewer bytes than asked for are returned if the file ends before."""
    fid = client.create_file("f", b"short")
    check(client.call(p9.Rread, p9.Tread(fid, 3, 100)).data == b"rt", "other bytes")


@case("read(5): a count of zero reads nothing")
def read_nothing(client: Client) -> None:
    """read(5): a count of zero is answered with no data."""
    check(client.call(p9.Rread, p9.Tread(client.create_file("f", b"x"), 0, 0)).data == b"", "bytes for none")


@case("read(5): never more than asked for")
def read_no_more_than_asked(client: Client) -> None:
    """read(5): at most count bytes are returned."""
    fid = client.create_file("f", TEXT)
    for count in (1, 2, 3, 100):
        data = client.call(p9.Rread, p9.Tread(fid, 0, count)).data
        check(data == TEXT[:count], f"{len(data)} bytes for {count}")


@case("read(5): an answer is not larger than msize")
def read_bounded_by_msize(client: Client) -> None:
    """version(5): the reply with its header fits in msize, whatever count was asked for."""
    fid = client.create_file("f", b"z" * 3 * client.msize)
    data = client.call(p9.Rread, p9.Tread(fid, 0, 3 * client.msize)).data
    check(0 < len(data) <= client.msize - 11, f"{len(data)} bytes, msize {client.msize}")


@case("write(5): the count is what was written")
def write_count(client: Client) -> None:
    """write(5): Rwrite has the number of bytes that were written."""
    fid = client.create_file("f")
    check(client.call(p9.Rwrite, p9.Twrite(fid, 0, b"12345")).count == 5, "another count")


@case("write(5): writing in the middle changes just that")
def write_in_middle(client: Client) -> None:
    """write(5): the bytes from the offset on are replaced, and no others."""
    fid = client.create_file("f", b"0123456789")
    client.write(fid, b"ab", 4)
    check(client.read(fid) == b"0123ab6789", "other bytes")


@case("write(5): behind the end there are zeros up to what is written")
def write_past_end(client: Client) -> None:
    """write(5): a write behind the end leaves a gap, which reads as zeros."""
    fid = client.create_file("f", b"ab")
    client.write(fid, b"z", 10)
    check(client.read(fid) == b"ab" + bytes(8) + b"z", "other bytes")


@case("write(5): writing nothing changes nothing")
def write_nothing(client: Client) -> None:
    """write(5): a write of zero bytes is answered with zero and does not change the file."""
    fid = client.create_file("f", b"ab")
    check(client.call(p9.Rwrite, p9.Twrite(fid, 100, b"")).count == 0, "a count")
    check(client.read(fid) == b"ab", "other bytes")


@case("write(5): as much as a message holds")
def write_full_message(client: Client) -> None:
    """write(5): a write may carry as much data as msize leaves room for."""
    fid = client.create_file("f")
    data = b"m" * (client.msize - p9.IO_HEADER_BYTES)
    count = client.call(p9.Rwrite, p9.Twrite(fid, 0, data)).count
    check(0 < count <= len(data) and client.read(fid) == data[:count], "other bytes")


@case("write(5): the file grows to the end of what is written")
def write_grows(client: Client) -> None:
    """write(5): the file is extended to the end of what was written."""
    fid = client.create_file("f", b"ab")
    client.write(fid, b"cd", 4)
    check(client.attributes(fid).length == 6, f"length {client.attributes(fid).length}")


@case("write(5): other connections see it once it is answered")
def write_seen_elsewhere(client: Client) -> None:
    """write(5): what Rwrite has confirmed is seen by reads on any other connection."""
    fid = client.create_file("f", b"first")
    other = client.connect_second_client()
    other_fid = other.walk_to("f")
    other.open(other_fid)
    check(other.read(other_fid) == b"first", "other bytes at first")
    client.write(fid, b"other")
    check(other.read(other_fid) == b"other", "what was there before")
    other.close()


@case("write(5): directories are not written")
def write_directory(client: Client) -> None:
    """write(5): directories may not be written."""
    fid = client.walk_to()
    client.open(fid)
    client.call_expecting_error(p9.Twrite(fid, 0, b"x"))


@case("read(5): the fid must be one")
def read_unknown_fid(client: Client) -> None:
    """read(5): the fid must be established; an unknown one is an error."""
    client.call_expecting_error(p9.Tread(client.new_fid(), 0, 1), errors.EBADF)


@case("write(5): the fid must be one")
def write_unknown_fid(client: Client) -> None:
    """write(5): the fid must be established; an unknown one is an error."""
    client.call_expecting_error(p9.Twrite(client.new_fid(), 0, b"x"), errors.EBADF)


@case("read(5): an offset that is no file's end reads nothing, or is an error")
def read_offset_huge(client: Client) -> None:
    """read(5): the offset is unsigned and has eight bytes; no offset behind the end returns data."""
    fid = client.create_file("f", b"x")
    for offset in (1 << 63, (1 << 64) - 1):
        reply = client.request(p9.Tread(fid, offset, 4))
        check(
            client.error_of(reply) is not None or client.expect(p9.Rread, reply).data == b"",
            f"bytes at {offset}",
        )


@case("write(5): an offset no file reaches is an error, and nothing is written")
def write_offset_huge(client: Client) -> None:
    """write(5): a write at an offset that the server cannot reach is an error and has no effect."""
    fid = client.create_file("f", b"x")
    for offset in (1 << 63, (1 << 64) - 1):
        client.expect_error(client.request(p9.Twrite(fid, offset, b"yy")))
    check(client.read(fid) == b"x", "something was written")


@case("write(5): many messages make one large file")
def write_large_file(client: Client) -> None:
    """write(5): successive writes at successive offsets make one file."""
    data = bytes(i * 7 % 251 for i in range(200_000))
    check(client.read(client.create_file("f", data)) == data, "other bytes")


@case("write(5): every byte is kept as it is")
def write_every_byte(client: Client) -> None:
    """write(5): data are bytes without interpretation; none is changed, dropped or added."""
    check(client.read(client.create_file("f", bytes(range(256)))) == bytes(range(256)), "other bytes")


@case("intro(5): many reads may be out at once")
def read_pipelined(client: Client) -> None:
    """intro(5): many reads may be outstanding on one connection, each with a tag of its own."""
    fid = client.create_file("f", TEXT)
    tags = {tag: tag * 13 % 1900 for tag in range(100, 130)}
    for tag, offset in tags.items():
        client.send(p9.Tread(fid, offset, 40), tag)
    for tag, offset in tags.items():
        check(
            client.expect(p9.Rread, client.wait_for_reply(tag)).data == TEXT[offset : offset + 40],
            f"other bytes at {offset}",
        )


@case("intro(5): many writes may be out at once")
def write_pipelined(client: Client) -> None:
    """intro(5): many writes may be outstanding on one connection, each with a tag of its own."""
    fid = client.create_file("f")
    for index in range(30):
        client.send(p9.Twrite(fid, index * 10, b"%010d" % index), 200 + index)
    for index in range(30):
        check(client.expect(p9.Rwrite, client.wait_for_reply(200 + index)).count == 10, "another count")
    check(client.read(fid) == b"".join(b"%010d" % index for index in range(30)), "other bytes")


@case("intro(5): requests on several fids may be out at once")
def several_fids_pipelined(client: Client) -> None:
    """intro(5): requests on several fids may be outstanding at the same time."""
    fids = [client.create_file(f"f{index}", b"%04d" % index) for index in range(8)]
    for index, fid in enumerate(fids):
        client.send(p9.Tread(fid, 0, 10), 300 + index)
    for index in range(8):
        check(
            client.expect(p9.Rread, client.wait_for_reply(300 + index)).data == b"%04d" % index,
            "another file's bytes",
        )


@case("intro(5): a file's qid version changes when it is written", PLAIN_ONLY)
def qid_version_changes(client: Client) -> None:
    """intro(5): the version of a qid is incremented each time the file is modified."""
    fid = client.create_file("f", b"one")
    before = client.attributes(fid).qid.version
    client.write(fid, b"two")
    check(client.attributes(fid).qid.version != before, "it did not")


@case("read(5): the same bytes again at the same offset")
def read_again(client: Client) -> None:
    """read(5): a read is determined by its offset alone; the same one returns the same bytes."""
    fid = client.create_file("f", TEXT)
    first = client.call(p9.Rread, p9.Tread(fid, 10, 30)).data
    client.call(p9.Rread, p9.Tread(fid, 500, 30))
    check(client.call(p9.Rread, p9.Tread(fid, 10, 30)).data == first, "other bytes")
