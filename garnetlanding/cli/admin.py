"""Calls to an instance's admin service: `ops` and `ops fleet`. Each command sends one call.

A command's name is the last part of its call's HTTP path.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import click

from garnetlanding.cli.root import EXIT_FAILURE, EXIT_USAGE, commands, print_error, with_options
from garnetlanding.ops.admin_calls import BACKEND_CALLS, INSTANCE_CALLS

CALL_HELP = {
    "ready": "Ask whether the head takes clients.",
    "metrics": "Show the head's figures: requests by class and outcome, attempts, bricks.",
    "disable": "Take a brick out: nothing more is sent to it, whatever the list says, until it is put back.",
    "enable": "Put a brick back, however often it was taken out. It comes back cold.",
    "drain": "Send clients away: PING is answered with an error, and connections are closed within 4 s.",
    "resume": "End a drain.",
}
FLEET_CALL_HELP = {
    "fleet/limits": "Show who has which part of each limited volume, and until when.",
    "fleet/members": "Show the heads: which life of each was heard last, and how long ago.",
    "fleet/verdicts": "Show what is believed of each server, from which heads, and how old it is.",
    "fleet/bans": "Show the servers that an operator of any head has put out or back.",
    "fleet/forget": "Take a head that has stopped for good out of the group: its part becomes the others'. "
    "Not one that may still run: both would use that part.",
    "fleet/shut-out": "Have a head act no more: it refuses at once, sends nothing, until it is let in.",
    "fleet/let-in": "Let a head act again that was shut out.",
}

call_options = with_options(
    click.option(
        "--address",
        metavar="HOST:PORT",
        required=True,
        envvar="RELAY_OPS",
        show_envvar=True,
        help="The head's address for operators (`ops` in its configuration).",
    ),
    click.option(
        "--wait",
        "wait_s",
        default=2.0,
        show_default=True,
        type=click.FloatRange(0.01, 600.0),
        help="Seconds that the answer may take; a head owes it within 1.",
    ),
    click.option("--json", "as_json", is_flag=True, help="Answer as one JSON object."),
)


@commands.group(
    help="Call a head that runs, as an operator. The exit code is 0 on a yes, 1 on a no or without an answer."
)
def ops() -> None:
    """Group the commands for calls to one instance."""


@ops.group(help="What a head knows of the others, where heads hear each other.")
def fleet() -> None:
    """Group the commands for calls about the instance's fleet."""


def _add_command(group: click.Group, call: str, help_text: str) -> None:
    def run(*, address: str, wait_s: float, as_json: bool, target: str | int | None = None) -> int:
        from garnetlanding.ops import admin_client, admin_output
        from garnetlanding.ops.errors import InstanceUnreachableError

        target_text = None if target is None else str(target)
        try:
            reply = admin_client.send_call(address, call, target_text, wait_s)
            render = admin_output.as_json if as_json else admin_output.as_text
            click.echo(render(call, reply))
        except InstanceUnreachableError as error:
            return print_error(EXIT_FAILURE, error)
        except ValueError as error:
            return print_error(EXIT_USAGE, error)
        return 0 if reply.ok else EXIT_FAILURE

    command: Callable[..., Any] = run
    if call in BACKEND_CALLS:
        command = click.argument("target", metavar="BRICK")(command)
    if call in INSTANCE_CALLS:
        command = click.argument("target", metavar="HEAD", type=click.IntRange(0, 65535))(command)
    group.command(call.rpartition("/")[2], help=help_text)(call_options(command))


for _call, _help in CALL_HELP.items():
    _add_command(ops, _call, _help)
for _call, _help in FLEET_CALL_HELP.items():
    _add_command(fleet, _call, _help)
