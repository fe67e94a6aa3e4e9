"""C-SFQ(D) for one host: what is held, sent, sent again, refused. Types, events, actions: interface.py.

Read _pump and _next (what leaves), _bearable and _shed (what waits, what is refused), _copy and _again
(what is resent), _allowance (what a cold node may get). All times are microseconds.
"""

import heapq
import random
from collections import deque
from collections.abc import Callable
from typing import Any

from garnetlanding.decision import interface as api
from garnetlanding.decision.interface import DeduplicationScope, Effect, Outcome
from garnetlanding.decision.state import (
    SECOND,
    UNLIMITED,
    Attempt,
    Bucket,
    Flow,
    Health,
    Host,
    Node,
    Request,
    SlidingWindowSum,
    Turn,
    Volume,
    retag,
)

DEPTH_FLOOR, DEPTH_CEILING = 4, 32  # requests out per node; the design's bounds
RATE_SPAN = 2 * SECOND  # completions are counted over this: long against a pause or a flush of writes
WEIGHT_EVERY = 3 * SECOND  # the design's control interval
WEIGHT_GAIN = 0.5  # exponent on 100/used: every host acts on one late figure, so half a step each
WEIGHT_CLAMP = 4.0  # a weight stays within this factor of its plan's
LATE_SHARE = 0.25  # of the tightest aim: a slower answer narrows D; the cheapest requests wait beyond it
NARROW, HALVE, WIDEN = 0.8, 0.5, 0.05  # part of D used: times per slow, per late answer; plus per quick one
FADE = 2 * SECOND  # unheard, a latency counts half after this: queues drain, and only a send tells
LATENCY_GAIN = 0.2  # weight of a new sample in a node's latency and error averages
SILENCE_AIMS = 2.0  # unheard for so many tightest aims and not connecting: down; pauses are shorter
OVERDUE_SHARE = 0.05  # of answers come later than a second copy leaves
COPY_EARNED, COPY_WON, COPY_MOST = 0.01, 2.0, 3.0  # earned per arrival where answers get lost, per win; kept
POOL_GAIN = 0.1  # relative step per answer of what all nodes teach together
SICK_SHARE = 0.01  # prior for a sick node, against which lost answers explain a silence
RETRY_AIMS = 0.1  # first pause before a resend, in aims of its class; doubles, with jitter
UNSENT_SHARE = 0.45  # of its time after which an unseen request is given up; later refusals cost its client
UNHEARD_TRIES = 3  # connects in a row that fail before a silent node counts as gone: some break by chance
TURNED_AWAY = 3  # requests in a row that a node must turn away before its queue counts as full
MARGIN_TICKS = 3  # a final answer leaves this many ticks before the client's time
HOLD_TICK = SECOND // 100  # held work is looked at this often at least
COLD_SAFETY = 0.7  # part of the learnt cold budget that is used: hosts' loads shift between them
USUAL_SPAN = 10 * SECOND  # memory of a cell's usual load: longer than a shift of the lead moves it
LIST_BACKOFF, LIST_MOST = SECOND // 2, SECOND * 43 // 10  # between list calls after an error; doubles
LIST_EACH, LIST_QUEUE_EACH, LIST_PATIENCE = SECOND // 8, SECOND * 3 // 8, 8  # a host; where calls queue long
FORGET = 60 * SECOND  # a volume not asked for in so long; no request lasts longer
LOG_LINES = 200  # per life
UNSURE = (Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED)  # the work may still go on
UNSEEN = (Outcome.UNREACHABLE, Outcome.NEVER_DISPATCHED)  # proof that no node has had it whole
NEVER = 1 << 62


class Controller(Host):
    """One host. Feed it every event in order; do what it returns, in order."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        super().__init__(LOG_LINES, settings.retry_budget_window_us)
        self.rng = random.Random(seed)
        self.cold_part = settings.part  # of a cold node's budget
        self._follow(settings)
        self.overdue = self.usual_latency = float(self.tightest)  # over all nodes: most have come; the mean
        self.lost_share, self.copies = 0.0, COPY_MOST  # the first of answers, over all nodes that do answer
        self.list_backoff, self.born = self.list_floor, 0
        self.shares: dict[str, float] = {}  # of budgets of all hosts, in even parts; one not named is even
        self.handlers: dict[type, Callable[[Any], None]] = {
            api.EndpointListUpdate: self._on_list, api.Arrival: self._on_arrival, api.Result: self._on_result,
            api.ClientLeft: self._on_left, api.StreamStarted: self._on_stream,
            api.NewSettings: self._on_settings, api.QuotaShares: self._on_parts,
            api.PeerSuspicions: self._on_hearsay,
        }

    def _follow(self, settings: api.Settings) -> None:
        self.settings = settings
        # What is given up holds at once; what is gained, once the other's sends have left the fall window.
        self.cold_part = min(self.cold_part, settings.part)
        if settings.part > self.cold_part:
            self.at(self.now + settings.overload_window_us, self._grow_cold_part, settings.part)
        self.tightest = min(c.latency_objective_us for c in settings.classes.values())
        self.dearest = max(c.priority_weight for c in settings.classes.values()) * max(
            p.price for p in settings.plans.values())
        self.list_floor = max(LIST_BACKOFF, min(LIST_MOST, settings.instances * LIST_EACH))
        self.crowd = max(0.0, 1 - DEPTH_FLOOR / max(1, settings.instances))  # what depths can't hold

    def handle(self, now: int, events: list[api.Event]) -> list[api.Action]:
        self.begin(now)
        for event in events:
            if type(event) in self.handlers:
                self.handlers[type(event)](event)
        self.run_due()
        for node in self.with_news():
            self._pump(node)
            if node.held:
                self.look_at(node, self.now + HOLD_TICK)
        return self.finish()

    def _grow_cold_part(self, part: float) -> None:
        self.cold_part = max(self.cold_part, min(part, self.settings.part))

    def _on_settings(self, e: api.NewSettings) -> None:
        """A volume whose plan has changed starts from its new figures; its tags move with its weight."""
        old_part = self.settings.part
        self._follow(e.settings)
        for name, volume in self.volumes.items():
            plan = self.settings.plans.get(volume.plan.name, volume.plan)
            changed = plan != volume.plan
            if changed or old_part != self.settings.part:
                self._plan_volume(volume, plan)
            if changed:
                self._reweigh(name, volume, plan.weight)

    def _on_list(self, e: api.EndpointListUpdate) -> None:
        if e.failed:
            # Always ask again, in time for what counts as told after 6 s; a queue that goes on failing, less.
            grown = 0.0
            if e.queued:
                grown = min(self.settings.instances * LIST_QUEUE_EACH, self.list_backoff / LIST_PATIENCE)
            soon = min(LIST_MOST - e.unheard_us, self.list_backoff / self.shares.get(api.LIST_CALLS, 1))
            pause = max(soon, grown) * self.rng.uniform(0.5 if e.queued else 0.1, 1.0)
            self.at(self.now + int(pause), self.act, api.Subscribe())
            self.list_backoff = min(2 * self.list_backoff, NEVER if e.queued else LIST_MOST)
            return
        self.list_backoff = self.list_floor
        if e.at_start:
            self.born = self.now
            self.at(self.now + WEIGHT_EVERY, self._steer, None)
            if self.settings.poll_endpoints:
                self.act(api.Subscribe())
        known = ({} if e.whole else self.entries) | {entry.node: entry for entry in e.entries}
        gone = api.EndpointState.GONE
        self.entries = {name: entry for name, entry in known.items() if entry.state is not gone}
        self.admin_disabled = {entry.cell for entry in self.entries.values() if entry.admin_disabled}
        up = self.newest_up()
        for cell in [*up, *(c for c in self.nodes if c not in up)]:
            self._serve_cell(self.nodes.setdefault(cell, Node(cell)), up.get(cell))

    def _serve_cell(self, node: Node, entry: api.Endpoint | None) -> None:
        old = node.health.entry if node.health else None
        self.news[node.cell] = node
        if entry is None:
            node.health = None
        elif old is None or (old.node, old.started_us) != (entry.node, entry.started_us):
            since = entry.started_us or -NEVER
            sent = SlidingWindowSum(self.settings.overload_window_us)
            node.health = Health(entry, since, SlidingWindowSum(RATE_SPAN), sent)
            if self.now < since + self.settings.warmup_us:
                self.log(f"node {entry.node} is cold")

    def _on_arrival(self, e: api.Arrival) -> None:
        cls, plan = self.settings.classes[e.cls], self.settings.plans[e.plan]
        self.taken.add(self.now)
        self.copies = min(COPY_MOST, self.copies + min(COPY_EARNED, self.lost_share))
        # A retry is judged by its first try: the longest time a client gave tells when that came.
        patience = self.patience[e.cls] = max(self.patience.get(e.cls, 0), e.until_us - self.now)
        volume = self.volumes.get(e.volume) or self._new_volume(e, plan)
        self.count += 1
        aim_at = min(self.now, e.until_us - patience) + cls.latency_objective_us
        r = Request(e, cls, volume, self.count, aim_at, e.until_us - MARGIN_TICKS * self.settings.tick_us,
                    cls.priority_weight * plan.price)
        if volume.reserve.has(self.now) < e.units:
            r.value *= self.settings.over_quota_value_share
        else:
            volume.reserve.level -= e.units
            r.reserved = e.units
        self.requests[e.request] = r
        self.at(r.answer_by, self._end, r)
        self.at(self.now + int(UNSENT_SHARE * (e.until_us - self.now)), self._give_up_unsent, r)
        # What the volume's part of its limit cannot cover before the aim would earn nothing.
        lack = volume.held_units + e.units - volume.limit.has(self.now)
        if e.units > volume.limit.most or self.now + lack / volume.limit.rate * SECOND > r.aim_at:
            self._end(r)
        elif cls.in_order and e.key:
            self.turns.setdefault(e.key, Turn()).waiting.append(r)
            self._next_turn(e.key)
        else:
            self._hold(r)

    def _new_volume(self, e: api.Arrival, plan: api.PlanSpec) -> Volume:
        volume = self.volumes[e.volume] = Volume(plan.weight, plan, max(1, e.volume_hosts))
        self._plan_volume(volume, plan)
        return volume

    def _plan_volume(self, volume: Volume, plan: api.PlanSpec) -> None:
        # A restarted host can't know what its earlier life spent: it starts with one request's worth.
        level = self.settings.max_units if plan.limit_rate else UNLIMITED
        volume.plan, volume.limit = plan, Bucket(0.0, NEVER, self.now, level)
        volume.reserve = Bucket(0.0, NEVER, self.now, NEVER)
        volume.share(self.now, self.settings)

    def _on_parts(self, e: api.QuotaShares) -> None:
        for name, part in e.parts.items():
            self.volumes[name].part = part
            self.volumes[name].share(self.now, self.settings)
        self.shares = self.shares if e.shares is None else e.shares

    def _on_hearsay(self, e: api.PeerSuspicions) -> None:
        for h in (node.health for node in self.nodes.values() if node.health):
            h.doubted = e.doubted.get(h.entry.node, 0)

    def _on_left(self, e: api.ClientLeft) -> None:
        if (r := self.requests.get(e.request)) and not r.over:
            self._finish(r)

    def _on_stream(self, e: api.StreamStarted) -> None:
        if r := self.requests.get(e.request):
            r.answer_by = NEVER  # bound to this attempt: its end is the answer

    def _end(self, r: Request) -> None:
        """The final answer, unless one may yet come: a refusal where a retry is harmless, or a failure."""
        if r.over or (r.out() and self.now < r.answer_by):
            return self._unhold(r)
        everywhere = r.cls.effect is Effect.KEYED and r.cls.group is DeduplicationScope.ALL
        harmless = r.cls.effect is Effect.SAFE or everywhere or not r.attempts_that_may_have_run()
        hold_off = self.settings.max_retry_after_us if self.settings.honors_retry_after else 0
        self.act(api.Reject(r.told.request, hold_off) if harmless else api.Fail(r.told.request))
        self._finish(r)

    def _give_up_unsent(self, r: Request) -> None:
        """Half its time is gone, its aim with it, and no node has seen it: the client may do better later."""
        if not r.out() and not any(a.outcome not in UNSEEN for a in r.attempts):
            self._end(r)

    def _finish(self, r: Request) -> None:
        r.over = True
        self._unhold(r)
        r.volume.reserve.level += 0 if r.attempts else r.reserved
        for i, a in enumerate(r.attempts):
            if a.outcome is None and self.settings.may_cancel:
                self.act(api.Cancel(r.told.request, i))
        self._settle(r)

    def _settle(self, r: Request) -> None:
        if r.over and not r.out():
            self.requests.pop(r.told.request, None)
            if r.cls.in_order and r.told.key in self.turns:
                self._next_turn(r.told.key)

    def _next_turn(self, key: str) -> None:
        """In-order keys: the head enters the fair queue once all before it are settled and the key rested."""
        turn = self.turns.get(key)
        if turn is None:
            return
        turn.waiting = deque(r for r in turn.waiting if not r.over or r.out())
        head = turn.waiting[0] if turn.waiting else None
        if head and (head.over or head is turn.admitted):
            return
        if turn.rest_until > self.now:
            self.at(turn.rest_until, self._next_turn, key)
        elif head:
            turn.admitted = head
            self._hold(head)
        else:
            del self.turns[key]

    def _hold(self, r: Request) -> None:
        if r.over or r.node or (r.out() and not self.settings.parallel_attempts):
            return
        node = self._place(r) if r.told.cell < 0 else self.nodes.setdefault(r.told.cell, Node(r.told.cell))
        if node is None:
            return self.at(self.now + HOLD_TICK, self._hold, r)
        flow = node.flows.setdefault(r.told.volume, Flow())
        r.paid = bool(r.attempts) and r.attempts[-1].cell == node.cell
        if r.paid:
            flow.held.appendleft(r)
        else:
            r.floor = node.v
            r.start = max([node.v, flow.finish, *(other.finish for other in flow.held if not other.paid)])
            r.finish = r.start + r.told.units / r.volume.weight
            flow.held.append(r)
        r.node = node
        node.held += 1
        flow.came, r.volume.came = flow.came + r.told.units, r.volume.came + r.told.units
        self.news[node.cell] = node
        r.volume.held_units += 0 if r.attempts else r.told.units

    def _unhold(self, r: Request) -> None:
        """Takes a held request out unsent; its cost leaves the tags of those behind it."""
        if r.node:
            retag(r.node.leave(r), None, r.volume.weight)

    def _steer(self, _: None) -> None:
        """The weight controller; a volume without a new figure keeps its weight."""
        self.at(self.now + WEIGHT_EVERY, self._steer, None)
        self._forget()
        for name, volume in [(n, v) for n, v in self.volumes.items() if v.used is not None]:
            plan = volume.plan.weight
            weight = volume.weight * (100 / max(volume.used or 0, 1)) ** WEIGHT_GAIN
            weight = min(plan * WEIGHT_CLAMP, max(plan / WEIGHT_CLAMP, weight))
            volume.used = None
            self._reweigh(name, volume, weight)

    def _forget(self) -> None:
        """A volume not asked for in a long while is as good as new; kept, every name heard would stay."""
        idle = [n for n, v in self.volumes.items() if v.reserve.at < self.now - FORGET and v.even]
        for name in idle:
            flows = [(node, node.flows[name]) for node in self.nodes.values() if name in node.flows]
            if not any(flow.held for _, flow in flows):
                del self.volumes[name]
                for node, _ in flows:
                    del node.flows[name]

    def _reweigh(self, name: str, volume: Volume, weight: float) -> None:
        volume.weight = weight
        for node in self.nodes.values():
            if name in node.flows:
                retag(node.flows[name], node.v, weight)

    def _depth(self, h: Health) -> float:
        """Little's law on completions; slow answers narrow it below the floor (a departure), doubts to 1."""
        little = h.served.total(self.now - RATE_SPAN) / RATE_SPAN * self.tightest
        part, narrow = self.settings.part, h.narrow if self.now >= h.doubted else 0.0
        name = api.concurrency_budget(h.entry.node)
        most = self.shares.get(name, DEPTH_CEILING) if self.shares else DEPTH_CEILING
        return max(1.0, narrow * min(most, DEPTH_CEILING * part, max(DEPTH_FLOOR * part, little)))

    def _next(self, node: Node, h: Health) -> Request | None:
        """The lowest start tag among those with tokens left that the wait there is not too long for."""
        foreseen = self._foreseen(h)

        def may(r: Request) -> bool:
            tokens = bool(r.attempts) or r.volume.limit.has(self.now) >= r.told.units
            return tokens and (r.out() or foreseen <= self._bearable(r))
        heads = [r for f in node.flows.values() for r in list(filter(may, f.held))[:1]]
        return min(heads, key=Request.tag) if heads else None

    def _foreseen(self, h: Health) -> float:
        """Latency there now: as last heard, fading while unheard. Silence shows when attempts time out."""
        return h.latency * float(0.5 ** ((self.now - h.heard_at) / FADE))

    def _sick(self, h: Health) -> float:
        """How likely it is the node's own trouble that so many are out, and not answers lost anywhere."""
        return SICK_SHARE / (SICK_SHARE + float(self.lost_share ** max(1, h.out)))

    def _bearable(self, r: Request) -> float:
        """The dearer its worth per unit, the longer a wait at the node a request still joins."""
        rank = min(1.0, r.value / self.dearest)
        price = self.tightest / r.cls.latency_objective_us * (LATE_SHARE + (1 - LATE_SHARE) * rank)
        return r.cls.latency_objective_us * float(price**self.crowd)

    def _pump(self, node: Node) -> None:
        h = node.health
        if node.held and h is None and node.cell in self.admin_disabled:
            for held in [r for flow in node.flows.values() for r in flow.held]:
                self._end(held)  # nothing else serves the cell, and nobody knows for how long
        if not node.held or h is None:
            return
        self._shed(node, h)
        while node.held and h.out + 1 <= self._depth(h):
            r = self._next(node, h)
            if r is None or self._allowance(node, h)[0] < r.told.units:
                return
            if self._may_send(r, h, node):
                self._send(r, node, h)
            else:
                self._end(r)

    def _send(self, r: Request, node: Node, h: Health) -> None:
        flow = node.leave(r)
        if not r.paid and r.start >= flow.last_start:
            flow.last_start, flow.last_units, flow.finish = r.start, r.told.units, r.finish
        node.v = max(node.v, r.start)
        if r.attempts:
            self.extra.add(self.now)
            r.attempts[-1].write_off()  # lost: it takes up no depth
        else:
            r.volume.limit.level -= r.told.units
        r.attempts.append(Attempt(h, node.cell, self.now))
        h.out += 1
        h.sent.add(self.now, r.told.units)
        self.act(api.Send(r.told.request, h.entry.node))
        if self.settings.parallel_attempts:
            self.at(self.now + int(r.relative_size(h) * max(self.overdue, h.latency)), self._copy, r)

    def _shed(self, node: Node, h: Health) -> None:
        """Refuses what can't be on time behind what is held before it, cheapest worth first."""
        depth = self._depth(h)
        free, foreseen = depth - h.out, self._foreseen(h)
        spare, cold_pace = self._allowance(node, h)
        quick = not h.latency or (node.held <= free and foreseen <= LATE_SHARE * self.tightest)
        if quick and not cold_pace:
            return
        pace, ahead = 0.0 if quick else foreseen / max(h.units, 1e-9), 0.0
        kept: list[tuple[float, float, int, Request]] = []
        for r in sorted((r for f in node.flows.values() for r in f.held), key=Request.tag):
            alone = self.now + pace * r.told.units
            priority_weight = r.value * (r.cls.late_value_share if alone > r.aim_at else 1.0)
            heapq.heappush(kept, (priority_weight, -r.start, -r.seq, r))
            while r.node and max(
                    alone + pace * max(0.0, ahead - (free - 1) * h.units) / depth,
                    self.now + cold_pace * (ahead + r.told.units - spare)) > r.aim_at:
                victim = heapq.heappop(kept)[3]
                ahead -= victim.told.units if victim is not r else 0.0
                self._end(victim)
            ahead += r.told.units if r.node else 0.0

    def _on_result(self, e: api.Result) -> None:
        r = self.requests.get(e.request)
        if r is None or not 0 <= e.attempt < len(r.attempts) or r.attempts[e.attempt].outcome is not None:
            return
        a = r.attempts[e.attempt]
        a.outcome = e.outcome
        self._learn(a, r, e)
        r.volume.used = e.used - 1 if e.used > 0 else r.volume.used
        if e.outcome in UNSURE and r.told.key in self.turns:
            rest = self.settings.ordered_key_rest_us + self.settings.tick_us
            self.turns[r.told.key].rest_until = self.now + rest
        if e.over and not r.over:
            self._finish(r)
        elif not r.over and not r.out() and r.node is None:
            self._again(r)
        self._settle(r)

    def _copy(self, r: Request) -> None:
        """Lost answers: a second copy once the first is overdue; wrong guesses use up what is earned."""
        useful = r.out() and not r.over and not r.node and self.now < r.aim_at
        if useful and self.copies >= 1 and len(r.attempts) < self.settings.max_attempts:
            self.copies -= 1
            self._hold(r)

    def _again(self, r: Request) -> None:
        pause = r.cls.latency_objective_us * RETRY_AIMS * 2 ** (len(r.attempts) - 1)
        pause = int(pause * self.rng.uniform(0.5, 1.5))
        late = self.now + pause + r.attempts[-1].health.latency > r.answer_by
        if late or len(r.attempts) >= self.settings.max_attempts:
            self._end(r)
        else:
            self.at(self.now + pause, self._hold, r)

    def _may_send(self, r: Request, h: Health, node: Node) -> bool:
        """Whether the class's effect, the attempt budget and the client's time let it go there now."""
        if self.now >= r.answer_by or (r.attempts and not self._budget_left()):
            return False
        ran = r.attempts_that_may_have_run()
        if not ran or (r.out() and not self.settings.parallel_attempts) or r.cls.effect is Effect.UNSAFE:
            return not ran
        if r.cls.effect is Effect.SAFE:
            return True
        if self.now >= min(a.sent_at for a in ran) + r.cls.window_us:
            return False
        if r.cls.group is DeduplicationScope.ZONE:
            return all(a.health.entry.zone == h.entry.zone for a in ran)
        return r.cls.group is DeduplicationScope.ALL or all(a.cell == node.cell for a in ran)

    def _budget_left(self) -> bool:
        since, tick = self.now - self.settings.retry_budget_window_us, self.settings.tick_us
        free = self.settings.retry_budget_floor * self.settings.part * self.shares.get(api.RESENDS, 1.0)
        earned = free + self.settings.retry_budget_ratio * self.taken.total(since + tick)
        return self.settings.retry_budget_window_us == 0 or self.extra.total(since - tick) + 1 <= earned

    def _learn(self, a: Attempt, r: Request, e: api.Result) -> None:
        h, node = a.health, self.nodes[a.cell]
        self.news[node.cell] = node
        took, sick = e.took_us / r.relative_size(h), self._sick(h)
        a.write_off()
        if e.outcome in (Outcome.SERVED, Outcome.ERROR, Outcome.FULL):
            h.heard_at, h.unreached = self.now, 0
        if e.outcome in (Outcome.SERVED, Outcome.ERROR):
            h.errors += ((e.outcome is Outcome.ERROR) - h.errors) * LATENCY_GAIN
        if e.outcome is Outcome.SERVED:
            # One node is heard of too seldom: what is lost, and when an answer is overdue, is pooled.
            won = any(b.outcome is None and b.sent_at < a.sent_at for b in r.attempts)
            self.copies = min(COPY_MOST, self.copies + won * COPY_WON)
            self.lost_share += (won - self.lost_share) * POOL_GAIN
            self.overdue *= 1 + POOL_GAIN * ((took > self.overdue) - OVERDUE_SHARE)
            h.served.add(self.now)
            h.turned_away = 0
            self.usual_latency += (took - self.usual_latency) * POOL_GAIN
            if self.now >= h.cold_since + self.settings.warmup_us:
                node.usual.add(self.now, r.told.units, USUAL_SPAN)
            self._learn_pace(h, r.told.units, took)
        elif e.outcome is Outcome.TIMEOUT:
            self.lost_share += (1 - self.lost_share) * POOL_GAIN
            self._learn_pace(h, r.told.units, took * sick)
        elif e.outcome is Outcome.UNREACHABLE:
            h.unreached += 1
            if h.unreached >= UNHEARD_TRIES and self.now > h.heard_at + SILENCE_AIMS * self.tightest:
                h.cold_since = self.now  # silent and not even connecting: it will come back cold, told or not
        elif e.outcome is Outcome.FULL:
            # One may be turned away for itself, again and again; a full queue turns away whoever comes.
            h.turned_away += sum(b.outcome is Outcome.FULL for b in r.attempts) == 1
            if h.turned_away >= TURNED_AWAY or not h.latency:
                self._learn_pace(h, r.told.units, 2 * self.tightest)  # what queues there would be late

    def _learn_pace(self, h: Health, units: float, took: float) -> None:
        """Slow answers narrow the depth, late ones more; quick ones widen it."""
        gain = LATENCY_GAIN if h.latency else 1.0
        h.latency += (took - h.latency) * gain
        h.units += (units - h.units) * gain
        h.heard_at = self.now
        if took <= LATE_SHARE * self.tightest:
            h.narrow = min(1.0, h.narrow + WIDEN)
        else:
            h.narrow = max(1 / DEPTH_CEILING, h.narrow * (HALVE if took > self.tightest else NARROW))

    def _allowance(self, node: Node, h: Health) -> tuple[float, float]:
        """A cold node's budget, this host's part of every fall window, with resends and an earlier life: what
        may go now, and how long another unit takes to earn. A larger request waits as long as it takes up."""
        age = self.now - h.cold_since
        if age >= self.settings.warmup_us:
            return NEVER, 0.0
        cold, window = self.settings.warmup_initial_share, self.settings.overload_window_us
        warmth = cold + (1 - cold) * max(0, age) / self.settings.warmup_us
        usual = max(node.usual.rate, self._told_rate(node))
        learnt = usual * window / SECOND * self.settings.overload_multiple * warmth * COLD_SAFETY
        share = self.shares.get(api.warmup_budget(h.entry.node), 1.0)
        borne = self.settings.warmup_units / max(1, self.settings.instances) * share
        budget = max(max(borne, learnt) * self.cold_part, 1e-9)
        idle = (self.now - max(h.sent.last, h.cold_since, self.born)) * budget / window
        spent = h.sent.total(self.now - window)
        lived = 1.0 if h.cold_since >= self.born else min(1.0, (self.now - self.born) / window)
        return idle if idle > budget else budget * lived - spent, window / budget

    def _told_rate(self, node: Node) -> float:
        """Units a second that the plans lead this host to expect there, by where volumes' requests go."""
        return sum(v.plan.usual_rate / v.hosts * node.flows[name].came / v.came
                   for name in node.flows if (v := self.volumes[name]).came)

    def _place(self, r: Request) -> Node | None:
        """A new object binds its resends and its readers to the node: the quickest sound one gets it."""
        def score(node: Node) -> tuple[bool, float]:
            h = node.health
            assert h
            # One that was slow once is not slow for good, and one not yet tried is not slow at all.
            heard = float(0.5 ** ((self.now - h.heard_at) / FADE)) if h.latency else 0.0
            wait = self.usual_latency + (h.latency - self.usual_latency) * heard
            wait *= (1 + (h.out + node.held) / self._depth(h)) * self.rng.uniform(0.9, 1.1)
            return self.now < h.cold_since + self.settings.warmup_us, wait / max(0.05, 1 - h.errors) ** 2

        free = [n for n in self.nodes.values() if n.health and self._may_send(r, n.health, n)]
        return min(free, key=score) if free else None
