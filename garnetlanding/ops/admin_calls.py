"""The names of operators' calls, as they appear on the command line and in the paths of HTTP requests."""

from __future__ import annotations

# Calls that apply to one backend, given its id, or to one instance, given its number.
BACKEND_CALLS = ("disable", "enable")
INSTANCE_CALLS = ("fleet/forget", "fleet/shut-out", "fleet/let-in")

# Read-only calls; those on the fleet return a table in JSON.
FLEET_TABLES = ("fleet/limits", "fleet/members", "fleet/verdicts", "fleet/bans")
READ_CALLS = ("ready", "metrics", *FLEET_TABLES)


def fleet_call_name(call: str) -> str:
    """Return a fleet call's name without the prefix `fleet/`, which is that of its table or action."""
    return call.partition("/")[2]
