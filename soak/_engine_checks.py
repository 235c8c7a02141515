"""Checks of which requests reach engines, and how often."""

from __future__ import annotations

from collections import Counter, defaultdict

from soak._plan import APART_KINDS, APART_STORE, BAD_PART
from soak._records import Arrival, Attempt, Records

#: Statuses by which a router promises that a request has not run and never will run.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
#: Seconds after an answer that announced it during which a leaving engine may still get requests.
LEAVING_GRACE = 2.0
#: Seconds after an answer that asks for rest during which requests in flight may still arrive.
REST_GRACE = 0.5
#: Most requests from one router that may reach an engine during a rest that it asked for.
MAX_REQUESTS_IN_REST = 2
#: Engines that requests with one bad part, sent one by one, may end.
MAX_ENDED_BY_PART = 6


def at_most_once(records: Records) -> list[str]:
    """Check that a request that may not be repeated ran at most once."""
    runs = Counter(each.id for each in records.arrivals if each.ran)
    once = [each.id for each in records.attempts if not each.route.is_repeatable]
    return [f"{each} ran {runs[each]} times" for each in once if runs[each] > 1]


def true_refusals(records: Records) -> list[str]:
    """Check that a request that a router refused as not run did not run."""
    ran = {each.id for each in records.arrivals if each.ran}
    return [
        f"{each.id} was answered {each.status} by {each.router}, and ran"
        for each in records.attempts
        if each.status in NOT_RUN_STATUSES and not each.signature and each.id in ran
        if not each.route.is_repeatable
    ]


def leaving_engines(records: Records) -> list[str]:
    """Check that a router sends no new requests to an engine that told it that it leaves.

    Requests for an engine that was killed do not count: it may be listed on, at the address that
    the next one took over, which refuses them.
    """
    attempt_by_id = {each.id: each for each in records.attempts}
    found = []
    for engine, arrivals in _by_engine(records).items():
        known_since = _leaving_known_since(arrivals, attempt_by_id)
        for each in arrivals:
            attempt = attempt_by_id.get(each.id)
            since = known_since.get(attempt.router) if attempt is not None else None
            if attempt is None or since is None or attempt.sent_at <= since + LEAVING_GRACE:
                continue
            if _is_for_ended_engine(records, each):
                continue
            if not records.is_disturbed(attempt.router, since, attempt.sent_at):
                delay = attempt.sent_at - since
                found.append(
                    f"{each.id} reached {engine} {delay:.2f} s after {attempt.router} knew"
                )
    return found


def resting_engines(records: Records) -> list[str]:
    """Check that a router sends hardly any requests to an engine that asked it for rest."""
    router_by_id = {each.id: each.router for each in records.attempts}
    found = []
    for engine, arrivals in _by_engine(records).items():
        for rest_request in arrivals:
            router = router_by_id.get(rest_request.id)
            if rest_request.rest_seconds <= 0 or rest_request.answered_at is None or router is None:
                continue
            begins, ends = (
                rest_request.answered_at + REST_GRACE,
                rest_request.answered_at + rest_request.rest_seconds,
            )
            arrived_in_rest = [
                each
                for each in arrivals
                if begins < each.arrived_at < ends and router_by_id.get(each.id) == router
            ]
            is_excused = records.is_disturbed(router, rest_request.answered_at, ends)
            if len(arrived_in_rest) > MAX_REQUESTS_IN_REST and not is_excused:
                found.append(
                    f"{engine} asked {router} for rest and got {len(arrived_in_rest)} requests"
                )
    return found


def bad_parts(records: Records) -> list[str]:
    """Check that a part of prompts that crashes engines ends few of them.

    Routers that are cut off from the others meanwhile have to find out by themselves.
    """
    most = MAX_ENDED_BY_PART * (1 + _cuts_during_bad_parts(records))
    return [
        f"{ended} engines ended under the part {part}"
        for part, ended in records.ends_by_bad_part.items()
        if ended > most
    ]


def _cuts_during_bad_parts(records: Records) -> int:
    """Return how many times routers were cut off from the others while bad parts ended engines."""
    ends = [each.begins for each in records.disturbances if each.kind == BAD_PART]
    cuts = {
        (each.kind, each.begins)
        for each in records.disturbances
        if each.kind in APART_KINDS
        and each.kind != APART_STORE
        and any(each.begins <= ended <= each.ends for ended in ends)
    }
    return len(cuts)


def _by_engine(records: Records) -> dict[str, list[Arrival]]:
    found: dict[str, list[Arrival]] = defaultdict(list)
    for each in records.arrivals:
        found[each.engine].append(each)
    return found


def _is_for_ended_engine(records: Records, arrival: Arrival) -> bool:
    """Return whether a request names another engine of this run, which had ended before."""
    named = records.engine_lives.get(arrival.meant_for)
    return named is not None and named.name != arrival.engine and named.ends < arrival.arrived_at


def _leaving_known_since(
    arrivals: list[Arrival], attempt_by_id: dict[str, Attempt]
) -> dict[str, float]:
    """Return when each router first forwarded an answer by which the engine announced leaving."""
    known_since: dict[str, float] = {}
    for each in arrivals:
        attempt = attempt_by_id.get(each.id)
        if attempt is None or not each.announced_leaving or not attempt.is_whole:
            continue
        if attempt.signature.startswith(f"{each.engine}."):
            known_since[attempt.router] = min(
                known_since.get(attempt.router, attempt.ended_at), attempt.ended_at
            )
    return known_since
