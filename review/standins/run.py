"""Runs a case: its stand-ins, its scenario, its verdict; ends everything that was started."""

from __future__ import annotations

import asyncio
import signal
import sys
from collections.abc import Awaitable, Callable
from contextlib import ExitStack

from review.standins.record import BROKEN, COULD_NOT_RUN, HELD, Record, trouble

Scenario = Callable[[Record, ExitStack], Awaitable[list[str]]]
"""Plays a case and returns the breaches of its rule; what is left to end goes onto the stack."""

LONGEST_RUN_S = 110.0


def run_case(folder: str, scenario: Scenario) -> int:
    """Play a scenario and return the exit code: 1 for a broken rule, 0 if it held, 2 if it could not run.

    Whatever fails in the scenario itself says nothing about the rule.
    """
    signal.signal(signal.SIGTERM, signal.default_int_handler)  # so that what was started is ended
    record = Record(folder)
    record.say(f"disruption: {'yes' if trouble() else 'no (TROUBLE=0)'}")

    async def play() -> list[str]:
        with ExitStack() as started:
            return await scenario(record, started)

    try:
        breaches = asyncio.run(asyncio.wait_for(play(), LONGEST_RUN_S))
    except (Exception, KeyboardInterrupt) as problem:
        record.say(f"could not run: {type(problem).__name__}: {problem}")
        return COULD_NOT_RUN
    else:
        for breach in breaches[:20]:
            record.say(f"broken: {breach}")
        record.say(f"breaches: {len(breaches)}; {'the rule was broken' if breaches else 'the rule held'}")
        return BROKEN if breaches else HELD
    finally:
        record.close()


def main(scenario: Scenario) -> None:
    """Run the case whose folder is the script's only argument."""
    sys.exit(run_case(sys.argv[1], scenario))
