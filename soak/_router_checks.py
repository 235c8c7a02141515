"""Checks of what routers do under the faults, and after them."""

from __future__ import annotations

import math
from collections import Counter, defaultdict
from dataclasses import replace

from soak._fleet import STORE_NAME
from soak._plan import (
    APART_STORE,
    LOST_READERS,
    OUT_OF_STEP_KINDS,
    PATH_KINDS,
    ROUTER_KILL_KINDS,
)
from soak._records import OK, Arrival, Attempt, Disturbance, Records, served_share

#: Seconds by which an attempt may miss a disturbance and still be affected by it.
AFTER_EFFECT_SECONDS = 1.0
#: Seconds after which callers of a router that reaches no engine must be served again.
PATH_DETECTION_SECONDS = 3.0
#: Requests that may fail there during one cut, besides one in fifty.
MAX_CUT_OFF_FAILURES = 10
#: Seconds within which a change is to be in force, and for which a router and the store must have
#: been undisturbed for that.
IN_FORCE_SECONDS, IN_TOUCH_SECONDS = 2.0, 3.0
#: Least share of the requests after the recovery that must be served.
MIN_SERVED_SHARE = 0.9
#: Seconds within which a router that was killed serves again, if it was not seen to take longer.
START_SECONDS = 3.0
#: Faults after which a router begins anew.
RESTART_KINDS = (*ROUTER_KILL_KINDS, "kill", "stop")
#: Faults of one router that keep it from relaying requests of others: a router that is cut off from
#: the store alone still does.
UNABLE_KINDS = (
    *PATH_KINDS,
    *(each for each in OUT_OF_STEP_KINDS if each != APART_STORE),
    *("freeze", LOST_READERS, *RESTART_KINDS),
)


def cut_off_routers(records: Records) -> list[str]:
    """Check that routers that reach no engine serve their callers hardly less than the others.

    They do so through other routers, so it is not checked while some of these begin anew, nor while
    the router is out of step, or none of the others could relay.
    """
    cuts = [each for each in records.disturbances if each.kind in PATH_KINDS]
    kills = [
        replace(each, ends=each.ends + START_SECONDS + PATH_DETECTION_SECONDS)
        for each in records.disturbances
        if each.kind in ROUTER_KILL_KINDS
    ]
    spells = [
        replace(each, ends=_over_at(records, each) + PATH_DETECTION_SECONDS)
        for each in records.disturbances
        if each.kind in (*UNABLE_KINDS, *OUT_OF_STEP_KINDS)
    ]
    found = []
    for cut in cuts:
        begins, ends = cut.begins + PATH_DETECTION_SECONDS, cut.ends
        during = [
            each
            for each in records.attempts
            if begins <= each.sent_at
            and each.ended_at <= ends
            and not _struck(kills, ROUTER_KILL_KINDS, each)
            and cut.name not in _struck(spells, (*OUT_OF_STEP_KINDS, *ROUTER_KILL_KINDS), each)
            and _has_relay(records.routers - {cut.name}, spells, each)
        ]
        here = [each for each in during if each.router == cut.name]
        cut_off = {each.name for each in cuts if each.begins < ends and each.ends > begins}
        others = [each for each in during if each.router not in cut_off]
        failed = [each for each in here if each.status != OK]
        if len(failed) > MAX_CUT_OFF_FAILURES + len(here) / 50 and (
            3 * served_share(here) < 2 * served_share(others)
        ):
            found.append(
                f"{len(failed)} of {len(here)} failed at {cut.name}, which was cut off"
                f" ({cut.kind}): {_failures(cut.begins, failed)}; elsewhere"
                f" {served_share(others):.2f} of {len(others)} were served"
            )
    return found


def _failures(since: float, failed: list[Attempt]) -> str:
    """Return the statuses of failed attempts, and the first and the last one of them."""
    in_order = sorted(failed, key=lambda each: each.sent_at)
    status_counts = dict(Counter(each.status for each in failed))
    ends = [f"{each.id} sent after {each.sent_at - since:.2f} s" for each in in_order]
    return f"{status_counts}, {ends[0]} to {ends[-1]}"


def _over_at(records: Records, disturbance: Disturbance) -> float:
    """Return when a disturbance was over; a restart once the router was seen to serve."""
    if disturbance.kind not in RESTART_KINDS:
        return disturbance.ends
    seen = [
        each.observed_at
        for each in records.versions
        if each.router == disturbance.name and each.observed_at > disturbance.ends and each.version
    ]
    return max(disturbance.ends + START_SECONDS, min(seen, default=0.0))


def _has_relay(others: frozenset[str], spells: list[Disturbance], attempt: Attempt) -> bool:
    """Return whether some other router could relay an attempt throughout."""
    return not others or not others <= _struck(spells, UNABLE_KINDS, attempt)


def _struck(spells: list[Disturbance], kinds: tuple[str, ...], attempt: Attempt) -> set[str]:
    """Return the routers that spells of some kinds struck at some time during an attempt."""
    return {
        each.name
        for each in spells
        if each.kind in kinds and each.begins <= attempt.ended_at and attempt.sent_at <= each.ends
    }


def planned_stops(records: Records) -> list[str]:
    """Check that a router that is asked to stop still answers the requests that it forwarded."""
    arrivals_by_id = defaultdict(list)
    for arrival in records.arrivals:
        arrivals_by_id[arrival.id].append(arrival)
    found = []
    for stop in records.disturbances:
        if stop.kind != "stop":
            continue
        for each in records.attempts:
            is_lost = each.router == stop.name and not each.is_whole and not each.caller_left
            ended_during_stop = (
                is_lost and stop.begins - AFTER_EFFECT_SECONDS <= each.ended_at <= stop.ends
            )
            forwarded = arrivals_by_id[each.id]
            if ended_during_stop and forwarded and not _is_excused(records, each, forwarded):
                found.append(f"{each.id} was lost as {stop.name} stopped, {each.status}")
    return found


def configuration_goes_on(records: Records) -> list[str]:
    """Check that a router never reverts to an older configuration without a restart."""
    newest: dict[tuple[str, int], int] = {}
    found = []
    for each in sorted(records.versions, key=lambda each: each.observed_at):
        process = (each.router, each.restarts)
        if each.version < newest.get(process, 0):
            found.append(f"{each.router} went back from {newest[process]} to {each.version}")
        newest[process] = max(newest.get(process, 0), each.version)
    return found


def dropped_keys(records: Records) -> list[str]:
    """Check that no router serves a key 2 s after the store acknowledged that it is dropped.

    Only routers are judged that were in touch with the store and undisturbed for a while, and only
    while nothing was done to the store.
    """
    found = []
    for each in records.key_uses:
        begins = min(each.dropped_at, each.sent_at - IN_TOUCH_SECONDS)
        is_struck = any(
            records.is_disturbed(name, begins, each.sent_at) for name in (each.router, STORE_NAME)
        )
        if (
            each.status == OK
            and not is_struck
            and each.sent_at - each.dropped_at > IN_FORCE_SECONDS
        ):
            found.append(
                f"{each.router} served a key {each.sent_at - each.dropped_at:.2f} s after it was"
                " dropped"
            )
    return found


def recovery(records: Records) -> list[str]:
    """Check that nearly all requests are served once the faults are over."""
    if math.isinf(records.recovery_deadline):
        return []
    tail = [
        each
        for each in records.attempts
        if each.sent_at >= records.recovery_deadline and not each.caller_left
    ]
    served = sum(each.status == OK and each.is_whole for each in tail)
    if served >= MIN_SERVED_SHARE * len(tail) and tail:
        return []
    status_counts = Counter(
        each.status for each in tail if not (each.status == OK and each.is_whole)
    )
    return [f"{served} of {len(tail)} were served in the end; the others {dict(status_counts)}"]


def lives(records: Records) -> list[str]:
    """Check that no process exited unexpectedly."""
    return [f"{name} ended by itself" for name in records.unexpected_exits]


def errors(records: Records) -> list[str]:
    """Check that no process wrote the traceback of an error."""
    counted = Counter(records.errors).items()
    return [f"{times} times {error}" for error, times in counted]


def _is_excused(records: Records, attempt: Attempt, forwarded: list[Arrival]) -> bool:
    """Return whether a disturbance other than a stop may have lost an answer."""
    begins, ends = attempt.sent_at - AFTER_EFFECT_SECONDS, attempt.ended_at + AFTER_EFFECT_SECONDS
    other_disturbances = [each for each in records.disturbances if each.kind != "stop"]
    other_records = Records(disturbances=other_disturbances)
    names = {attempt.router, *(each.engine for each in forwarded)}
    return any(other_records.is_disturbed(name, begins, ends) for name in names)
