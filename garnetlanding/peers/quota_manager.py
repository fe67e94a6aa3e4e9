"""Manages the leases of this process: which fleet they belong to, and when they are suspended.

The leases are suspended while another process of this instance uses its quotas, after the instance has been
fenced, and while the instance does not act because its configuration or its endpoint list is out of date. The
module has neither a clock nor a socket; times are microseconds of this instance's clock.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from garnetlanding.decision import interface as api
from garnetlanding.peers.history import PeerHistory
from garnetlanding.peers.leases import BudgetLeases, Leases
from garnetlanding.peers.limits import PeerLimits
from garnetlanding.peers.peer_contacts import InstanceIdentity

if TYPE_CHECKING:  # a disabled subsystem is not imported
    from garnetlanding.peers.membership_protocol import MembershipProtocol
    from garnetlanding.peers.shared_budgets import SharedBudgets


class BudgetFactory(Protocol):
    """Creates the shared budgets of a fleet, in the quarantine that follows a start at `now`."""

    def __call__(self, settings: api.Settings, incarnation: int, now: int, /) -> SharedBudgets:
        """Return budgets without demands."""
        ...


class QuotaManager:
    """Owns the leases of this process, on volume limits and on shared budgets; suspends and resumes them."""

    def __init__(
        self,
        limits: PeerLimits,
        incarnation: int,
        settings: api.Settings,
        make_budgets: BudgetFactory | None = None,
        *,
        is_active: bool = True,
    ) -> None:
        """Start without volume leases. Budgets are not shared without `make_budgets`.

        `is_active` is false while another process of this instance exchanges messages and uses its quotas.
        """
        self._limits = limits
        self._incarnation = incarnation
        self._make_budgets = make_budgets
        self.volume_leases: Leases | None = None  # None until the first call of `apply_settings`
        self.budgets = make_budgets(settings, incarnation, 0) if make_budgets else None
        self.is_active = is_active
        self._fenced = False  # permanent: terminated by an operator, or its number is another process's
        self._suspended = False

    # The fleet

    @property
    def leases(self) -> Leases:
        """The leases on volume limits. Requires an earlier call of `apply_settings`."""
        assert self.volume_leases is not None, "apply_settings() has not been called"
        return self.volume_leases

    @property
    def instance_count(self) -> int:
        """The number of instances that share the budgets, including this one."""
        return 1 + len(self.leases.contacts.peers)

    def apply_settings(self, settings: api.Settings, now: int, *, is_discovered: bool) -> bool:
        """Replace the leases if the settings specify another fleet; return whether they do.

        If members are discovered, the number of instances in the settings is ignored.
        """
        leases = self.volume_leases
        if (
            leases is not None
            and leases.identity.number == settings.instance_id
            and (is_discovered or leases.identity.instances == settings.instances)
        ):
            return False
        # They start in quarantine, since grants under the previous numbers may still be in use.
        identity = InstanceIdentity(settings.instance_id, settings.instances, self._incarnation)
        self.volume_leases = Leases(self._limits, identity, now, leases)
        if self._make_budgets:
            self.budgets = self._make_budgets(settings, self._incarnation, now)
        if not self._may_use_quotas:
            self._suspend(now)
        return True

    def apply_membership(self, protocol: MembershipProtocol, now: int) -> None:
        """Apply the current membership: the peers, and whether this instance has joined or is fenced."""
        members = protocol.members
        peers = frozenset(members.quota_holders - {members.own_instance})
        self.leases.set_peers(peers)
        if self.budgets:
            self.budgets.leases.set_peers(peers)
            if not members.joined:
                self.budgets.leases.suspend(now)
            elif self.budgets.leases.resumes_at is None and self._may_use_quotas:
                self.budgets.leases.resume(now)
        if members.fence_reason and not self._fenced:
            self._fenced = True
            self._suspend(now)
            protocol.report_fenced(members.fence_reason)

    # Suspension

    @property
    def _may_use_quotas(self) -> bool:
        return self.is_active and not self._fenced and not self._suspended

    def activate(self, now: int) -> None:
        """Use quotas after a quarantine, since the other process of this instance has stopped using them."""
        self.is_active = True
        if self._may_use_quotas:
            self._resume(now)

    def deactivate(self, now: int) -> None:
        """Stop using quotas, since another process of this instance takes over."""
        self.is_active = False
        self._suspend(now)

    def set_suspended(self, now: int, *, suspended: bool) -> None:
        """Stop using quotas while the instance does not act, or use them again after a quarantine."""
        self._suspended = suspended
        if self._may_use_quotas:
            self._resume(now)
        else:
            self._suspend(now)

    def _all_leases(self) -> list[Leases]:
        all_leases = [self.volume_leases] if self.volume_leases else []
        if self.budgets:
            all_leases.append(self.budgets.leases)
        return all_leases

    def _suspend(self, now: int) -> None:
        for leases in self._all_leases():
            leases.suspend(now)

    def _resume(self, now: int) -> None:
        for leases in self._all_leases():
            leases.resume(now)

    # Quotas for the decision module

    def quota_update(self, now: int, instances: int, history: PeerHistory | None) -> api.QuotaUpdate | None:
        """Return the changed quotas for the decision module, or None if there are none.

        `instances` is the fleet size in the settings, by which the module divides budgets.
        """
        leases = self.leases
        is_due = now >= leases.recheck_at
        if not is_due and self.budgets is None:
            return None  # the common case
        volume_quotas = leases.refresh_quotas(now)
        if is_due and history:
            history.volume_quotas_changed(leases.current_quotas() | volume_quotas, leases.recheck_at)
        budget_quotas = self.budgets.refresh_quotas(now, instances) if self.budgets else None
        if self.budgets and budget_quotas is not None and history:
            budget_leases = self.budgets.leases
            history.budget_quotas_changed(budget_leases.current_quotas(), budget_leases.recheck_at)
        if not volume_quotas and budget_quotas is None:
            return None
        return api.QuotaUpdate(volume_quotas, budget_quotas)

    def budget_leases(self) -> BudgetLeases | None:
        """Return the leases of budgets, or None before the first events and while not active."""
        if not (self.budgets and self.volume_leases and self.is_active):
            return None
        return BudgetLeases(self.budgets.leases, self.instance_count)
