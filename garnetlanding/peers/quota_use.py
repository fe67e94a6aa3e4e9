"""What this process may use of the limits and budgets that the fleet divides, and when it may use nothing.

The leases belong to the fleet that the settings name. They are suspended while another process of this
instance uses its shares, after the instance has been fenced, and while it is held back because its
configuration or its endpoint list is not current. No clock, no socket.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from garnetlanding.decision import interface as api
from garnetlanding.peers.history import PeerHistory
from garnetlanding.peers.leases import Leases, SharedLeases
from garnetlanding.peers.limits import PeerLimits
from garnetlanding.peers.peer_contacts import InstanceIdentity

if TYPE_CHECKING:  # what is off is not imported
    from garnetlanding.peers.membership_protocol import MembershipProtocol
    from garnetlanding.peers.shared_budgets import SharedBudgets


class BudgetFactory(Protocol):
    """Makes the shared budgets of a fleet, as of a start at `now` (microseconds)."""

    def __call__(self, settings: api.Settings, incarnation: int, now: int, /) -> SharedBudgets:
        """Return budgets without any demand yet."""
        ...


class QuotaUse:
    """The own leases on volume limits and on shared budgets, and whether this process may use them."""

    def __init__(
        self,
        limits: PeerLimits,
        incarnation: int,
        settings: api.Settings,
        make_budgets: BudgetFactory | None = None,
        is_active: bool = True,
    ) -> None:
        """`make_budgets`: None where budgets are not shared.

        Not `is_active`: another process of this instance sends for it and uses its shares.
        """
        self._limits = limits
        self._incarnation = incarnation
        self._make_budgets = make_budgets
        self.volumes: Leases | None = None  # None: `follow` has not been called yet
        self.budgets = make_budgets(settings, incarnation, 0) if make_budgets else None
        self.is_active = is_active
        self._fenced = False  # for good: terminated by an operator, or its number belongs to another process
        self._suspended = False

    # Which fleet

    @property
    def leases(self) -> Leases:
        """The leases on volume limits, once the fleet is known."""
        assert self.volumes is not None, "follow() comes first"
        return self.volumes

    @property
    def instance_count(self) -> int:
        """The number of instances that budgets are divided among, this one included."""
        return 1 + len(self.leases.contacts.peers)

    def follow(self, settings: api.Settings, now: int, is_discovered: bool) -> bool:
        """Begin anew where the settings name another fleet than before; return whether they do.

        Where members are discovered, the number of instances is not a setting.
        """
        leases = self.volumes
        if (
            leases is not None
            and leases.identity.number == settings.instance_id
            and (is_discovered or leases.identity.instances == settings.instances)
        ):
            return False
        # As after a start, since what was granted under the old numbers may still be in use.
        identity = InstanceIdentity(settings.instance_id, settings.instances, self._incarnation)
        self.volumes = Leases(self._limits, identity, now, leases)
        if self._make_budgets:
            self.budgets = self._make_budgets(settings, self._incarnation, now)
        if not self._may_use:
            self._suspend(now)
        return True

    def follow_members(self, protocol: MembershipProtocol, now: int) -> None:
        """Take over which instances there are by now, and whether this one has joined them or is fenced."""
        members = protocol.members
        peers = frozenset(members.quota_holders - {members.me})
        self.leases.set_peers(peers)
        if self.budgets:
            self.budgets.leases.set_peers(peers)
            if not members.joined:
                self.budgets.leases.suspend(now)
            elif self.budgets.leases.resumes_at is None and self._may_use:
                self.budgets.leases.resume(now)
        if members.fence_reason and not self._fenced:
            self._fenced = True
            self._suspend(now)
            protocol.report_fenced(members.fence_reason)

    # Whether anything may be used

    @property
    def _may_use(self) -> bool:
        return self.is_active and not self._fenced and not self._suspended

    def activate(self, now: int) -> None:
        """Use shares, as after a start: the other process of this instance has stopped."""
        self.is_active = True
        if self._may_use:
            self._resume(now)

    def deactivate(self, now: int) -> None:
        """Use nothing from now on: another process of this instance takes over."""
        self.is_active = False
        self._suspend(now)

    def set_suspended(self, suspended: bool, now: int) -> None:
        """Use nothing while the instance does not act, or use shares again, as after a start."""
        self._suspended = suspended
        if self._may_use:
            self._resume(now)
        else:
            self._suspend(now)

    def _all_leases(self) -> list[Leases]:
        volumes = [self.volumes] if self.volumes else []
        return [*volumes, self.budgets.leases] if self.budgets else volumes

    def _suspend(self, now: int) -> None:
        for leases in self._all_leases():
            leases.suspend(now)

    def _resume(self, now: int) -> None:
        for leases in self._all_leases():
            leases.resume(now)

    # What may be used

    def changed_shares(self, now: int, instances: int, history: PeerHistory | None) -> api.QuotaUpdate | None:
        """Return the shares that the decision module has to be told of; None: as it was told before.

        `instances` is the size of the fleet by the settings, which the module reckons with.
        """
        leases = self.leases
        is_due = now >= leases.recheck_at
        if not is_due and self.budgets is None:
            return None  # the usual case
        volume_quotas = leases.changed_shares(now)
        if is_due and history:
            history.volume_shares_changed(leases.current_shares() | volume_quotas, leases.recheck_at)
        budget_quotas = self.budgets.changed_shares(now, instances) if self.budgets else None
        if self.budgets and budget_quotas is not None and history:
            budget_leases = self.budgets.leases
            history.limit_shares_changed(budget_leases.current_shares(), budget_leases.recheck_at)
        if not volume_quotas and budget_quotas is None:
            return None
        return api.QuotaUpdate(volume_quotas, budget_quotas)

    def shared_leases(self) -> SharedLeases | None:
        """Return what divides budgets; None before the first events, or while this process is not active."""
        if not (self.budgets and self.volumes and self.is_active):
            return None
        return SharedLeases(self.budgets.leases, self.instance_count)
