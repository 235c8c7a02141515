"""Checks of the router's promises on the records of a run; each returns its violations."""

from __future__ import annotations

from collections.abc import Callable

from soak._engine_checks import (
    at_most_once,
    bad_parts,
    leaving_engines,
    resting_engines,
    true_refusals,
)
from soak._records import Records
from soak._router_checks import (
    configuration_goes_on,
    cut_off_routers,
    dropped_keys,
    errors,
    lives,
    planned_stops,
    recovery,
)
from soak._stream_checks import (
    each_event_once,
    one_software_version,
    streams_go_on,
    streams_outlive_routers,
    whole_answers,
)

#: Check of each promise, by the promise's name.
CHECK_BY_NAME: dict[str, Callable[[Records], list[str]]] = {
    "whole answers": whole_answers,
    "each event once": each_event_once,
    "one software version": one_software_version,
    "streams go on": streams_go_on,
    "streams outlive routers": streams_outlive_routers,
    "at most once": at_most_once,
    "true refusals": true_refusals,
    "leaving engines": leaving_engines,
    "resting engines": resting_engines,
    "cut off routers": cut_off_routers,
    "planned stops": planned_stops,
    "configuration goes on": configuration_goes_on,
    "dropped keys": dropped_keys,
    "recovery": recovery,
    "lives": lives,
    "errors": errors,
    "bad parts": bad_parts,
}


def violations(records: Records) -> list[str]:
    """Return all violations of all promises, each with the promise's name."""
    checked = CHECK_BY_NAME.items()
    return [f"{name}: {each}" for name, check in checked for each in check(records)]
