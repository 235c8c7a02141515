"""Looks up routes by a request's host and the longest matching prefix of its path."""

from __future__ import annotations

from collections.abc import Mapping

import msgspec

from pondhatch.configuration._schema import RouteSpec


class Route(msgspec.Struct, frozen=True):
    """A route and its name."""

    name: str
    spec: RouteSpec

    def choose_service(self, fraction: float) -> str:
        """Return the service for one request; ``fraction`` is a random number from 0 to 1."""
        targets = self.spec.targets
        remaining = fraction * sum(target.weight for target in targets)
        for target in targets:
            remaining -= target.weight
            if remaining < 0:
                return target.service
        # Reached by rounding, by a fraction of 1, or if no target has a weight.
        return max(reversed(targets), key=lambda target: target.weight > 0).service


#: Host and path prefix that a route matches.
RouteKey = tuple[str, str]


class UnusableRoute(msgspec.Struct, frozen=True):
    """Host and path prefix of a route that cannot be used."""

    host: str
    path_prefix: str


class RouteTable(msgspec.Struct, frozen=True):
    """All routes of a configuration. Immutable."""

    by_name: Mapping[str, RouteSpec] = msgspec.field(default_factory=dict)
    #: Hosts and path prefixes of routes that cannot be used.
    unusable: frozenset[RouteKey] = frozenset()
    #: Routes by host in lower case, then by path prefix.
    _by_host: Mapping[str, Mapping[str, Route | UnusableRoute]] = msgspec.field(
        default_factory=dict
    )

    @classmethod
    def of(
        cls, by_name: Mapping[str, RouteSpec], unusable: frozenset[RouteKey] = frozenset()
    ) -> RouteTable:
        """Return a table of routes by name and of the keys of unusable routes."""
        by_host: dict[str, dict[str, Route | UnusableRoute]] = {}
        for host, prefix in unusable:
            by_host.setdefault(host.lower(), {})[prefix] = UnusableRoute(host, prefix)
        for name, spec in by_name.items():
            by_host.setdefault(spec.host.lower(), {})[spec.path_prefix] = Route(name, spec)
        return cls(by_name, unusable, by_host)

    def find(self, host: str, path: str) -> Route | UnusableRoute | None:
        """Return the route with the longest prefix that matches a path, or None.

        ``host`` may include a port and ``path`` a query; both are ignored.
        """
        by_prefix = self._by_host.get(host.lower()) or self._by_host.get(_without_port(host))
        if not by_prefix:
            return None
        end = len(path.split("?", 1)[0])
        while (end := path.rfind("/", 0, end)) >= 0:
            found = by_prefix.get(path[: end + 1])
            if found is not None:
                return found
        return None


def _without_port(host: str) -> str:
    name, _, port = host.lower().rpartition(":")
    return name if name and port.isdigit() else host.lower()
