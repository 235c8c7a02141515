"""An account's limits over the fleet: this router's demands, and those it is home to."""

from __future__ import annotations

from collections.abc import Callable

from pondhatch.configuration import Fleet
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

#: Demands or shares in one packet at most.
IN_ONE_PACKET = 20
#: Seconds without a request after which an account's counts are dropped.
ACCOUNT_IDLE = 600.0


class FleetLimits:
    """Holds accounts to their limits, together with the other routers."""

    def __init__(self, name: str, gossip: Gossip, fleet: Callable[[], Fleet]) -> None:
        self.gate = AccountGate()
        self.user = ShareUser()
        self.home = ShareHome()
        self._name = name
        self._gossip = gossip
        self._fleet = fleet
        self._live: tuple[Member, ...] = ()
        self._now = 0.0
        gossip.on_limits = self._receive

    def set_live(self, live: tuple[Member, ...]) -> None:
        """Set the routers that are neither draining nor gone."""
        self._live = live

    def begin(self, account: str, now: float) -> LimitVerdict:
        """Hold a request against the account's limits."""
        self.user.record_arrival(account, self.gate.running(account), now)
        whole = self._limits_of(account)
        here = self.user.limits(account, whole, len(self._live), now)
        return self.gate.begin(account, here, now)

    def end(self, account: str) -> None:
        """Note that a request that was allowed has ended."""
        self.gate.end(account)

    def tick(self, now: float) -> list[Datagram]:
        """Return the demands that are due, a packet for each home."""
        self._now = now
        known = self._fleet().policy_by_account
        limits = {
            name: self._limits_of(name) for name in self.user.own_demand_by_account if name in known
        }
        wanted = self.user.due_demands(now, len(self._live), limits)
        if not wanted:
            return []
        self.gate.forget_idle(now, ACCOUNT_IDLE)
        self.user.forget_old(now)
        self.home.forget_old(now)
        return self._to_homes(wanted, now)

    def _to_homes(self, wanted: tuple[Demand, ...], now: float) -> list[Datagram]:
        by_name = {member.name: member for member in self._live}
        demands_by_home: dict[str, list[Demand]] = {}
        for demand in wanted:
            home = winner(f"limit:{demand.account}", by_name)
            if home is not None:
                demands_by_home.setdefault(home, []).append(demand)
        for demand in demands_by_home.pop(self._name, []):
            share = self.home.allocate_share(
                self._name, demand, self._limits_of(demand.account), now
            )
            self.user.record_share(share, now)
        return [
            self._gossip.limit_datagram(message, by_name[home].address)
            for home, demands in demands_by_home.items()
            for message in _packed(self._name, demands)
        ]

    def _receive(self, message: LimitMessage, source: Address) -> list[Datagram]:
        if isinstance(message, LimitShares):
            for given in message.shares:
                share = Share(given.account, given.requests_per_second, given.concurrency)
                self.user.record_share(share, self._now)
            return []
        known = self._fleet().policy_by_account
        shares = [
            self._share(message.sender, asked)
            for asked in message.demands
            if asked.account in known
        ]
        return [self._gossip.limit_datagram(LimitShares(tuple(shares)), source)]

    def _share(self, router: str, asked: LimitDemand) -> LimitShare:
        demand = Demand(asked.account, asked.rate, asked.running)
        whole = self._limits_of(asked.account)
        share = self.home.allocate_share(router, demand, whole, self._now)
        return LimitShare(asked.account, share.requests_per_second, share.concurrency)

    def _limits_of(self, account: str) -> AccountLimits:
        policy = self._fleet().policy_by_account[account]
        return AccountLimits(policy.requests_per_second, policy.burst, policy.concurrency)


def _packed(sender: str, demands: list[Demand]) -> list[LimitDemands]:
    wire = [LimitDemand(each.account, each.rate, each.running) for each in demands]
    return [
        LimitDemands(sender, tuple(wire[at : at + IN_ONE_PACKET]))
        for at in range(0, len(wire), IN_ONE_PACKET)
    ]
