"""Makes an operator's call to an instance over HTTP. For the command line; no instance imports it."""

from __future__ import annotations

import http.client
from dataclasses import dataclass
from urllib.parse import quote

from garnetlanding.ops.errors import InstanceUnreachableError
from garnetlanding.runtime.stream import parse_address

FLEET_TABLES = ("fleet/limits", "fleet/members", "fleet/verdicts", "fleet/bans")
CALLS_ON_INSTANCES = ("fleet/forget", "fleet/shut-out", "fleet/let-in")
READING_CALLS = ("ready", "metrics", *FLEET_TABLES)


@dataclass(frozen=True, slots=True)
class Reply:
    """An instance's answer: its HTTP status and body."""

    status: int
    text: str

    @property
    def ok(self) -> bool:
        """Whether the call was carried out, or the answer is a yes."""
        return 200 <= self.status < 300


def method_and_path(call: str, name: str = "") -> tuple[str, str]:
    """Return the HTTP method and path of a call; `name` is the backend's id or the instance's number."""
    if call in CALLS_ON_INSTANCES:
        action = call.partition("/")[2]
        return "POST", f"/-/fleet/heads/{name}/{action}"
    if name:
        return "POST", f"/-/bricks/{quote(name, safe='')}/{call}"
    return ("GET" if call in READING_CALLS else "POST"), f"/-/{call}"


def send_call(address: str, call: str, name: str = "", timeout_s: float = 2.0) -> Reply:
    """Make one call and return the answer, whatever its status.

    Raises InstanceUnreachableError where there is none within the time, and ValueError for a malformed
    address.
    """
    host, port = parse_address(address)
    method, path = method_and_path(call, name)
    connection = http.client.HTTPConnection(host, port, timeout=timeout_s)
    try:
        connection.request(method, path)
        response = connection.getresponse()
        return Reply(response.status, response.read().decode("utf-8", "replace"))
    except (OSError, http.client.HTTPException) as problem:
        raise InstanceUnreachableError(address, problem) from problem
    finally:
        connection.close()
