"""Cases for version, attach and auth, and for the end of a connection."""

from __future__ import annotations

from garnetlanding.conform.client import ROOT, Client
from garnetlanding.conform.errors import check
from garnetlanding.conform.registry import PLAIN_ONLY, case
from garnetlanding.ninep import codec as p9
from garnetlanding.ninep import codec_linux as p9l
from garnetlanding.ninep import errors
from garnetlanding.ninep.wire_format import message_name


def request_version(client: Client, msize: int, text: str) -> p9.Message:
    """Send a Tversion and return its reply."""
    return client.request(p9.Tversion(msize, text), p9.NOTAG)


@case("version(5): a supported version is echoed", without_session=True)
def version_echoed(client: Client) -> None:
    """version(5): the server replies to a version that it supports with the same version."""
    reply = client.expect(p9.Rversion, request_version(client, 8192, client.options.version))
    check(reply.version == client.options.version, f"replied with version {reply.version!r}")


@case("version(5): the server's msize does not exceed the client's", without_session=True)
def version_msize_not_raised(client: Client) -> None:
    """version(5): the server's msize must not be greater than the client's."""
    for msize in (1024, 8192, 1 << 20):
        reply = client.expect(p9.Rversion, request_version(client, msize, client.options.version))
        check(reply.msize <= msize, f"msize {reply.msize} in reply to {msize}")


@case("version(5): the reply to an unsupported version is 'unknown'", without_session=True)
def version_unknown(client: Client) -> None:
    """version(5): a server that does not support the version replies with the text 'unknown'."""
    reply = client.expect(p9.Rversion, request_version(client, 8192, "8P1987"))
    check(reply.version == "unknown", f"replied with version {reply.version!r}")


@case("version(5): only the suffix after a period may be dropped from the version", without_session=True)
def version_suffix(client: Client) -> None:
    """version(5): the server may ignore a suffix after a period and reply with the version before it."""
    reply = client.expect(p9.Rversion, request_version(client, 8192, "9P2000.nobody"))
    check(reply.version in ("9P2000", "unknown"), f"replied with version {reply.version!r}")


@case("version(5): after 'unknown' a version can still be negotiated", without_session=True)
def version_after_unknown(client: Client) -> None:
    """version(5): after the reply 'unknown' the client may propose another version."""
    request_version(client, 8192, "8P1987")
    client.negotiate()
    client.attach()


@case("version(5): an msize too small for any message is not raised", without_session=True)
def version_msize_tiny(client: Client) -> None:
    """version(5): the negotiated msize is at most the proposed one, even if that is too small for use."""
    client.send(p9.Tversion(10, client.options.version), p9.NOTAG)
    client.drain_replies()
    for reply in client.replies_to(p9.NOTAG):
        check(
            not isinstance(reply, p9.Rversion) or reply.msize <= 10 or reply.version == "unknown",
            "the server raised the proposed msize",
        )


@case("version(5): Tversion is the first message of a connection", without_session=True)
def version_first(client: Client) -> None:
    """version(5): Tversion must be the first message of a connection; others wait for its reply."""
    client.send(p9.Tstat(ROOT) if not client.linux else p9l.Tgetattr(ROOT, 0), 5)
    client.drain_replies()
    check(
        client.server_closed or all(client.error_of(reply) for reply in client.replies_to(5)),
        "the request was served before version negotiation",
    )


@case("version(5): Tversion starts a new session and clunks all fids")
def version_drops_fids(client: Client) -> None:
    """version(5): Tversion starts a new session: all fids of the old one are clunked."""
    fid = client.walk_to()
    client.negotiate()
    client.call_expecting_error(p9.Tclunk(fid), errors.EBADF)
    client.attach()


@case("version(5): no request of the old session is answered after Rversion")
def version_aborts_requests(client: Client) -> None:
    """version(5): Tversion aborts all outstanding requests; none is answered after Rversion."""
    fid = client.create_file("f", b"x" * 1000)
    for tag in range(20, 30):
        client.send(p9.Tread(fid, 0, 1000), tag)
    client.negotiate()
    positions = [index for index, (_, reply) in enumerate(client.replies) if isinstance(reply, p9.Rversion)]
    client.drain_replies()
    check(len(client.replies) == positions[-1] + 1, "a reply of the old session followed Rversion")


@case("version(5): a smaller msize applies from its Rversion on")
def version_smaller_msize(client: Client) -> None:
    """version(5): a later Tversion may lower msize, and later replies must fit in the new one."""
    client.create_file("f", b"y" * 4000)
    reply = client.expect(p9.Rversion, request_version(client, 512, client.options.version))
    check(reply.msize <= 512, f"msize {reply.msize} in reply to 512")
    client.attach()
    fid = client.walk_to("f")
    client.open(fid)
    data = client.call(p9.Rread, p9.Tread(fid, 0, 4000)).data
    check(
        0 < len(data) <= reply.msize - 11, f"{len(data)} bytes of data in a message of at most {reply.msize}"
    )


@case("attach(5): the root of a tree is a directory")
def attach_gives_directory(client: Client) -> None:
    """attach(5): the qid of Rattach is that of the tree's root, which is a directory."""
    qid = client.attach(client.new_fid())
    check(bool(qid.type & p9.QTDIR), f"qid type {qid.type:#x}")


@case("attach(5): each attach to a tree yields the same root")
def attach_same_root(client: Client) -> None:
    """attach(5): each attach to the same tree connects its fid to the same root."""
    check(
        client.attach(client.new_fid()).path == client.attach(client.new_fid()).path,
        "two attaches to the tree yield different roots",
    )


@case("attach(5): the fid must not be in use")
def attach_fid_in_use(client: Client) -> None:
    """attach(5): an error is returned if the fid is already in use."""
    client.call_expecting_error(client.attach_message(ROOT))


@case("attach(5): NOFID is not a valid fid")
def attach_nofid(client: Client) -> None:
    """attach(5): NOFID stands for 'no fid' and cannot be attached."""
    client.call_expecting_error(client.attach_message(p9.NOFID))


@case("attach(5): an afid must have been established by auth")
def attach_afid_unknown(client: Client) -> None:
    """attach(5): afid must be one that a Tauth has established, or NOFID."""
    client.call_expecting_error(client.attach_message(client.new_fid(), afid=client.new_fid()))


@case("auth(5): a server without authentication replies with an error")
def auth_is_answered(client: Client) -> None:
    """attach(5): a server that needs no authentication replies to Tauth with an error."""
    options = client.options
    fid = client.new_fid()
    message: p9.Message = p9.Tauth(fid, options.uname, options.aname)
    if client.linux:
        message = p9l.Tlauth(fid, options.uname, options.aname, options.uid)
    reply = client.request(message)
    check(
        isinstance(reply, p9.Rauth) or client.error_of(reply) is not None,
        f"unexpected reply {message_name(type(reply))}",
    )


@case("attach(5): a fid is valid on its own connection only")
def fids_are_per_connection(client: Client) -> None:
    """intro(5): fids belong to the connection; the same number is not a valid fid on another connection."""
    other = client.connect_second_client()
    fid = client.walk_to()
    other.call_expecting_error(p9.Tclunk(fid), errors.EBADF)
    other.close()


@case("intro(5): a request of the other dialect has no effect", PLAIN_ONLY)
def other_dialects_messages(client: Client) -> None:
    """intro(5): message types beyond the agreed version's are errors and have no effect."""
    client.send(p9l.Tmkdir(client.walk_to(), "linux", 0o755, 0), 9)
    client.expect_error(client.wait_for_reply(9))
    check(not client.exists("linux"), "the request of the other dialect took effect")


@case("clunk(5): closing a connection clunks its fids and keeps its files")
def end_keeps_files(client: Client) -> None:
    """clunk(5): clunking, also by the end of a connection, ends the fid and not its file."""
    other = client.connect_second_client()
    other.create_file("kept", b"kept")
    other.close()
    check(client.read_file("kept") == b"kept", "unexpected file content")
