"""Checks of the router's promises on the records of a run; each returns its violations."""

from __future__ import annotations

import math
import re
from collections import Counter, defaultdict
from collections.abc import Callable

from fakes._machines_engine import STREAM_EVENTS
from soak._fleet import STORE_NAME
from soak._plan import PATH_KINDS, ROUTER_KILL_KINDS, STREAM_SERVICE
from soak._records import Arrival, Attempt, Records, events_of

#: Statuses by which a router promises that a request has not run and never will run.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
#: Seconds after an answer that announced it during which a leaving engine may still get requests.
LEAVING_GRACE = 2.0
#: Seconds after an answer that asks for rest during which requests in flight may still arrive.
REST_GRACE = 0.5
#: Most requests from one router that may reach an engine during a rest that it asked for.
MAX_REQUESTS_IN_REST = 2
#: Seconds by which an attempt may miss a disturbance and still be affected by it.
AFTER_EFFECT_SECONDS = 1.0
#: Seconds after which callers of a router that reaches no engine must be served again.
PATH_DETECTION_SECONDS = 3.0
#: Requests that may fail there during one cut, besides one in fifty.
MAX_CUT_OFF_FAILURES = 10
#: Least share of the requests after the recovery that must be served.
MIN_SERVED_SHARE = 0.9
#: Engines that requests with one bad part, sent one by one, may end.
MAX_ENDED_BY_PART = 6
#: Bytes that are shown of either end of a body that breaks a promise.
SHOWN_BYTES = 80
_COMMENT_LINE = re.compile(rb"^:[^\n]*\n", re.MULTILINE)
OK = 200
#: Least number of resumed streams of which a share is checked, and the least share of them that
#: goes on, as a part of the share of new streams that begin.
MIN_RESUMED_STREAMS = 12
MIN_RESUMED_PART = 0.5
#: Engines of a stream's version that serve, for the stream to count in that share.
MIN_ENGINES_OF_VERSION = 2
#: Seconds before and after a try within which these engines must serve undisturbed.
SERVING_MARGIN = 1.0
#: Seconds from a stream's begin to a kill of many routers that it is to outlive, and from the end
#: of what was done to the store to a begin from which on its records count as written.
WRITE_SECONDS, STORE_MARGIN = 0.5, 2.0
#: Seconds within which a router that was killed serves and notices a cut that goes on.
RESTART_SECONDS = 3.0 + PATH_DETECTION_SECONDS


def stream(version: str, after: int = 0) -> bytes:
    """Return the whole rest of a stream after an event, as engines of a version send it."""
    numbers = range(after + 1, STREAM_EVENTS + 1)
    return "".join(f"id: {number}\ndata: {number} {version}\n\n" for number in numbers).encode()


def whole_answers(records: Records) -> list[str]:
    """Check that a successful answer is complete, from one engine, and to the request sent."""
    found = []
    for each in records.attempts:
        if each.status != OK or not each.is_whole:
            continue
        engine, _, attempt = each.signature.partition(".")
        if each.route.is_stream:
            is_expected = _is_whole_stream(each)
        else:
            is_expected = each.body == f"body by {engine}".encode()
        if attempt != each.id or not is_expected:
            found.append(f"{each.id} got {_shown(each.body)} signed {each.signature!r}")
    return found


def _is_whole_stream(attempt: Attempt) -> bool:
    """Return whether an answer is the whole rest of a stream, from engines of one version."""
    events = events_of(attempt.body)
    version = events[0][1] if events else ""
    return _without_comments(attempt.body) == stream(version, attempt.last_event)


def _without_comments(body: bytes) -> bytes:
    """Return a stream without its whole comment lines and the blank lines that they leave.

    An engine that sends comments without an event is given up, and another one sends the stream.
    """
    return re.sub(rb"\n{3,}", b"\n\n", _COMMENT_LINE.sub(b"", body)).lstrip(b"\n")


def _shown(body: bytes) -> str:
    """Return the start and the end of a body, and its length."""
    if len(body) <= 2 * SHOWN_BYTES:
        return repr(body)
    return f"{body[:SHOWN_BYTES]!r} to {body[-SHOWN_BYTES:]!r}, {len(body)} bytes"


def one_software_version(records: Records) -> list[str]:
    """Check that a stream's events come from one software version, over its caller's tries."""
    versions_by_stream: dict[str, set[str]] = defaultdict(set)
    for each in records.attempts:
        versions_by_stream[each.stream] |= {version for _, version in events_of(each.body)}
    return [
        f"the stream of {name} holds events of {sorted(versions)}"
        for name, versions in versions_by_stream.items()
        if len(versions) > 1
    ]


def streams_go_on(records: Records) -> list[str]:
    """Check that streams that callers resume go on at least half as often as new ones begin."""
    return _check_share(records, _resumed(records))


def streams_outlive_routers(records: Records) -> list[str]:
    """Check the same of the streams alone that began before a kill of many routers."""
    return _check_share(records, resumed_after_kills(records))


def resumed_after_kills(records: Records) -> list[Attempt]:
    """Return the attempts that resume a stream whose record was written before such a kill."""
    kills = [each for each in records.disturbances if each.kind in ROUTER_KILL_KINDS]
    begun_by_id = {each.id: each for each in records.attempts}

    def outlives_a_kill(resumed: Attempt) -> bool:
        begun = begun_by_id[resumed.stream]
        begins, ends = begun.ended_at + WRITE_SECONDS, resumed.sent_at
        is_recorded = not records.is_disturbed(STORE_NAME, begun.sent_at - STORE_MARGIN, ends)
        return is_recorded and any(begins <= each.begins <= ends for each in kills)

    return [each for each in _resumed(records) if outlives_a_kill(each)]


def _resumed(records: Records) -> list[Attempt]:
    """Return the attempts that resume a stream and that nothing but its routers may refuse."""
    version_by_stream = {
        each.stream: events[0][1]
        for each in records.attempts
        if not each.resumed_attempt and (events := events_of(each.body))
    }
    return [
        each
        for each in records.attempts
        if each.resumed_attempt
        and _has_engines(records, version_by_stream[each.stream], each)
        and not records.is_disturbed(each.router, each.sent_at - SERVING_MARGIN, each.ended_at)
    ]


def _check_share(records: Records, resumed: list[Attempt]) -> list[str]:
    """Check the share of resumed streams that go on against that of new ones that begin."""
    begun = [each for each in records.attempts if each.route.is_stream and not each.resumed_attempt]
    went_on = sum(each.status == OK for each in resumed)
    begins = _served_share(begun)
    if len(resumed) < MIN_RESUMED_STREAMS or went_on >= MIN_RESUMED_PART * begins * len(resumed):
        return []
    return [f"{went_on} of {len(resumed)} resumed streams went on, new ones began in {begins:.2f}"]


def _has_engines(records: Records, version: str, attempt: Attempt) -> bool:
    """Return whether enough engines of a version served undisturbed during an attempt."""
    begins, ends = attempt.sent_at - SERVING_MARGIN, attempt.ended_at + SERVING_MARGIN
    serving = [
        each
        for each in records.engine_lives.values()
        if each.software_version == version
        and each.begins < begins
        and each.ends > ends
        and each.service == STREAM_SERVICE
        and not records.is_disturbed(each.name, begins, ends)
    ]
    return len(serving) >= MIN_ENGINES_OF_VERSION


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


def cut_off_routers(records: Records) -> list[str]:
    """Check that routers that reach no engine serve their callers hardly less than the others.

    They do so through other routers, so it is not checked while some of these begin anew.
    """
    cuts = [each for each in records.disturbances if each.kind in PATH_KINDS]
    kills = [each for each in records.disturbances if each.kind in ROUTER_KILL_KINDS]
    found = []
    for cut in cuts:
        begins, ends = cut.begins + PATH_DETECTION_SECONDS, cut.ends
        during = [
            each
            for each in records.attempts
            if begins <= each.sent_at
            and each.ended_at <= ends
            and not any(
                kill.begins <= each.ended_at and each.sent_at <= kill.ends + RESTART_SECONDS
                for kill in kills
            )
        ]
        here = [each for each in during if each.router == cut.name]
        cut_off = {each.name for each in cuts if each.begins < ends and each.ends > begins}
        others = [each for each in during if each.router not in cut_off]
        failed = [each for each in here if each.status != OK]
        if len(failed) > MAX_CUT_OFF_FAILURES + len(here) / 50 and (
            3 * _served_share(here) < 2 * _served_share(others)
        ):
            found.append(f"{len(failed)} of {len(here)} failed at {cut.name}, which was cut off")
    return found


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


def bad_parts(records: Records) -> list[str]:
    """Check that a part of prompts that crashes engines ends few of them."""
    return [
        f"{ended} engines ended under the part {part}"
        for part, ended in records.ends_by_bad_part.items()
        if ended > MAX_ENDED_BY_PART
    ]


#: Check of each promise, by the promise's name.
CHECK_BY_NAME: dict[str, Callable[[Records], list[str]]] = {
    "whole answers": whole_answers,
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
    "recovery": recovery,
    "lives": lives,
    "errors": errors,
    "bad parts": bad_parts,
}


def violations(records: Records) -> list[str]:
    """Return all violations of all promises, each with the promise's name."""
    checked = CHECK_BY_NAME.items()
    return [f"{name}: {each}" for name, check in checked for each in check(records)]


def _served_share(attempts: list[Attempt]) -> float:
    return sum(each.status == OK for each in attempts) / max(1, len(attempts))


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


def _is_excused(records: Records, attempt: Attempt, forwarded: list[Arrival]) -> bool:
    """Return whether a disturbance other than a stop may have lost an answer."""
    begins, ends = attempt.sent_at - AFTER_EFFECT_SECONDS, attempt.ended_at + AFTER_EFFECT_SECONDS
    other_disturbances = [each for each in records.disturbances if each.kind != "stop"]
    other_records = Records(disturbances=other_disturbances)
    names = {attempt.router, *(each.engine for each in forwarded)}
    return any(other_records.is_disturbed(name, begins, ends) for name in names)
