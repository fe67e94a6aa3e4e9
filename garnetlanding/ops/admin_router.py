"""Maps the paths of operators' calls to the calls of AdminTarget, and their results to HTTP responses.

Paths and response texts are an interface to operators, whose tools match them.

| method | path                                                | call                       |
| ------ | --------------------------------------------------- | -------------------------- |
| GET    | `/-/ready`, `/-/metrics`                            | `ready`, `metrics`         |
| GET    | `/-/fleet/` `limits`, `members`, `verdicts`, `bans` | `fleet_view`               |
| POST   | `/-/fleet/heads/NUMBER/forget`                      | `forget_instance`          |
| POST   | `/-/fleet/heads/NUMBER/` `shut-out`, `let-in`       | `fence`, `unfence`         |
| POST   | `/-/bricks/ID/` `disable`, `enable`                 | `disable`, `enable`        |
| POST   | `/-/drain`, `/-/resume`                             | `drain`, `resume`          |
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from http import HTTPStatus
from urllib.parse import unquote

from garnetlanding.ops.admin_target import AdminTarget
from garnetlanding.ops.fleet_access import FleetView

READY_PATH = "/-/ready"
METRICS_PATH = "/-/metrics"
DRAIN_PATH = "/-/drain"
RESUME_PATH = "/-/resume"
FLEET_VIEWS = {f"/-/fleet/{view.value}": view for view in FleetView}
BACKEND_PATH = re.compile(r"/-/bricks/([^/]+)/(disable|enable)")
INSTANCE_PATH = re.compile(r"/-/fleet/heads/(\d{1,5})/(forget|shut-out|let-in)")


@dataclass(frozen=True, slots=True)
class AdminResponse:
    """The HTTP status and body text of a response."""

    status: int
    text: str


NO_SUCH_CALL = AdminResponse(HTTPStatus.NOT_FOUND, "no such call\n")
ONLY_GET = AdminResponse(HTTPStatus.METHOD_NOT_ALLOWED, "only GET\n")
ONLY_POST = AdminResponse(HTTPStatus.METHOD_NOT_ALLOWED, "only POST\n")


class AdminRouter:
    """Dispatches calls to one target. `max_id_bytes` limits the length of a backend's id."""

    def __init__(self, target: AdminTarget, max_id_bytes: int) -> None:
        self._target = target
        self._max_id_bytes = max_id_bytes

    def dispatch(self, method: str, path: str) -> AdminResponse:
        """Execute the call of a request; `path` has no query. Exceptions of the target propagate."""
        for route in (self._route_status, self._route_fleet, self._route_instance, self._route_backend):
            response = route(method, path)
            if response is not None:
                return response
        return self._route_drain(method, path)

    # Each route returns None for a path that it does not handle.

    def _route_status(self, method: str, path: str) -> AdminResponse | None:
        if path not in (READY_PATH, METRICS_PATH):
            return None
        if method != "GET":
            return ONLY_GET
        if path == METRICS_PATH:
            return AdminResponse(HTTPStatus.OK, self._target.metrics())
        if self._target.ready():
            return AdminResponse(HTTPStatus.OK, "ready\n")
        return AdminResponse(HTTPStatus.SERVICE_UNAVAILABLE, "not ready\n")

    def _route_fleet(self, method: str, path: str) -> AdminResponse | None:
        view = FLEET_VIEWS.get(path)
        if view is None:
            return None
        text = self._target.fleet_view(view)
        if text is None:
            return NO_SUCH_CALL
        return AdminResponse(HTTPStatus.OK, text) if method == "GET" else ONLY_GET

    def _route_instance(self, method: str, path: str) -> AdminResponse | None:
        matched = INSTANCE_PATH.fullmatch(path)
        if not matched:
            return None
        if method != "POST":
            return NO_SUCH_CALL
        instance = int(matched[1])
        action = matched[2]
        known = self._act_on_instance(action, instance)
        if known is None:
            return NO_SUCH_CALL
        if not known:
            return AdminResponse(HTTPStatus.NOT_FOUND, "no such head\n")
        return AdminResponse(HTTPStatus.OK, f"{action} {instance}\n")

    def _act_on_instance(self, action: str, instance: int) -> bool | None:
        match action:
            case "forget":
                return self._target.forget_instance(instance)
            case "shut-out":
                return self._target.fence(instance)
        return self._target.unfence(instance)

    def _route_backend(self, method: str, path: str) -> AdminResponse | None:
        matched = BACKEND_PATH.fullmatch(path)
        if not matched:
            return None
        if method != "POST":
            return ONLY_POST
        backend = unquote(matched[1], errors="replace")
        action = matched[2]
        if not self._is_valid_id(backend):
            return AdminResponse(HTTPStatus.BAD_REQUEST, "not a brick's id\n")
        known = self._target.disable(backend) if action == "disable" else self._target.enable(backend)
        if not known:
            return AdminResponse(HTTPStatus.NOT_FOUND, f"no brick {backend}\n")
        return AdminResponse(HTTPStatus.OK, f"{backend} {action}d\n")

    def _is_valid_id(self, text: str) -> bool:
        return len(text) <= self._max_id_bytes and text.isascii() and text.isprintable() and " " not in text

    def _route_drain(self, method: str, path: str) -> AdminResponse:
        if path not in (DRAIN_PATH, RESUME_PATH):
            return NO_SUCH_CALL
        if method != "POST":
            return ONLY_POST
        if path == DRAIN_PATH:
            self._target.drain()
            return AdminResponse(HTTPStatus.OK, "drain\n")
        self._target.resume()
        return AdminResponse(HTTPStatus.OK, "resume\n")
