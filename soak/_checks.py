"""Promises, checked by what callers and engines saw; each returns what broke it."""

from __future__ import annotations

import math
from collections import Counter, defaultdict
from collections.abc import Callable

from fakes._machines_engine import STREAM_EVENTS
from soak._records import Arrival, Attempt, Records

#: Statuses by which a router promises that a request has not run and never will.
PROMISES = frozenset({408, 421, 429, 503})
#: Seconds after an answer that says so in which an engine that leaves may still get requests.
DRAIN_SECONDS = 2.0
#: Seconds after an answer that asks for rest in which what is under way may still come.
REST_GRACE = 0.5
#: Requests that may still reach an engine within a rest that it asked a router for.
MOST_IN_REST = 2
#: Seconds after a disturbance in which it may still show.
AFTERMATH = 1.0
#: Share of the requests of the calm end that must be served.
SERVED_SHARE = 0.9
OK = 200
WHOLE_STREAM = b"".join(b"id: %d\ndata: %d\n\n" % (at, at) for at in range(1, STREAM_EVENTS + 1))


def whole_answers(records: Records) -> list[str]:
    """Check that a success is one engine's whole answer to that very request."""
    found = []
    for each in records.attempts:
        if each.status != OK or not each.is_whole:
            continue
        engine, _, attempt = each.signature.partition(".")
        expected = WHOLE_STREAM if each.route.is_stream else f"body by {engine}".encode()
        if attempt != each.id or each.body != expected:
            found.append(f"{each.id} got {each.body[:80]!r} signed {each.signature!r}")
    return found


def at_most_once(records: Records) -> list[str]:
    """Check that what may not be repeated ran once at most."""
    runs = Counter(each.id for each in records.arrivals if each.ran)
    once = [each.id for each in records.attempts if not each.route.is_repeatable]
    return [f"{each} ran {runs[each]} times" for each in once if runs[each] > 1]


def true_refusals(records: Records) -> list[str]:
    """Check that what a router said not to have run has not run."""
    ran = {each.id for each in records.arrivals if each.ran}
    return [
        f"{each.id} was answered {each.status} by {each.router}, and ran"
        for each in records.attempts
        if each.status in PROMISES and not each.signature and each.id in ran
        if not each.route.is_repeatable
    ]


def leaving_engines(records: Records) -> list[str]:
    """Check that a router that was told by an engine that it leaves sends it nothing new."""
    attempt_by_id = {each.id: each for each in records.attempts}
    found = []
    for engine, arrivals in _by_engine(records).items():
        told = _told_at(arrivals, attempt_by_id)
        for each in arrivals:
            attempt = attempt_by_id.get(each.id)
            since = told.get(attempt.router) if attempt is not None else None
            if attempt is None or since is None or attempt.sent_at <= since + DRAIN_SECONDS:
                continue
            if not records.is_disturbed(attempt.router, since, attempt.sent_at):
                late = attempt.sent_at - since
                found.append(f"{each.id} reached {engine} {late:.2f} s after {attempt.router} knew")
    return found


def resting_engines(records: Records) -> list[str]:
    """Check that an engine that asked a router for rest gets it."""
    router_by_id = {each.id: each.router for each in records.attempts}
    found = []
    for engine, arrivals in _by_engine(records).items():
        for said in arrivals:
            router = router_by_id.get(said.id)
            if said.rest <= 0 or said.answered_at is None or router is None:
                continue
            begins, ends = said.answered_at + REST_GRACE, said.answered_at + said.rest
            late = [
                each
                for each in arrivals
                if begins < each.came_at < ends and router_by_id.get(each.id) == router
            ]
            is_excused = records.is_disturbed(router, said.answered_at, ends)
            if len(late) > MOST_IN_REST and not is_excused:
                found.append(f"{engine} asked {router} for rest and got {len(late)} requests")
    return found


def planned_stops(records: Records) -> list[str]:
    """Check that a router that is asked to stop answers what it has passed on."""
    arrivals_by_id = defaultdict(list)
    for arrival in records.arrivals:
        arrivals_by_id[arrival.id].append(arrival)
    found = []
    for stop in records.disturbances:
        if stop.kind != "stop":
            continue
        for each in records.attempts:
            is_lost = each.router == stop.name and not each.is_whole
            was_there = is_lost and stop.begins - AFTERMATH <= each.ended_at <= stop.ends
            passed_on = arrivals_by_id[each.id]
            if was_there and passed_on and not _is_excused(records, each, passed_on):
                found.append(f"{each.id} was lost as {stop.name} stopped, {each.status}")
    return found


def configuration_goes_on(records: Records) -> list[str]:
    """Check that a router never goes back to an older configuration while it lives."""
    newest: dict[tuple[str, int], int] = {}
    found = []
    for each in sorted(records.versions, key=lambda each: each.at):
        life = (each.router, each.life)
        if each.version < newest.get(life, 0):
            found.append(f"{each.router} went back from {newest[life]} to {each.version}")
        newest[life] = max(newest.get(life, 0), each.version)
    return found


def recovery(records: Records) -> list[str]:
    """Check that nearly all is served once the faults are over."""
    if math.isinf(records.recovered_at):
        return []
    tail = [each for each in records.attempts if each.sent_at >= records.recovered_at]
    served = sum(each.status == OK and each.is_whole for each in tail)
    if served >= SERVED_SHARE * len(tail) and tail:
        return []
    kinds = Counter(each.status for each in tail if not (each.status == OK and each.is_whole))
    return [f"{served} of {len(tail)} were served in the end; the others {dict(kinds)}"]


def lives(records: Records) -> list[str]:
    """Check that no process ended by itself."""
    return [f"{name} ended by itself" for name in records.ended_by_themselves]


def errors(records: Records) -> list[str]:
    """Check that no process met an error that it had no answer to."""
    counted = Counter(records.errors).items()
    return [f"{times} times {error}" for error, times in counted]


#: Every promise that is checked, by its name.
CHECK_BY_NAME: dict[str, Callable[[Records], list[str]]] = {
    "whole answers": whole_answers,
    "at most once": at_most_once,
    "true refusals": true_refusals,
    "leaving engines": leaving_engines,
    "resting engines": resting_engines,
    "planned stops": planned_stops,
    "configuration goes on": configuration_goes_on,
    "recovery": recovery,
    "lives": lives,
    "errors": errors,
}


def violations(records: Records) -> list[str]:
    """Return everything that broke a promise, each with the promise's name."""
    checked = CHECK_BY_NAME.items()
    return [f"{name}: {each}" for name, check in checked for each in check(records)]


def _by_engine(records: Records) -> dict[str, list[Arrival]]:
    found: dict[str, list[Arrival]] = defaultdict(list)
    for each in records.arrivals:
        found[each.engine].append(each)
    return found


def _told_at(arrivals: list[Arrival], attempt_by_id: dict[str, Attempt]) -> dict[str, float]:
    """Return when each router had first passed on an answer that said that its engine leaves."""
    told: dict[str, float] = {}
    for each in arrivals:
        attempt = attempt_by_id.get(each.id)
        if attempt is None or not each.said_leaving or not attempt.is_whole:
            continue
        if attempt.signature.startswith(f"{each.engine}."):
            told[attempt.router] = min(told.get(attempt.router, attempt.ended_at), attempt.ended_at)
    return told


def _is_excused(records: Records, attempt: Attempt, passed_on: list[Arrival]) -> bool:
    """Return whether something else than the stop may have lost an answer."""
    begins, ends = attempt.sent_at - AFTERMATH, attempt.ended_at + AFTERMATH
    struck = [each for each in records.disturbances if each.kind != "stop"]
    others = Records(disturbances=struck)
    names = {attempt.router, *(each.engine for each in passed_on)}
    return any(others.is_disturbed(name, begins, ends) for name in names)
