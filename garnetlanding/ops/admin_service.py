"""Carries out what operators ask: bans and drains, kept on disk before the yes, and taken up from there."""

from __future__ import annotations

import json
import logging
from collections.abc import Callable
from typing import TYPE_CHECKING

from garnetlanding.core.engine import RequestEngine
from garnetlanding.limits import Limits
from garnetlanding.ops.file import StateFile
from garnetlanding.ops.state import OpsState
from garnetlanding.runtime.listener import Listener
from garnetlanding.runtime.scheduler import Scheduler

if TYPE_CHECKING:  # what is off is not imported
    from garnetlanding.ops.replicated_disables import ReplicatedDisables

log = logging.getLogger(__name__)


class AdminService:
    """Implements the front's Operable for one process of a head."""

    def __init__(
        self,
        scheduler: Scheduler,
        core: RequestEngine,
        clients: Listener,
        file: StateFile,
        limits: Limits,
        told: Callable[[], bool],
        share: Callable[[], None] = lambda: None,
        fleet: Callable[[str], list[dict[str, object]] | None] = lambda what: None,
        shared: ReplicatedDisables | None = None,
        forget: Callable[[int], bool | None] = lambda head: None,
    ) -> None:
        """`told` says whether the list of servers is known; `share` looks what the head's other process
        leaves to this one; `fleet` tells of the other heads, None where they aren't heard; `shared` makes
        bans the whole fleet's; `forget` takes a head out of the group."""
        self._scheduler, self._core, self._clients = scheduler, core, clients
        self._file, self._limits, self._told, self._share = file, limits, told, share
        self._fleet, self._shared, self._forget = fleet, shared, forget
        self._state = OpsState()
        self._drained_at: int | None = None
        self._take_up(file.load())
        self._look()

    @property
    def takes(self) -> bool:
        """Whether clients are to come here."""
        return not self._state.draining

    def ready(self) -> bool:
        return self._told() and self._clients.accepting and self._clients.part > 0 and not self._core.fenced

    def metrics(self) -> str:
        return self._core.metrics_text()

    def disable(self, brick: str) -> bool:
        return self._put("disabled", brick, True)

    def enable(self, brick: str) -> bool:
        return self._put("enabled", brick, False)

    def _put(self, what: str, brick: str, out: bool) -> bool:
        shared, known = self._shared, self._core.endpoints.is_known(brick)
        if known and shared:
            self._change(what, lambda state: shared.say(state, brick, out), brick)
        elif known:
            self._change(what, lambda state: state.ban(brick) if out else state.lift(brick), brick)
        return known

    def drain(self) -> None:
        self._change("drained", lambda state: state.drained(True))

    def resume(self) -> None:
        self._change("resumed", lambda state: state.drained(False))

    def fleet(self, what: str) -> str | None:
        told = self._fleet(what)
        return None if told is None else json.dumps(told) + "\n"

    def forget(self, head: int) -> bool | None:
        known = self._forget(head)
        if known:
            log.info("head forgotten", extra={"kv": {"head": head}})
        return known

    def shut(self, head: int, out: bool) -> bool | None:
        shared, hosts = self._shared, self._core.settings.instances
        if shared is None:
            return None
        if head < hosts:
            self._change("shut out" if out else "let in", lambda state: shared.shut(state, head, out, hosts))
        return head < hosts

    def _change(self, what: str, how: Callable[[OpsState], OpsState], brick: str = "") -> None:
        """On disk first: a yes outlasts this process."""
        self._take_up(self._file.change(how))
        log.info(what, extra={"kv": {"brick": brick} if brick else {}})

    def _look(self) -> None:
        """The other process of an upgrade may have said something since."""
        self._scheduler.call_at(self._scheduler.now + self._limits.ops_look_us, self._look)
        self._share()
        if (state := self._file.news()) is not None:
            self._take_up(state)
        shared = self._shared
        if shared and (records := shared.take()):
            self._take_up(self._file.change(lambda state: shared.hear(state, records)))
        if self._drained_at is not None and (
            self._scheduler.now >= self._drained_at + self._limits.drain_serve_us
        ):
            self._clients.close_idle()

    def _take_up(self, state: OpsState) -> None:
        old, self._state = self._state, state
        if state.banned != old.banned:
            self._core.set_disabled(state.banned)
        if self._shared:
            self._shared.tell(state)
        if state.draining and self._drained_at is None:
            self._drained_at = self._scheduler.now
        elif not state.draining and self._drained_at is not None:
            self._drained_at, self._clients.ending = None, False
