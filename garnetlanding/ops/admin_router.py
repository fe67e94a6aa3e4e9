"""Maps the paths of operators' calls to the calls of AdminTarget, and their results to HTTP answers.

The paths and texts are the operators' interface, and what their tools compare; so are the words in them.

| method | path                                                | call                       |
| ------ | --------------------------------------------------- | -------------------------- |
| GET    | `/-/ready`, `/-/metrics`                            | `ready`, `metrics`         |
| GET    | `/-/fleet/` `limits`, `members`, `verdicts`, `bans` | `fleet_view`               |
| POST   | `/-/fleet/heads/NUMBER/forget`                      | `forget_instance`          |
| POST   | `/-/fleet/heads/NUMBER/` `shut-out`, `let-in`       | `set_fenced`               |
| POST   | `/-/bricks/ID/` `disable`, `enable`                 | `disable`, `enable`        |
| POST   | `/-/drain`, `/-/resume`                             | `drain`, `resume`          |
"""

from __future__ import annotations

import re
from dataclasses import dataclass
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
    """An HTTP status and the text of the answer's body."""

    status: int
    text: str


NO_SUCH_CALL = AdminResponse(404, "no such call\n")
ONLY_GET = AdminResponse(405, "only GET\n")
ONLY_POST = AdminResponse(405, "only POST\n")


class AdminRouter:
    """Passes each call on to one target. `max_id_bytes` bounds a backend's id."""

    def __init__(self, target: AdminTarget, max_id_bytes: int) -> None:
        self._target = target
        self._max_id_bytes = max_id_bytes

    def dispatch(self, method: str, path: str) -> AdminResponse:
        """Carry out the call of a request; `path` is without a query. Lets the target's exceptions pass."""
        for route in (self._observe, self._show_fleet, self._control_instance, self._control_backend):
            response = route(method, path)
            if response is not None:
                return response
        return self._control_drain(method, path)

    # Each route returns None for a path that is not its own.

    def _observe(self, method: str, path: str) -> AdminResponse | None:
        if path not in (READY_PATH, METRICS_PATH):
            return None
        if method != "GET":
            return ONLY_GET
        if path == METRICS_PATH:
            return AdminResponse(200, self._target.metrics())
        if self._target.ready():
            return AdminResponse(200, "ready\n")
        return AdminResponse(503, "not ready\n")

    def _show_fleet(self, method: str, path: str) -> AdminResponse | None:
        view = FLEET_VIEWS.get(path)
        if view is None:
            return None
        text = self._target.fleet_view(view)
        if text is None:
            return NO_SUCH_CALL
        return AdminResponse(200, text) if method == "GET" else ONLY_GET

    def _control_instance(self, method: str, path: str) -> AdminResponse | None:
        found = INSTANCE_PATH.fullmatch(path)
        if not found:
            return None
        if method != "POST":
            return NO_SUCH_CALL
        instance = int(found[1])
        action = found[2]
        if action == "forget":
            known = self._target.forget_instance(instance)
        else:
            known = self._target.set_fenced(instance, action == "shut-out")
        if known is None:
            return NO_SUCH_CALL
        if not known:
            return AdminResponse(404, "no such head\n")
        return AdminResponse(200, f"{action} {instance}\n")

    def _control_backend(self, method: str, path: str) -> AdminResponse | None:
        found = BACKEND_PATH.fullmatch(path)
        if not found:
            return None
        if method != "POST":
            return ONLY_POST
        backend = unquote(found[1], errors="replace")
        action = found[2]
        if not self._is_id(backend):
            return AdminResponse(400, "not a brick's id\n")
        known = self._target.disable(backend) if action == "disable" else self._target.enable(backend)
        if not known:
            return AdminResponse(404, f"no brick {backend}\n")
        return AdminResponse(200, f"{backend} {action}d\n")

    def _is_id(self, text: str) -> bool:
        return len(text) <= self._max_id_bytes and text.isascii() and text.isprintable() and " " not in text

    def _control_drain(self, method: str, path: str) -> AdminResponse:
        if path not in (DRAIN_PATH, RESUME_PATH):
            return NO_SUCH_CALL
        if method != "POST":
            return ONLY_POST
        if path == DRAIN_PATH:
            self._target.drain()
            return AdminResponse(200, "drain\n")
        self._target.resume()
        return AdminResponse(200, "resume\n")
