"""What must hold in every experiment, found from the histories alone. No I/O."""

from __future__ import annotations

from collections import Counter, defaultdict

from garnetlanding.lab.experiment import BRICK_FAULTS, PROCESS_FAULTS, UPGRADES, Experiment, Fault
from garnetlanding.lab.figures import began
from garnetlanding.lab.findings import Findings
from garnetlanding.lab.fleet_checks import (
    budgets_held,
    choices_held,
    current_held,
    heads_found,
    places_held,
    settings_followed,
    shut_out_held,
)
from garnetlanding.lab.heads import SETTINGS, above
from garnetlanding.lab.history import Line
from garnetlanding.lab.limits import LIMITS, SECOND
from garnetlanding.lab.plan import Request, hosts_of
from garnetlanding.peers.limits import PeerLimits

NEVER = 1 << 62
ANSWERED = ("served", "refused", "failed")


def excused(experiment: Experiment, request: Request, up: list[int]) -> bool:
    """Whether its client may go without an answer: its head was killed, stood still or was not there. `up`:
    when its processes could be used, after the clients began."""
    begins, ends = request.at_us, request.at_us + request.wait_us + LIMITS.process_us
    mine = [f for f in experiment.faults if f.who == request.head]
    if any(f.kind == "leave" and f.at_us < ends for f in mine):
        return True
    late = [f.at_us for f in mine if f.kind in ("join", "twin")]
    if any(begins < min((t for t in up if t >= at), default=ends) for at in late):
        return True
    if any(f.kind in UPGRADES and f.how != "term" and f.until_us < ends for f in mine):
        return True  # connections to a first process that was killed or stands still are lost
    lost = [f for f in experiment.faults if f.link == "client" and f.who in (-1, request.head)]
    if any(f.at_us < ends and begins < f.until_us + LIMITS.process_us for f in lost):
        return True
    return any(f.at_us < ends and begins < _over(f, up) for f in mine if f.kind in PROCESS_FAULTS)


def _over(fault: Fault, up: list[int]) -> int:
    """Until when it lasts: a head that is started again is there once its own history says so, however long
    the machine took."""
    if fault.kind == "stop":
        return fault.until_us + LIMITS.process_us
    again = [t for t in up if t >= fault.until_us]
    return (min(again) + LIMITS.send_us) if again else NEVER


def _ups(lines: list[Line], by_id: dict[str, Request]) -> dict[int, list[int]]:
    """When each head's processes could be used, after the clients began: each asks at its time or later."""
    found = defaultdict[int, list[int]](list)
    first = min(
        (
            line["t"] - by_id[line["id"]].at_us
            for line in lines
            if line["what"] == "asked" and line["id"] in by_id
        ),
        default=0,
    )
    for line in lines:
        if line["what"] == "up":
            found[int(line["who"][1:])].append(line["t"] - first)
    return found


def check(experiment: Experiment, plan: list[Request], lines: list[Line]) -> Findings:
    found = Findings(asked=len(plan))
    by_id = {request.id: request for request in plan}
    answers: dict[str, list[str]] = defaultdict(list)
    upgraded = {f"n{f.who}" for f in experiment.faults if f.kind in UPGRADES}
    twins, first = [f.at_us for f in experiment.faults if f.kind == "twin"], began(lines)
    # By head, volume and life: the part, and until when.
    parts: dict[tuple[str, str, int], tuple[float, int]] = {}
    for line in lines:
        match line["what"]:
            case "answer":
                answers[line["id"]].append(line["outcome"])
            case "extra":
                found.broken.append(f"one answer: {line['count']} more behind that of {line['id']}")
            case "ran":
                found.attempts += 1
            case "start":
                found.lives[line["who"]] = found.lives.get(line["who"], 0) + 1
                for key in [key for key in parts if key[0] == line["who"] not in upgraded]:
                    del parts[key]  # what it holds it says again; two of an upgrade hold theirs side by side
            case "parts":
                for volume, part in line["parts"].items():
                    parts[line["who"], volume, line["life"]] = part, line["until"]
                    total = _sum(experiment, parts, volume, line["t"])
                    if any(at <= line["t"] - first < at + LIMITS.twin_us for at in twins):
                        # Until the earlier of two of one number has heard of the later, both use its part.
                        found.twins_most = max(found.twins_most, total)
                    else:
                        found.parts_most = max(found.parts_most, total)
    _answers(experiment, by_id, answers, _ups(lines, by_id), found)
    _attempts(experiment, lines, found)
    if found.twins_most > 1 + 1 / experiment.load.hosts + LIMITS.parts_slack:
        found.broken.append(f"parts: beside a twin a volume's add up to {found.twins_most:.3f}")
    if found.parts_most > 1 + LIMITS.parts_slack:
        found.broken.append(f"parts: a volume's add up to {found.parts_most:.3f}")
    _limits(experiment, lines, found)
    _words(experiment, lines, found)
    _bans(experiment, lines, found)
    heads_found(experiment, lines, found)
    budgets_held(experiment, lines, found)
    places_held(experiment, lines, found)
    settings_followed(experiment, lines, found)
    choices_held(experiment, lines, found)
    current_held(experiment, lines, found)
    shut_out_held(experiment, lines, found)
    return found


def _words(experiment: Experiment, lines: list[Line], found: Findings) -> None:
    """No head believes of a server what nobody has seen within the greatest age. One that lies has seen
    nothing: its words are not in its history."""
    word_us = PeerLimits().evidence_us
    latest: dict[tuple[str, str], int] = {}  # by head and server: when it last saw what it tells
    doubted: dict[str, set[str]] = defaultdict(set)
    lying = any(f.kind == "lie" for f in experiment.faults)
    struck = {f"b{f.who}" for f in experiment.faults if f.kind in BRICK_FAULTS}
    for line in lines:
        who = line["who"]
        if line["what"] == "seen":
            latest |= {(who, server): at for server, (_, at) in line["servers"].items()}
        elif line["what"] == "start":
            doubted.pop(who, None)
        elif line["what"] == "doubted":
            new = set(line["servers"]) - doubted[who]
            doubted[who] = set(line["servers"])
            found.doubts += len(new)
            found.doubts_unfounded += len(new - struck)
            for server, until in line["servers"].items():
                seen = max((at for (by, of), at in latest.items() if of == server and by != who), default=0)
                if until > seen + word_us and not lying:
                    found.broken.append(f"words: {who} believes of {server} what nobody has seen in time")
            if len(line["servers"]) > max(1, experiment.bricks // 3):
                found.broken.append(f"words: {who} doubts {len(line['servers'])} servers at once")


def _bans(experiment: Experiment, lines: list[Line], found: Findings) -> None:
    """At the end all heads that are heard have one table; a server is sent nothing once all have it out."""
    if not experiment.fleet or not any(f.kind in ("disable", "enable") for f in experiment.faults):
        return
    out: dict[str, set[str]] = {f"n{head}": set() for head in range(experiment.heads)}
    since: dict[str, int] = {}  # by server: since when all have had it out
    for line in lines:
        if line["what"] == "bans":
            out[line["who"]] = set(line["out"])
            all_out = set.intersection(*out.values())
            since = {server: since.get(server, line["t"]) for server in all_out}
        elif line["what"] == "ran":
            name = f"b{line['brick']}"
            if name in since and line["t"] > since[name] + LIMITS.send_us:
                found.broken.append(f"bans: {line['id']} ran at {name}, which all heads had out")
    if len({frozenset(servers) for servers in out.values()}) > 1:
        found.broken.append(f"bans: heads differ at the end: {({w: sorted(s) for w, s in out.items()})}")


def _limits(experiment: Experiment, lines: list[Line], found: Findings) -> None:
    """Each volume's store, replayed over all heads: full at first, it fills at the limit's rate, and the
    first send of each request takes its units out."""
    plan = above(SETTINGS, experiment.settings)["Contracts"][0]
    rate, burst = float(plan.get("NeverOver", 0)), float(plan.get("LimitBurst", 0))
    if rate <= 0:
        return
    units, seen = experiment.load.units, set[str]()
    level: dict[str, float] = {}
    at: dict[str, int] = {}
    sent: Counter[str] = Counter()
    for line in lines:
        if line["what"] != "ran" or line["id"] in seen:
            continue
        seen.add(line["id"])
        volume, now = line["volume"], line["t"]
        filled = level.get(volume, burst) + rate * (now - at.get(volume, now)) / SECOND
        level[volume], at[volume] = min(burst, filled) - units, now
        sent[volume] += units
        found.over = max(found.over, -level[volume])
    could = experiment.load.volumes * (burst + rate * experiment.length_us / SECOND)
    found.used = sent.total() / could
    # What a head sends in one turn reaches its brick within this; two requests may change places on the way.
    if found.over > units + rate * LIMITS.send_us / SECOND:
        found.broken.append(f"limits: a volume's store fell {found.over:.1f} units below 0")


def _sum(
    experiment: Experiment, parts: dict[tuple[str, str, int], tuple[float, int]], volume: str, now: int
) -> float:
    """A head that has said nothing of a volume has not been asked for it, and sends nothing; nor does one
    that has not looked since what it believed came to its end, as one that stands still."""
    hosts = {f"n{head}" for head in hosts_of(experiment, int(volume, 16))}
    return sum(
        part for (who, of, _), (part, until) in parts.items() if who in hosts and of == volume and until > now
    )


def _answers(
    experiment: Experiment,
    by_id: dict[str, Request],
    answers: dict[str, list[str]],
    up: dict[int, list[int]],
    found: Findings,
) -> None:
    for name, request in by_id.items():
        got = answers.get(name, [])
        outcome = got[0] if got else "never noted"
        found.outcomes[outcome] += 1
        if len(got) > 1:
            found.broken.append(f"one answer: {name} has {len(got)}")
        elif outcome not in ANSWERED and not excused(experiment, request, up[request.head]):
            found.broken.append(f"one answer: {name} at n{request.head} after {request.at_us} us: {outcome}")


def _attempts(experiment: Experiment, lines: list[Line], found: Findings) -> None:
    """No request runs more often than is allowed; what was served has run."""
    most = experiment.settings.get("Limits", {}).get("MaxAttempts", 3)
    ran = Counter(line["id"] for line in lines if line["what"] == "ran")
    served = {line["id"] for line in lines if line["what"] == "answer" and line["outcome"] == "served"}
    for name, times in ran.items():
        if times > most:
            found.broken.append(f"attempts: {name} ran {times} times, {most} are allowed")
    for name in served - set(ran):
        found.broken.append(f"served: {name} was, and no brick ran it")
