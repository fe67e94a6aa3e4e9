"""Version, attach and auth; what a connection begins and ends with."""

from __future__ import annotations

from garnetlanding.conform.client import ROOT, Client, check
from garnetlanding.conform.suite import case, plain
from garnetlanding.ninep import codec as p9
from garnetlanding.ninep import codec_linux as p9l
from garnetlanding.ninep import errors


def version(c: Client, msize: int, text: str) -> p9.Message:
    return c.ask(p9.Tversion(msize, text), p9.NOTAG)


@case("version(5): a version that the server has is echoed", bare=True)
def version_echoed(c: Client) -> None:
    reply = c.expect(p9.Rversion, version(c, 8192, c.options.version))
    check(reply.version == c.options.version, f"answered {reply.version!r}")


@case("version(5): the server's msize is not above the client's", bare=True)
def version_msize_not_raised(c: Client) -> None:
    for msize in (1024, 8192, 1 << 20):
        reply = c.expect(p9.Rversion, version(c, msize, c.options.version))
        check(reply.msize <= msize, f"{reply.msize} for {msize}")


@case("version(5): what the server does not understand is answered with 'unknown'", bare=True)
def version_unknown(c: Client) -> None:
    reply = c.expect(p9.Rversion, version(c, 8192, "8P1987"))
    check(reply.version == "unknown", f"answered {reply.version!r}")


@case("version(5): a suffix behind a dot may be dropped, and nothing else", bare=True)
def version_suffix(c: Client) -> None:
    reply = c.expect(p9.Rversion, version(c, 8192, "9P2000.nobody"))
    check(reply.version in ("9P2000", "unknown"), f"answered {reply.version!r}")


@case("version(5): after 'unknown' a version can still be agreed on", bare=True)
def version_after_unknown(c: Client) -> None:
    version(c, 8192, "8P1987")
    c.hello()
    c.attach()


@case("version(5): an msize no message fits in is not agreed to", bare=True)
def version_msize_tiny(c: Client) -> None:
    c.send(p9.Tversion(10, c.options.version), p9.NOTAG)
    c.quiet()
    for reply in c.answers(p9.NOTAG):
        check(
            not isinstance(reply, p9.Rversion) or reply.msize <= 10 or reply.version == "unknown",
            "an msize above the client's was agreed on",
        )


@case("version(5): Tversion comes first", bare=True)
def version_first(c: Client) -> None:
    c.send(p9.Tstat(ROOT) if not c.linux else p9l.Tgetattr(ROOT, 0), 5)
    c.quiet()
    check(c.ended or all(c.problem(m) for m in c.answers(5)), "served before a version was agreed on")


@case("version(5): Tversion ends the session: its fids are gone")
def version_drops_fids(c: Client) -> None:
    fid = c.at()
    c.hello()
    c.fails(p9.Tclunk(fid), errors.EBADF)
    c.attach()


@case("version(5): nothing of the old session is answered after Rversion")
def version_aborts_requests(c: Client) -> None:
    fid = c.make("f", b"x" * 1000)
    for tag in range(20, 30):
        c.send(p9.Tread(fid, 0, 1000), tag)
    c.hello()
    at = max(i for i, (_, m) in enumerate(c.got) if isinstance(m, p9.Rversion))
    c.quiet()
    check(len(c.got) == at + 1, "an answer of the old session came behind Rversion")


@case("version(5): a smaller msize holds from its answer on")
def version_smaller_msize(c: Client) -> None:
    c.make("f", b"y" * 4000)
    reply = c.expect(p9.Rversion, version(c, 512, c.options.version))
    check(reply.msize <= 512, f"{reply.msize} for 512")
    c.attach()
    fid = c.at("f")
    c.open(fid)
    data = c.must(p9.Rread, p9.Tread(fid, 0, 4000)).data
    check(0 < len(data) <= reply.msize - 11, f"{len(data)} bytes in an answer of at most {reply.msize}")


@case("attach(5): the root of a tree is a directory")
def attach_gives_directory(c: Client) -> None:
    qid = c.attach(c.new_fid())
    check(bool(qid.type & p9.QTDIR), f"qid type {qid.type:#x}")


@case("attach(5): the same tree has the same root")
def attach_same_root(c: Client) -> None:
    check(c.attach(c.new_fid()).path == c.attach(c.new_fid()).path, "two roots for one tree")


@case("attach(5): the fid must not be in use")
def attach_fid_in_use(c: Client) -> None:
    c.is_error(c.ask(c.attach_message(ROOT)))


@case("attach(5): NOFID is no fid")
def attach_nofid(c: Client) -> None:
    c.is_error(c.ask(c.attach_message(p9.NOFID)))


@case("attach(5): an afid must be one that auth has made")
def attach_afid_unknown(c: Client) -> None:
    c.is_error(c.ask(c.attach_message(c.new_fid(), afid=c.new_fid())))


@case("auth(5): a server without authentication answers with an error")
def auth_is_answered(c: Client) -> None:
    o, fid = c.options, c.new_fid()
    reply = c.ask(p9l.Tlauth(fid, o.uname, o.aname, o.uid) if c.linux else p9.Tauth(fid, o.uname, o.aname))
    check(isinstance(reply, p9.Rauth) or c.problem(reply) is not None, f"found {type(reply).__name__}")


@case("attach(5): fids belong to their connection")
def fids_are_per_connection(c: Client) -> None:
    other = c.another()
    fid = c.at()
    other.fails(p9.Tclunk(fid), errors.EBADF)
    other.close()


@case("intro(5): what a request of the other dialect asks is not done", plain)
def other_dialects_messages(c: Client) -> None:
    c.send(p9l.Tmkdir(c.at(), "linux", 0o755, 0), 9)
    c.is_error(c.wait(9))
    check(not c.exists("linux"), "it was done")


@case("clunk(5): when a connection ends its fids are clunked, and its files stay")
def end_keeps_files(c: Client) -> None:
    other = c.another()
    other.make("kept", b"kept")
    other.close()
    check(c.content("kept") == b"kept", "the file is another")
