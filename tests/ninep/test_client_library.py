"""Interoperability with an independent 9P client library (p9fs), in both dialects."""

from __future__ import annotations

import p9fs
import pytest

from garnetlanding.ninep import codec as p9
from garnetlanding.ninep import codec_linux as p9l
from tests.support.ninep_instance import NinepInstance, run_beside


@pytest.mark.parametrize("version", [p9.VERSION, p9l.VERSION])
@pytest.mark.parametrize("server_dialect", [p9.VERSION, p9l.VERSION])
def test_p9fs_client_reads_and_writes_through_the_instance(version: str, server_dialect: str) -> None:
    instance = NinepInstance(access="rw", server_dialect=server_dialect)
    port = int(instance.listener.address.rpartition(":")[2])
    data = bytes(range(256)) * 400

    def session() -> None:
        fs = p9fs.P9FileSystem(
            "127.0.0.1", port, "1000", version=version, aname="glossaries", skip_instance_cache=True
        )
        assert sorted(name.strip("/") for name in fs.ls("", detail=False)) == ["readme", "sv"]
        assert fs.cat("sv/notes") == b"draft"
        fs.mkdir("made")
        with fs.open("made/file", "wb") as file:
            file.write(data)
        assert fs.cat("made/file") == data
        assert fs.info("made/file")["size"] == len(data)
        fs.rm("made/file")
        with pytest.raises(p9fs.P9FileNotFound):
            fs.info("made/file")

    run_beside(instance, session)
    assert not instance.disk.find("made").names
    assert instance.core.open_requests == 0
