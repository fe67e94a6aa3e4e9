"""Sends an operator's call to an instance over HTTP. Used by the command line only, not by instances."""

from __future__ import annotations

import http.client
from dataclasses import dataclass
from http import HTTPStatus
from urllib.parse import quote

from garnetlanding.ops.admin_calls import INSTANCE_CALLS, READ_CALLS, fleet_call_name
from garnetlanding.ops.errors import InstanceUnreachableError
from garnetlanding.runtime.stream import parse_address


@dataclass(frozen=True, slots=True)
class Reply:
    """The HTTP status and body of an instance's response."""

    status: int
    text: str

    @property
    def ok(self) -> bool:
        """Whether the call succeeded; for a query such as `ready`, whether the answer is yes."""
        return HTTPStatus.OK <= self.status < HTTPStatus.MULTIPLE_CHOICES


def method_and_path(call: str, target: str | None = None) -> tuple[str, str]:
    """Return the HTTP method and path of a call; `target` is the backend's id or the instance's number."""
    if target is None:
        return ("GET" if call in READ_CALLS else "POST"), f"/-/{call}"
    if call in INSTANCE_CALLS:
        return "POST", f"/-/fleet/heads/{target}/{fleet_call_name(call)}"
    return "POST", f"/-/bricks/{quote(target, safe='')}/{call}"


def send_call(address: str, call: str, target: str | None = None, timeout_s: float = 2.0) -> Reply:
    """Send one call and return the response, whatever its status.

    Raises InstanceUnreachableError if no response arrives within `timeout_s`, and ValueError for a malformed
    address.
    """
    host, port = parse_address(address)
    method, path = method_and_path(call, target)
    connection = http.client.HTTPConnection(host, port, timeout=timeout_s)
    try:
        connection.request(method, path)
        response = connection.getresponse()
        return Reply(response.status, response.read().decode("utf-8", "replace"))
    except (OSError, http.client.HTTPException) as error:
        raise InstanceUnreachableError(address, error) from error
    finally:
        connection.close()
