"""Services that the streams of one fault use alone, so that their versions are known exactly."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

from fakes._machines_fleet import with_version
from pondhatch.platform.tests._wire import CONFIGURATION
from soak._records import Route


def own_service(number: int) -> str:
    """Return the name of a service."""
    return f"own-{number}"


def own_route(number: int) -> Route:
    """Return the route to a service, whose engines answer with streams."""
    path = f"/notes/{own_service(number)}/a"
    return Route(path, is_repeatable=True, is_stream=True, service=own_service(number))


def configuration(version: int, own_services: int, keys: Sequence[str] = ()) -> dict[str, Any]:
    """Return the configuration of a run under a version, with some services and keys more."""
    edited = with_version(CONFIGURATION, version)
    notes, lang = edited["Routes"][0], edited["Services"][0]
    edited["Tenants"][0]["ApiKeys"] += keys
    for number in range(own_services):
        name = own_service(number)
        prefix = f"/notes/{name}/"
        edited["Routes"].append(
            {**notes, "Name": f"r-{name}", "PathPrefix": prefix, "Service": name}
        )
        edited["Services"].append({**lang, "Name": name})
    return edited
