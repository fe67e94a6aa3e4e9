"""Which quotas this process may use: the leases of the fleet that the settings name, and their suspension.

The leases are suspended while another process of this instance uses its quotas, after the instance has been
fenced, and while it does not act because its configuration or its endpoint list is out of date. No clock, no
socket; times are microseconds of this instance's clock.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from garnetlanding.decision import interface as api
from garnetlanding.peers.history import PeerHistory
from garnetlanding.peers.leases import BudgetLeases, Leases
from garnetlanding.peers.limits import PeerLimits
from garnetlanding.peers.peer_contacts import InstanceIdentity

if TYPE_CHECKING:  # a subsystem that is off is not imported
    from garnetlanding.peers.membership_protocol import MembershipProtocol
    from garnetlanding.peers.shared_budgets import SharedBudgets


class BudgetFactory(Protocol):
    """Creates the shared budgets of a fleet, in quarantine as after a start at `now`."""

    def __call__(self, settings: api.Settings, incarnation: int, now: int, /) -> SharedBudgets:
        """Return budgets without any demand yet."""
        ...


class QuotaManager:
    """Owns this process's leases on volume limits and on shared budgets, and suspends and resumes them."""

    def __init__(
        self,
        limits: PeerLimits,
        incarnation: int,
        settings: api.Settings,
        make_budgets: BudgetFactory | None = None,
        *,
        is_active: bool = True,
    ) -> None:
        """Without `make_budgets`, budgets are not shared.

        If not `is_active`, another process of this instance sends messages for it and uses its quotas.
        """
        self._limits = limits
        self._incarnation = incarnation
        self._make_budgets = make_budgets
        self.volumes: Leases | None = None  # None until the first call of `follow_settings`
        self.budgets = make_budgets(settings, incarnation, 0) if make_budgets else None
        self.is_active = is_active
        self._fenced = False  # for good: terminated by an operator, or its number belongs to another process
        self._suspended = False

    # The fleet

    @property
    def leases(self) -> Leases:
        """The leases on volume limits, once the fleet is known."""
        assert self.volumes is not None, "follow_settings() comes first"
        return self.volumes

    @property
    def instance_count(self) -> int:
        """The number of instances that budgets are divided among, this one included."""
        return 1 + len(self.leases.contacts.peers)

    def follow_settings(self, settings: api.Settings, now: int, *, is_discovered: bool) -> bool:
        """Replace the leases where the settings name another fleet than before; return whether they do.

        With `is_discovered` members, the number of instances does not come from the settings.
        """
        leases = self.volumes
        if (
            leases is not None
            and leases.identity.number == settings.instance_id
            and (is_discovered or leases.identity.instances == settings.instances)
        ):
            return False
        # In quarantine, since what was granted under the old numbers may still be in use.
        identity = InstanceIdentity(settings.instance_id, settings.instances, self._incarnation)
        self.volumes = Leases(self._limits, identity, now, leases)
        if self._make_budgets:
            self.budgets = self._make_budgets(settings, self._incarnation, now)
        if not self._may_use:
            self._suspend(now)
        return True

    def follow_members(self, protocol: MembershipProtocol, now: int) -> None:
        """Adopt the present membership: the peers, and whether this instance has joined them or is fenced."""
        members = protocol.members
        peers = frozenset(members.quota_holders - {members.own_instance})
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

    # Suspension

    @property
    def _may_use(self) -> bool:
        return self.is_active and not self._fenced and not self._suspended

    def activate(self, now: int) -> None:
        """Use quotas after a quarantine, since the other process of this instance has stopped."""
        self.is_active = True
        if self._may_use:
            self._resume(now)

    def deactivate(self, now: int) -> None:
        """Use nothing from now on, since another process of this instance takes over."""
        self.is_active = False
        self._suspend(now)

    def set_suspended(self, now: int, *, suspended: bool) -> None:
        """Use nothing while the instance does not act, or use quotas again after a quarantine."""
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

    # What the decision module is given

    def quota_update(self, now: int, instances: int, history: PeerHistory | None) -> api.QuotaUpdate | None:
        """Return the quotas that have changed for the decision module, or None.

        `instances` is the size of the fleet by the settings, which is what the module divides by.
        """
        leases = self.leases
        is_due = now >= leases.recheck_at
        if not is_due and self.budgets is None:
            return None  # the usual case
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
        """Return what divides budgets; None before the first events, or while this process is not active."""
        if not (self.budgets and self.volumes and self.is_active):
            return None
        return BudgetLeases(self.budgets.leases, self.instance_count)
