"""Checks across entries: duplicate routes and models, and references to services."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from msgspec.structs import replace

from pondhatch.configuration._misfit_collector import MisfitCollector
from pondhatch.configuration._routes import RouteKey
from pondhatch.configuration._schema import RouteSpec, ServiceSpec
from pondhatch.configuration._validation import Misfit

#: Path prefix that matches every path of a host.
ROOT_PREFIX = "/"


def usable_routes(
    declared: Mapping[str, RouteSpec], services: Mapping[str, ServiceSpec], misfits: MisfitCollector
) -> dict[str, RouteSpec]:
    """Return the routes that can be used, by name.

    Of two routes with the same host and path prefix, the one whose name sorts first is kept.
    Targets whose service is undefined are dropped, and so are routes left without a target.
    """
    usable: dict[str, RouteSpec] = {}
    claimed: dict[RouteKey, str] = {}
    for name, route in sorted(declared.items()):
        other = claimed.setdefault((route.host.lower(), route.path_prefix), name)
        if other != name:
            expected = f"expected a host and prefix of its own, found those of route {other!r}"
            misfits.add("route", name, Misfit(("path_prefix",), expected))
            continue
        usable_route = _with_defined_targets(name, route, services, misfits)
        if usable_route is not None:
            usable[name] = usable_route
    return usable


def _with_defined_targets(
    name: str, route: RouteSpec, services: Mapping[str, ServiceSpec], misfits: MisfitCollector
) -> RouteSpec | None:
    for index, target in enumerate(route.targets):
        if target.service not in services:
            expected = f"undefined service {target.service!r}"
            misfits.add("route", name, Misfit(("targets", index, "service"), expected))
    defined = tuple(each for each in route.targets if each.service in services)
    if defined == route.targets:
        return route
    return replace(route, targets=defined) if defined else None


def check_services(
    services: Mapping[str, ServiceSpec], routes: Mapping[str, RouteSpec], misfits: MisfitCollector
) -> None:
    """Record services that share a model or prefix with another, or that cannot be reached."""
    claimed: dict[str, str] = {}
    for name, spec in sorted(services.items()):
        claims = [*spec.models, *([spec.prefix] if spec.prefix else [])]
        if not claims and not routes:
            # Rejected in a new change; harmless in an entry that is accepted already.
            misfits.add_cause("service", name, Misfit((), "expected models, a prefix or a route"))
        for claim in claims:
            other = claimed.setdefault(claim, name)
            if other != name:
                expected = f"{claim!r} is already served by service {other!r}"
                misfits.add("service", name, Misfit((), expected))


def readable_route_key(value: Any) -> RouteKey | None:
    """Return the host and path prefix of an invalid route, or None without a readable host.

    A route whose prefix cannot be read counts for the whole host.
    """
    if not isinstance(value, dict) or not isinstance(host := value.get("host"), str):
        return None
    prefix = value.get("path_prefix")
    if not isinstance(prefix, str):
        return host, ROOT_PREFIX
    # Lookup uses prefixes that begin and end with a slash.
    inner = prefix.strip("/")
    return host, f"/{inner}/" if inner else ROOT_PREFIX
