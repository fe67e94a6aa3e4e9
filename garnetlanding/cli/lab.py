"""Experiments on many processes: `lab run`, `lab compare` and `lab report`."""

from __future__ import annotations

import click

from garnetlanding.cli.root import EXIT_FAILURE, EXIT_USAGE, commands, print_error

RUN_HELP = """Run EXPERIMENT (TOML). The exit code is 0 when every rule held, 1 when one was broken
or the run could not be carried through, 2 when the file is wrong."""


@commands.group(help="Experiments on many processes of the program, with faults between them.")
def lab() -> None:
    """Group the commands for experiments and their results."""


@lab.command("run", help=RUN_HELP)
@click.argument("experiment", type=click.Path())
@click.option(
    "--out",
    metavar="DIR",
    help="Where histories and result go; new or empty.  [default: lab-runs/NAME-SEED-TIME]",
)
@click.option("--seed", type=click.IntRange(0), help="In place of the file's.")
@click.option("--json", "as_json", is_flag=True, help="The result as one JSON object.")
def lab_run(*, experiment: str, out: str | None, seed: int | None, as_json: bool) -> int:
    """Run one experiment; return 0 if every invariant held, 1 if not, and 2 for an invalid file."""
    from garnetlanding.config.section import ConfigError
    from garnetlanding.lab import report

    try:
        return report.run(experiment, out, seed, as_json)
    except ConfigError as error:
        return print_error(EXIT_USAGE, error)
    except (OSError, report.LabError) as error:
        return print_error(EXIT_FAILURE, f"lab: {error}")


@lab.command("compare", help="Put the results of runs side by side.")
@click.argument("folders", nargs=-1, required=True, type=click.Path(exists=True))
@click.option("--json", "as_json", is_flag=True, help="As one JSON object.")
def lab_compare(*, folders: tuple[str, ...], as_json: bool) -> int:
    """Compare the results of finished runs; return 2 for a folder without a result."""
    from garnetlanding.lab import report

    try:
        return report.compare(folders, as_json)
    except (OSError, ValueError, report.LabError) as error:
        return print_error(EXIT_USAGE, f"lab: {error}")


@lab.command("report", help="Show one run second by second, and write it as series.csv beside its histories.")
@click.argument("folder", type=click.Path(exists=True))
@click.option("--charts", is_flag=True, help="Draw answers, latency and parts as PNG beside the histories.")
@click.option("--json", "as_json", is_flag=True, help="As one JSON object.")
def lab_report(*, folder: str, charts: bool, as_json: bool) -> int:
    """Print one finished run as a time series; return 2 if its histories cannot be read."""
    from garnetlanding.lab import report

    try:
        return report.report(folder, charts, as_json)
    except (OSError, ValueError, report.LabError) as error:
        return print_error(EXIT_USAGE, f"lab: {error}")
