"""The names of operators' calls, as the command line and the paths of HTTP requests have them."""

from __future__ import annotations

# Calls on one backend or one instance: each takes its id or number.
BACKEND_CALLS = ("disable", "enable")
INSTANCE_CALLS = ("fleet/forget", "fleet/shut-out", "fleet/let-in")

# Calls that change nothing; those on the fleet are answered with a table in JSON.
FLEET_TABLES = ("fleet/limits", "fleet/members", "fleet/verdicts", "fleet/bans")
READ_CALLS = ("ready", "metrics", *FLEET_TABLES)


def name_in_fleet(call: str) -> str:
    """Return the name of a fleet call without `fleet/`: that of its table, or of its action."""
    return call.partition("/")[2]
