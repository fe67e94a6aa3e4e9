"""Tests the exact text of protocol values in results, which programs compare between runs."""

from __future__ import annotations

import pytest

from garnetlanding.conform.descriptions import (
    FileAttributes,
    attributes_text,
    getattr_text,
    getlock_text,
    qid_text,
    qids_text,
    stat_text,
    statfs_text,
)
from garnetlanding.ninep import codec as p9
from garnetlanding.ninep import codec_linux as p9l
from garnetlanding.ninep.stat_format import RawStat

QID = p9.Qid(0x80, 3, 77)
QID_TEXT = "Qid(type=128, version=3, path=77)"
RAW_STAT = RawStat(1, 2, QID, 0o640, 4, 5, 6, "it's", "ann", "", "bob")
GETATTR = p9l.Rgetattr(0x7FF, QID, *range(1, 19))

CASES = {
    "qid": (qid_text(QID), QID_TEXT),
    "no-qids": (qids_text(()), "()"),
    "one-qid": (qids_text((QID,)), f"({QID_TEXT},)"),
    "two-qids": (qids_text((QID, QID)), f"({QID_TEXT}, {QID_TEXT})"),
    "attributes": (
        attributes_text(FileAttributes(QID, True, 0o750, 9, 10)),
        f"Facts(qid={QID_TEXT}, is_dir=True, perm=488, length=9, mtime=10)",
    ),
    "stat": (
        stat_text(RAW_STAT),
        f"RawStat(type=1, dev=2, qid={QID_TEXT}, mode=416, atime=4, mtime=5, length=6, "
        "name=\"it's\", uid='ann', gid='', muid='bob')",
    ),
    "getattr": (
        getattr_text(GETATTR),
        f"Rgetattr(valid=2047, qid={QID_TEXT}, mode=1, uid=2, gid=3, nlink=4, rdev=5, size=6, blksize=7, "
        "blocks=8, atime_s=9, atime_ns=10, mtime_s=11, mtime_ns=12, ctime_s=13, ctime_ns=14, btime_s=15, "
        "btime_ns=16, gen=17, data_version=18)",
    ),
    "statfs": (
        statfs_text(p9l.Rstatfs(*range(1, 10))),
        "Rstatfs(type=1, bsize=2, blocks=3, bfree=4, bavail=5, files=6, ffree=7, fsid=8, namelen=9)",
    ),
    "getlock": (
        getlock_text(p9l.Rgetlock(1, 2, 3, 4, "a")),
        "Rgetlock(type=1, start=2, length=3, proc_id=4, client_id='a')",
    ),
}


@pytest.mark.parametrize(("text", "expected"), CASES.values(), ids=CASES)
def test_protocol_value_has_exact_text(text: str, expected: str) -> None:
    assert text == expected
