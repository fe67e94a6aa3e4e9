"""Cases for read and write: counts, offsets and resulting file content."""

from __future__ import annotations

from garnetlanding.conform.client import Client
from garnetlanding.conform.errors import check
from garnetlanding.conform.registry import PLAIN_ONLY, case
from garnetlanding.ninep import codec as p9
from garnetlanding.ninep import errors

DATA = bytes(range(256)) * 8


@case("write(5): written data are read back")
def read_what_was_written(client: Client) -> None:
    """write(5): the bytes of a write are in the file from its offset on, and a read returns them."""
    fid = client.create_file("f", DATA)
    check(client.read(fid) == DATA, "unexpected data")


@case("read(5): a read starts at its offset")
def read_at_offset(client: Client) -> None:
    """read(5): a read returns bytes of the file from the given offset on."""
    fid = client.create_file("f", DATA)
    check(client.call(p9.Rread, p9.Tread(fid, 100, 50)).data == DATA[100:150], "unexpected data")


@case("read(5): a read past the end returns no data")
def read_past_end(client: Client) -> None:
    """read(5): a read at or past the end of the file returns a count of zero."""
    fid = client.create_file("f", b"short")
    for offset in (5, 6, 1 << 40):
        check(
            client.call(p9.Rread, p9.Tread(fid, offset, 10)).data == b"", f"data returned at offset {offset}"
        )


@case("read(5): a read at the end of the file may return fewer bytes than requested")
def read_short_at_end(client: Client) -> None:
    """read(5): a read returns fewer bytes than requested if the file ends before."""
    fid = client.create_file("f", b"short")
    check(client.call(p9.Rread, p9.Tread(fid, 3, 100)).data == b"rt", "unexpected data")


@case("read(5): a count of zero returns no data")
def read_nothing(client: Client) -> None:
    """read(5): a count of zero returns no data."""
    check(
        client.call(p9.Rread, p9.Tread(client.create_file("f", b"x"), 0, 0)).data == b"",
        "a read of zero bytes returned data",
    )


@case("read(5): a read returns at most the requested count")
def read_no_more_than_asked(client: Client) -> None:
    """read(5): at most count bytes are returned."""
    fid = client.create_file("f", DATA)
    for count in (1, 2, 3, 100):
        data = client.call(p9.Rread, p9.Tread(fid, 0, count)).data
        check(data == DATA[:count], f"unexpected data: {len(data)} bytes for a count of {count}")


@case("read(5): a reply does not exceed msize")
def read_bounded_by_msize(client: Client) -> None:
    """version(5): the reply with its header fits in msize, whatever the requested count."""
    fid = client.create_file("f", b"z" * 3 * client.msize)
    data = client.call(p9.Rread, p9.Tread(fid, 0, 3 * client.msize)).data
    check(0 < len(data) <= client.msize - 11, f"{len(data)} bytes, msize {client.msize}")


@case("write(5): the reply has the number of bytes written")
def write_count(client: Client) -> None:
    """write(5): Rwrite contains the number of bytes that were written."""
    fid = client.create_file("f")
    check(client.call(p9.Rwrite, p9.Twrite(fid, 0, b"12345")).count == 5, "unexpected count")


@case("write(5): a write in the middle changes no unexpected data")
def write_in_middle(client: Client) -> None:
    """write(5): the bytes from the offset on are replaced, and no others."""
    fid = client.create_file("f", b"0123456789")
    client.write(fid, b"ab", 4)
    check(client.read(fid) == b"0123ab6789", "unexpected data")


@case("write(5): the gap before a write past the end reads as zeros")
def write_past_end(client: Client) -> None:
    """write(5): a write past the end leaves a gap, which reads as zeros."""
    fid = client.create_file("f", b"ab")
    client.write(fid, b"z", 10)
    check(client.read(fid) == b"ab" + bytes(8) + b"z", "unexpected data")


@case("write(5): a write of zero bytes changes nothing")
def write_nothing(client: Client) -> None:
    """write(5): a write of zero bytes returns a count of zero and does not change the file."""
    fid = client.create_file("f", b"ab")
    check(
        client.call(p9.Rwrite, p9.Twrite(fid, 100, b"")).count == 0,
        "a write of zero bytes returned another count",
    )
    check(client.read(fid) == b"ab", "unexpected data")


@case("write(5): a write may fill a message up to msize")
def write_full_message(client: Client) -> None:
    """write(5): a write may carry as much data as fits in msize."""
    fid = client.create_file("f")
    data = b"m" * (client.msize - p9.IO_HEADER_BYTES)
    count = client.call(p9.Rwrite, p9.Twrite(fid, 0, data)).count
    check(0 < count <= len(data) and client.read(fid) == data[:count], "unexpected data")


@case("write(5): a write past the end extends the file")
def write_grows(client: Client) -> None:
    """write(5): the file is extended to the end of the written data."""
    fid = client.create_file("f", b"ab")
    client.write(fid, b"cd", 4)
    check(client.attributes(fid).length == 6, f"length {client.attributes(fid).length}")


@case("write(5): a confirmed write is visible on other connections")
def write_seen_elsewhere(client: Client) -> None:
    """write(5): a write confirmed by Rwrite is visible to reads on other connections."""
    fid = client.create_file("f", b"first")
    other = client.connect_second_client()
    other_fid = other.walk_to("f")
    other.open(other_fid)
    check(other.read(other_fid) == b"first", "unexpected data before the write")
    client.write(fid, b"other")
    check(other.read(other_fid) == b"other", "the read returned data from before the write")
    other.close()


@case("write(5): a directory cannot be written")
def write_directory(client: Client) -> None:
    """write(5): directories may not be written."""
    fid = client.walk_to()
    client.open(fid)
    client.call_expecting_error(p9.Twrite(fid, 0, b"x"))


@case("read(5): an unknown fid is an error")
def read_unknown_fid(client: Client) -> None:
    """read(5): the fid must be established; an unknown one is an error."""
    client.call_expecting_error(p9.Tread(client.new_fid(), 0, 1), errors.EBADF)


@case("write(5): an unknown fid is an error")
def write_unknown_fid(client: Client) -> None:
    """write(5): the fid must be established; an unknown one is an error."""
    client.call_expecting_error(p9.Twrite(client.new_fid(), 0, b"x"), errors.EBADF)


@case("read(5): a read at an offset past any possible end returns no data or an error")
def read_offset_huge(client: Client) -> None:
    """read(5): the offset is an unsigned 64-bit integer; a read past the end returns no data."""
    fid = client.create_file("f", b"x")
    for offset in (1 << 63, (1 << 64) - 1):
        reply = client.request(p9.Tread(fid, offset, 4))
        check(
            client.error_of(reply) is not None or client.expect(p9.Rread, reply).data == b"",
            f"data returned at offset {offset}",
        )


@case("write(5): a write at an unreachable offset is an error without effect")
def write_offset_huge(client: Client) -> None:
    """write(5): a write at an offset that the server does not support is an error and has no effect."""
    fid = client.create_file("f", b"x")
    for offset in (1 << 63, (1 << 64) - 1):
        client.call_expecting_error(p9.Twrite(fid, offset, b"yy"))
    check(client.read(fid) == b"x", "the write took effect")


@case("write(5): successive writes form one large file")
def write_large_file(client: Client) -> None:
    """write(5): successive writes at successive offsets form one file."""
    data = bytes(i * 7 % 251 for i in range(200_000))
    check(client.read(client.create_file("f", data)) == data, "unexpected data")


@case("write(5): data are stored byte for byte")
def write_every_byte(client: Client) -> None:
    """write(5): data are uninterpreted; no byte is changed, dropped or added."""
    check(client.read(client.create_file("f", bytes(range(256)))) == bytes(range(256)), "unexpected data")


@case("intro(5): several reads may be in flight on a connection")
def read_pipelined(client: Client) -> None:
    """intro(5): many reads may be outstanding on one connection, each with its own tag."""
    fid = client.create_file("f", DATA)
    tags = {tag: tag * 13 % 1900 for tag in range(100, 130)}
    for tag, offset in tags.items():
        client.send(p9.Tread(fid, offset, 40), tag)
    for tag, offset in tags.items():
        check(
            client.expect(p9.Rread, client.wait_for_reply(tag)).data == DATA[offset : offset + 40],
            f"unexpected data at offset {offset}",
        )


@case("intro(5): several writes may be in flight on a connection")
def write_pipelined(client: Client) -> None:
    """intro(5): many writes may be outstanding on one connection, each with its own tag."""
    fid = client.create_file("f")
    for index in range(30):
        client.send(p9.Twrite(fid, index * 10, b"%010d" % index), 200 + index)
    for index in range(30):
        check(client.expect(p9.Rwrite, client.wait_for_reply(200 + index)).count == 10, "unexpected count")
    check(client.read(fid) == b"".join(b"%010d" % index for index in range(30)), "unexpected data")


@case("intro(5): requests on several fids may be in flight")
def several_fids_pipelined(client: Client) -> None:
    """intro(5): requests on several fids may be outstanding at the same time."""
    fids = [client.create_file(f"f{index}", b"%04d" % index) for index in range(8)]
    for index, fid in enumerate(fids):
        client.send(p9.Tread(fid, 0, 10), 300 + index)
    for index in range(8):
        check(
            client.expect(p9.Rread, client.wait_for_reply(300 + index)).data == b"%04d" % index,
            "unexpected data from another file",
        )


@case("intro(5): a write changes the qid version of the file", PLAIN_ONLY)
def qid_version_changes(client: Client) -> None:
    """intro(5): the version of a qid is incremented each time the file is modified."""
    fid = client.create_file("f", b"one")
    before = client.attributes(fid).qid.version
    client.write(fid, b"two")
    check(client.attributes(fid).qid.version != before, "the qid version did not change")


@case("read(5): a repeated read returns the same data")
def read_again(client: Client) -> None:
    """read(5): a read depends on its offset only; repeating it returns the same bytes."""
    fid = client.create_file("f", DATA)
    first_read = client.call(p9.Rread, p9.Tread(fid, 10, 30)).data
    client.call(p9.Rread, p9.Tread(fid, 500, 30))
    check(client.call(p9.Rread, p9.Tread(fid, 10, 30)).data == first_read, "unexpected data")
