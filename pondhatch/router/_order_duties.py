"""The view of a router's state that an orderer reads; see OrdererView."""

from __future__ import annotations

import msgspec

from pondhatch.configuration import OrdersSpec
from pondhatch.placement import winner
from pondhatch.router._state import RouterState
from pondhatch.store import Upstream, era_of


class OrderDuties(msgspec.Struct, frozen=True):
    """Which services' engines get orders, which orders, and whether from this router."""

    state: RouterState

    def services(self) -> tuple[str, ...]:
        """Return the names of the services whose engines get orders."""
        specs = self.state.configuration.service_by_name.items()
        return tuple(name for name, spec in specs if spec.orders is not None)

    def should_hold_lease(self, service: str) -> bool:
        """Return whether this router should give a service's orders."""
        if self.orders_of(service) is None or self.state.is_draining():
            return False
        return winner(f"orders:{service}", self.state.live_routers()) == self.state.name

    def orders_of(self, service: str) -> OrdersSpec | None:
        """Return the orders for a service's engines, or None where there are none."""
        spec = self.state.configuration.service_by_name.get(service)
        return spec.orders if spec is not None else None

    def platform_era(self) -> int:
        """Return the era of the list of upstreams, which an update from any peer may raise."""
        return era_of(self.state.upstreams.version)

    def engines_of(self, service: str) -> tuple[Upstream, ...]:
        """Return the service's engines, without those that are leaving or may have gone."""
        names = self.state.live_upstreams(service)
        listed = [self.state.upstreams.upstream(name) for name in names]
        return tuple(upstream for upstream in listed if upstream is not None)
