"""Routes: which one a request takes, by its host and the longest prefix of its path."""

from __future__ import annotations

from collections.abc import Mapping

import msgspec

from pondhatch.configuration._schema import RouteSpec


class Route(msgspec.Struct, frozen=True):
    """A route under its name."""

    name: str
    spec: RouteSpec

    def choose_service(self, fraction: float) -> str:
        """Return the service of one request; ``drawn`` is uniform in 0 to 1."""
        targets = self.spec.targets
        remaining = fraction * sum(target.weight for target in targets)
        for target in targets:
            remaining -= target.weight
            if remaining < 0:
                return target.service
        # Rounding, a draw of 1, or no target with a share.
        return max(reversed(targets), key=lambda target: target.weight > 0).service


#: A host and the prefix of its paths.
RouteKey = tuple[str, str]


class UnusableRoute(msgspec.Struct, frozen=True):
    """The place of a route that cannot be used."""

    host: str
    path_prefix: str


class RouteTable(msgspec.Struct, frozen=True):
    """All routes of a configuration. Never changed in place."""

    by_name: Mapping[str, RouteSpec] = msgspec.field(default_factory=dict)
    #: Places of the routes that cannot be used.
    unusable: frozenset[RouteKey] = frozenset()
    #: Routes by host in lower case, then by path prefix.
    _by_host: Mapping[str, Mapping[str, Route | UnusableRoute]] = msgspec.field(
        default_factory=dict
    )

    @classmethod
    def of(
        cls, by_name: Mapping[str, RouteSpec], unusable: frozenset[RouteKey] = frozenset()
    ) -> RouteTable:
        """Return the table of routes by name, and of places where there is none to be used."""
        by_host: dict[str, dict[str, Route | UnusableRoute]] = {}
        for host, prefix in unusable:
            by_host.setdefault(host.lower(), {})[prefix] = UnusableRoute(host, prefix)
        for name, spec in by_name.items():
            by_host.setdefault(spec.host.lower(), {})[spec.path_prefix] = Route(name, spec)
        return cls(by_name, unusable, by_host)

    def find(self, host: str, path: str) -> Route | UnusableRoute | None:
        """Return the route with the longest prefix of a path, or None.

        ``host`` may carry a port and ``path`` a query; both are left out.
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
