"""What stands once for several entries: places of routes, and what services answer to."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from msgspec.structs import replace

from pondhatch.configuration._fit import Misfit
from pondhatch.configuration._misfit_notes import MisfitNotes
from pondhatch.configuration._routes import Place
from pondhatch.configuration._schema import RouteSpec, ServiceSpec

#: Prefix of all paths of a host.
WHOLE_HOST = "/"


def usable_routes(
    written: Mapping[str, RouteSpec], services: Mapping[str, ServiceSpec], notes: MisfitNotes
) -> dict[str, RouteSpec]:
    """Return the routes that can be used, by name.

    Of two at one place, the one whose name sorts first stays. A target whose service is not
    there is left out, and a route with no other as well.
    """
    usable: dict[str, RouteSpec] = {}
    claimed: dict[Place, str] = {}
    for name, route in sorted(written.items()):
        other = claimed.setdefault((route.host.lower(), route.path_prefix), name)
        if other != name:
            wrong = f"expected a host and prefix of its own, found those of route {other!r}"
            notes.note("route", name, Misfit(("path_prefix",), wrong))
            continue
        found = _with_defined_targets(name, route, services, notes)
        if found is not None:
            usable[name] = found
    return usable


def _with_defined_targets(
    name: str, route: RouteSpec, services: Mapping[str, ServiceSpec], notes: MisfitNotes
) -> RouteSpec | None:
    for at, target in enumerate(route.targets):
        if target.service not in services:
            wrong = f"undefined service {target.service!r}"
            notes.note("route", name, Misfit(("targets", at, "service"), wrong))
    defined = tuple(each for each in route.targets if each.service in services)
    if defined == route.targets:
        return route
    return replace(route, targets=defined) if defined else None


def check_services(
    services: Mapping[str, ServiceSpec], routes: Mapping[str, RouteSpec], notes: MisfitNotes
) -> None:
    """Note services that claim the same as another, or that nothing reaches."""
    claimed: dict[str, str] = {}
    for name, spec in sorted(services.items()):
        claims = [*spec.models, *([spec.prefix] if spec.prefix else [])]
        if not claims and not routes:
            # Harmless where it was accepted; whoever writes it is told.
            notes.blame("service", name, Misfit((), "expected models, a prefix or a route"))
        for claim in claims:
            other = claimed.setdefault(claim, name)
            if other != name:
                wrong = f"{claim!r} is already served by service {other!r}"
                notes.note("service", name, Misfit((), wrong))


def withheld_place(value: Any) -> Place | None:
    """Return the place that a route would have, as far as it can be read."""
    if not isinstance(value, dict) or not isinstance(host := value.get("host"), str):
        return None
    prefix = value.get("path_prefix")
    if not isinstance(prefix, str):
        return host, WHOLE_HOST
    # Prefixes are looked up from slash to slash.
    inner = prefix.strip("/")
    return host, f"/{inner}/" if inner else WHOLE_HOST
