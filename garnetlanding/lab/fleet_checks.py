"""What must hold of heads that find each other, and of budgets that all share: from histories. No I/O."""

from __future__ import annotations

from collections import Counter, defaultdict, deque

from garnetlanding.lab.experiment import Experiment
from garnetlanding.lab.findings import Findings
from garnetlanding.lab.heads import SETTINGS, above
from garnetlanding.lab.history import Line
from garnetlanding.lab.limits import LIMITS, SECOND


def heads_found(experiment: Experiment, lines: list[Line], found: Findings) -> None:
    """Even parts of what all share never add up to more than the whole, those of dead heads counted on. In
    the end all that run know the same heads, and none that has left; of two of one number one uses none."""
    if not experiment.group:
        return
    even: dict[str, float] = {}
    known: dict[str, set[int]] = {}
    end = max((line["t"] for line in lines if line["who"] == "clients"), default=0)
    for line in lines:
        if line["t"] > end:
            break  # the lab ends all of them
        if line["what"] == "start":
            even[line["who"]] = 0.0
        elif line["what"] == "heads":
            even[line["who"]], known[line["who"]] = line["even"], set(line["entitled"])
            found.evens_most = max(found.evens_most, sum(even.values()))
    if found.evens_most > 1 + LIMITS.parts_slack:
        found.broken.append(f"heads: even parts add up to {found.evens_most:.3f}")
    left = {f.who for f in experiment.faults if f.kind == "leave"}
    twins = {f.who: f.alias for f in experiment.faults if f.kind == "twin"}
    here = set(range(experiment.heads)) - left - set(twins)
    for head, other in twins.items():
        if even[f"n{head}"] and even[f"n{other}"]:
            found.broken.append(f"heads: n{head} and n{other} both use the part of one number")
    for head in sorted(here):
        if known.get(f"n{head}") != here:
            found.broken.append(
                f"heads: n{head} knows {sorted(known.get(f'n{head}', ()))} at the end, "
                f"there are {sorted(here)}"
            )


def budgets_held(experiment: Experiment, lines: list[Line], found: Findings) -> None:
    """What ran at a brick that had just come back, in any window, over all heads: no more than it bears."""
    plan = above(SETTINGS, experiment.settings)
    bears, window = plan["FamilyInfo"]["ColdBears"], plan["Rules"]["FallUs"] - LIMITS.send_us
    cold: dict[int, int] = {}  # by brick: until when
    recent: dict[int, deque[int]] = defaultdict(deque)
    down: dict[int, bool] = {}
    for line in lines:
        if line["what"] == "fault" and line["kind"] == "down":
            down[line["which"]] = any(
                f.kind == "restart" and f.who == line["which"] for f in experiment.faults
            )
        elif line["what"] == "fault" and line["kind"] == "up" and down.get(line["which"]):
            cold[line["which"]] = line["t"] + plan["Rules"]["ColdUs"]
        elif cold and line["what"] == "ran" and cold.get(line["brick"], 0) > line["t"]:
            times = recent[line["brick"]]
            times.append(line["t"])
            while times[0] <= line["t"] - window:
                times.popleft()
            found.cold_most = max(found.cold_most, len(times) * experiment.load.units / bears)
    # Where nothing is learnt of a brick's usual load, what it bears in any case is all that it may be sent.
    if plan["Rules"]["FallMultiple"] < LIMITS.parts_slack and found.cold_most > 1:
        found.broken.append(f"budgets: a cold brick was sent {found.cold_most:.2f} of what it bears")


def places_held(experiment: Experiment, lines: list[Line], found: Findings) -> None:
    """At no time more connections at one brick than all heads together may have there."""
    found.places_most = max((line["count"] for line in lines if line["what"] == "open"), default=0)
    if 0 < experiment.server_connections < found.places_most:
        found.broken.append(f"places: a brick had {found.places_most} connections at once")


def settings_followed(experiment: Experiment, lines: list[Line], found: Findings) -> None:
    """At the end every head that runs has the writer's settings, and no revision ever had two texts."""
    if not experiment.store:
        return
    texts: dict[tuple[int, int], int] = {}
    last: dict[str, tuple[int, int, int]] = {}
    for line in lines:
        if line["what"] == "settings":
            version = line["epoch"], line["revision"]
            last[line["who"]] = (*version, line["digest"])
            own = version == (0, 0)  # of its own file, before it has heard of the writer
            if not own and texts.setdefault(version, line["digest"]) != line["digest"]:
                found.broken.append(f"settings: {line['who']} has another text of revision {version}")
    left = {f"n{f.who}" for f in experiment.faults if f.kind == "leave"}
    for head, (_, _, digest) in sorted(last.items()):
        if head not in left and "n0" in last and digest != last["n0"][2]:
            found.broken.append(f"settings: {head} has not the writer's at the end")


def choices_held(experiment: Experiment, lines: list[Line], found: Findings) -> None:
    """Further attempts, over all heads, stay within the budget of each added up."""
    found.kept = sum(line["count"] for line in lines if line["what"] == "kept")
    share, free = experiment.choices.get("resend_share", 0), experiment.choices.get("resend_free", 0)
    if not (share or free):
        return
    span = experiment.choices.get("resend_span_s", 10) * SECOND
    spans = 1 + (experiment.length_us + experiment.load.wait_us) / span
    ran = Counter(line["id"] for line in lines if line["what"] == "ran")
    further, lives = sum(times - 1 for times in ran.values()), sum(found.lives.values())
    if further > share * found.asked + free * lives * spans:
        found.broken.append(
            f"attempts: {further} further ones, the budgets allow "
            f"{share * found.asked + free * lives * spans:.0f}"
        )


def current_held(experiment: Experiment, lines: list[Line], found: Findings) -> None:
    """No head sends anything on settings that were followed by others at the writer for longer than it may be
    behind, by one turn of its loop at most."""
    if not experiment.current_s:
        return
    made: dict[tuple[int, int], int] = {}  # by epoch and revision: when they were made at the writer
    on: dict[tuple[str, int], list[tuple[int, tuple[int, int]]]] = defaultdict(list)
    for line in lines:
        if line["what"] == "settings":
            version = line["epoch"], line["revision"]
            if line["who"] == "n0":
                made.setdefault(version, line["at"])
            on[line["who"], line["life"]].append((line["at"], version))
    newer = sorted(made.items())
    for line in lines:
        if line["what"] != "answered" or line["who"] == "n0":
            continue
        steps = on[line["who"], line["life"]]
        for _, _, sent in line["attempts"]:
            version = max((v for at, v in steps if at <= sent), default=(0, 0))
            later = min((at for v, at in newer if v > version and at <= sent), default=sent)
            found.old_us = max(found.old_us, sent - later)
    if found.old_us > experiment.current_s * SECOND + LIMITS.send_us:
        found.broken.append(f"current: a head sent on settings that were {found.old_us / SECOND:.2f} s old")


def shut_out_held(experiment: Experiment, lines: list[Line], found: Findings) -> None:
    """A head that is out sends nothing, from when it has said so until it acts again."""
    out: dict[str, list[tuple[int, bool]]] = defaultdict(list)
    for line in lines:
        if line["what"] == "current":
            out[line["who"]].append((line["at"], line["out"]))
    for line in lines:
        if line["what"] == "answered":
            for _, _, sent in line["attempts"]:
                state = [is_out for at, is_out in out[line["who"]] if at <= sent]
                if state and state[-1]:
                    found.broken.append(f"out: {line['id']} was sent by {line['who']}, which was out")
