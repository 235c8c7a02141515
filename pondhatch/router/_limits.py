"""Fleet-wide limits of accounts.

Each router sends its demand for an account to the account's home router, which returns the router's
share of the limits.
"""

from __future__ import annotations

from collections.abc import Callable

from pondhatch.configuration import FleetConfiguration
from pondhatch.limits import (
    AccountGate,
    AccountLimits,
    Demand,
    LimitVerdict,
    Share,
    ShareHome,
    ShareUser,
)
from pondhatch.membership import (
    Address,
    Datagram,
    Gossip,
    LimitDemand,
    LimitDemands,
    LimitMessage,
    LimitShare,
    LimitShares,
    Member,
)
from pondhatch.placement import winner

#: Maximum number of demands or shares in one packet.
MAX_PER_PACKET = 20
#: Seconds without a request after which an account's counts are dropped.
ACCOUNT_IDLE_SECONDS = 600.0


class FleetLimits:
    """Enforces accounts' limits together with the other routers."""

    def __init__(
        self, name: str, gossip: Gossip, configuration: Callable[[], FleetConfiguration]
    ) -> None:
        self.gate = AccountGate()
        self.share_user = ShareUser()
        self.share_home = ShareHome()
        self._name = name
        self._gossip = gossip
        self._configuration = configuration
        self._live_members: tuple[Member, ...] = ()
        self._now = 0.0
        gossip.on_limits = self._receive

    def set_live(self, live: tuple[Member, ...]) -> None:
        """Set the live routers: those that are neither draining nor gone."""
        self._live_members = live

    def begin_request(self, account: str, now: float) -> LimitVerdict:
        """Check a request against the account's limits, and count it if it is allowed."""
        self.share_user.record_arrival(account, self.gate.running(account), now)
        fleet_limits = self._limits_of(account)
        own_limits = self.share_user.limits(account, fleet_limits, len(self._live_members), now)
        return self.gate.begin(account, own_limits, now)

    def end_request(self, account: str) -> None:
        """Record that an allowed request has ended."""
        self.gate.end(account)

    def tick(self, now: float) -> list[Datagram]:
        """Return the packets with the demands that are due, for each home router."""
        self._now = now
        policy_by_account = self._configuration().policy_by_account
        limits = {
            name: self._limits_of(name)
            for name in self.share_user.own_demand_by_account
            if name in policy_by_account
        }
        due_demands = self.share_user.due_demands(now, len(self._live_members), limits)
        if not due_demands:
            return []
        self.gate.forget_idle(now, ACCOUNT_IDLE_SECONDS)
        self.share_user.forget_old(now)
        self.share_home.forget_old(now)
        return self._demand_datagrams(due_demands, now)

    def _demand_datagrams(self, due_demands: tuple[Demand, ...], now: float) -> list[Datagram]:
        by_name = {member.name: member for member in self._live_members}
        demands_by_home: dict[str, list[Demand]] = {}
        for demand in due_demands:
            home = winner(f"limit:{demand.account}", by_name)
            if home is not None:
                demands_by_home.setdefault(home, []).append(demand)
        for demand in demands_by_home.pop(self._name, []):
            share = self.share_home.allocate_share(
                self._name, demand, self._limits_of(demand.account), now
            )
            self.share_user.record_share(share, now)
        return [
            self._gossip.limit_datagram(message, by_name[home].address)
            for home, demands in demands_by_home.items()
            for message in _in_packets(self._name, demands)
        ]

    def _receive(self, message: LimitMessage, source: Address) -> list[Datagram]:
        if isinstance(message, LimitShares):
            for limit_share in message.shares:
                share = Share(
                    limit_share.account, limit_share.requests_per_second, limit_share.concurrency
                )
                self.share_user.record_share(share, self._now)
            return []
        policy_by_account = self._configuration().policy_by_account
        shares = [
            self._allocate_share(message.sender, limit_demand)
            for limit_demand in message.demands
            if limit_demand.account in policy_by_account
        ]
        return [self._gossip.limit_datagram(LimitShares(tuple(shares)), source)]

    def _allocate_share(self, router: str, limit_demand: LimitDemand) -> LimitShare:
        demand = Demand(limit_demand.account, limit_demand.rate, limit_demand.running)
        fleet_limits = self._limits_of(limit_demand.account)
        share = self.share_home.allocate_share(router, demand, fleet_limits, self._now)
        return LimitShare(limit_demand.account, share.requests_per_second, share.concurrency)

    def _limits_of(self, account: str) -> AccountLimits:
        policy = self._configuration().policy_by_account[account]
        return AccountLimits(policy.requests_per_second, policy.burst, policy.concurrency)


def _in_packets(sender: str, demands: list[Demand]) -> list[LimitDemands]:
    wire = [LimitDemand(each.account, each.rate, each.running) for each in demands]
    return [
        LimitDemands(sender, tuple(wire[offset : offset + MAX_PER_PACKET]))
        for offset in range(0, len(wire), MAX_PER_PACKET)
    ]
