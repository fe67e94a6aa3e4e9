"""Files that have been replaced or removed since the client opened them."""

from __future__ import annotations

import pytest

from garnetlanding.ninep import codec as p9
from tests.support.clock import SECOND
from tests.support.ninep_changes import writable_instance
from tests.support.ninep_instance import NinepClient, error_text, received_messages


@pytest.mark.parametrize("how", ["replaced", "restarted", "removed"])
def test_path_that_names_another_file_gives_an_error_not_its_bytes(how: str) -> None:
    """Regression: only the qid type was compared, so a read after a reset returned data of a new file."""
    instance, client = writable_instance()
    client.open(5, "readme", mode=p9.ORDWR)
    client.walk(6, "readme")
    if how == "restarted":
        instance.file_servers[0].restart(new_qids=True)
    else:
        instance.disk.unlink(instance.disk.root, "readme", "root")
        instance.file_servers[0].restart()
    if how == "replaced":
        instance.disk.write(
            instance.disk.make(instance.disk.root, "readme", 0o100666, "root"), 0, b"other", "root"
        )
    instance.settle()
    words = "does not exist" if how == "removed" else "replaced by another"
    for message in (p9.Tread(5, 0, 9), p9.Twrite(5, 0, b"x"), p9.Tstat(6), p9.Topen(6, p9.OREAD)):
        assert words in error_text(client.request(message))
    assert words in error_text(client.request(p9.Tremove(6)))
    assert ("readme" in instance.disk.root.names) == (how != "removed")


def test_file_removed_while_open_stays_readable_where_it_is_open() -> None:
    instance, client = writable_instance()
    client.open(5, "readme")
    assert client.request(p9.Tread(5, 0, 2)) == p9.Rread(b"he")
    instance.disk.unlink(instance.disk.root, "readme", "root")
    assert client.request(p9.Tread(5, 2, 9)) == p9.Rread(b"llo")


def test_only_one_of_two_concurrent_creates_succeeds() -> None:
    instance, client = writable_instance(servers=2)
    other = NinepClient(instance)
    client.walk(6)
    other.walk(6)
    instance.withhold_replies(p9.Tcreate)
    client.send(p9.Tcreate(6, "one", 0o644, p9.ORDWR), tag=71)
    instance.drain_server(0)
    instance.list_endpoints(instance.endpoints[1], complete=False)
    assert isinstance(other.request(p9.Tcreate(6, "one", 0o644, p9.ORDWR)), p9.Rcreate)
    instance.file_servers[0].release()
    instance.run(SECOND)
    assert client.replies[-1] == (71, p9.Rerror("file already exists"))
    assert (
        len(received_messages(instance, p9.Tcreate, 0))
        == len(received_messages(instance, p9.Tcreate, 1))
        == 1
    )
    assert len([r for r in instance.disk.changes if r[0] == "make"]) == 1
