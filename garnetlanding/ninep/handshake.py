"""The handshake of a connection to a file server: version negotiation, then attach."""

from __future__ import annotations

from garnetlanding.ninep import codec, codec_linux
from garnetlanding.ninep.client_dialect import ClientDialect
from garnetlanding.ninep.client_dialect_linux import LinuxClientDialect
from garnetlanding.ninep.client_dialect_plain import PlainClientDialect
from garnetlanding.ninep.session import ROOT, Session, Steps, expect
from garnetlanding.runtime.errors import BackendProtocolError

CLIENT_DIALECTS: dict[str, ClientDialect] = {
    codec.VERSION: PlainClientDialect(),
    codec_linux.VERSION: LinuxClientDialect(),
}


def negotiate_and_attach(session: Session) -> Steps[ClientDialect]:
    """Negotiate a version and attach, unless this has been done; return the session's dialect.

    Raises BackendProtocolError if the server supports none of the offered versions, OperationFailedError if
    it rejects the attach.
    """
    if session.version is not None:
        return CLIENT_DIALECTS[session.version]
    version = yield from _negotiate_version(session)
    dialect = CLIENT_DIALECTS[version]
    session.version = version
    session.table = dialect.table
    attached = expect((yield dialect.attach(ROOT, session.identity)), codec.Rattach)
    session.root = attached.qid
    return dialect


def _negotiate_version(session: Session) -> Steps[str]:
    for version in session.offered_versions:
        reply = expect((yield codec.Tversion(session.msize, version)), codec.Rversion)
        if not session.limits.min_msize <= reply.msize <= session.msize:
            raise BackendProtocolError("msize in Rversion is out of bounds")
        if reply.version in session.offered_versions:
            session.msize = reply.msize
            return reply.version
        if reply.version != "unknown":
            raise BackendProtocolError("Rversion has a version that was not offered")
    raise BackendProtocolError("server supports none of the offered versions")
