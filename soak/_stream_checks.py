"""Checks of what callers got of streams, and of whole answers."""

from __future__ import annotations

import re
from collections import defaultdict

from fakes._machines_engine import STREAM_EVENTS
from soak._fleet import STORE_NAME
from soak._plan import OUT_OF_STEP_KINDS, ROUTER_KILL_KINDS, STORE_OUT_OF_REACH
from soak._records import OK, Attempt, Disturbance, Records, events_of, served_share

#: Bytes that are shown of either end of a body that breaks a promise.
SHOWN_BYTES = 80
_COMMENT_LINE = re.compile(rb"^:[^\n]*\n", re.MULTILINE)
#: Least number of resumed streams of which a share is checked, and the least share of them that
#: goes on, as a part of the share of new streams that begin.
MIN_RESUMED_STREAMS = 12
MIN_RESUMED_PART = 0.5
#: Engines of a stream's version that serve, for the stream to count in that share.
MIN_ENGINES_OF_VERSION = 2
#: Seconds before and after a try within which these engines must serve undisturbed.
SERVING_MARGIN = 1.0
#: Seconds from a stream's begin to a kill of many routers that it is to outlive, and from the end
#: of what was done to the store, or kept its router from it, to a begin from which on its records
#: count as written.
WRITE_SECONDS, STORE_MARGIN = 0.5, 2.0
#: Seconds for which a router that was out of step still counts as such.
AFTER_SPELL = 0.5


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


def each_event_once(records: Records) -> list[str]:
    """Check that an attempt brings each event after the last one of its caller once, in order."""
    found = []
    for each in records.attempts:
        numbers = [number for number, _ in events_of(each.body)] if each.route.is_stream else []
        if numbers != [each.last_event + count for count in range(1, len(numbers) + 1)]:
            found.append(f"{each.id} got the events {numbers} after event {each.last_event}")
    return found


def one_software_version(records: Records) -> list[str]:
    """Check that a stream's events come from one software version, over its caller's tries."""
    attempts_by_stream: dict[str, list[Attempt]] = defaultdict(list)
    for each in records.attempts:
        attempts_by_stream[each.stream].append(each)
    return [
        f"the stream of {name} on {attempts[0].route.path} holds events of two: {_tries(attempts)}"
        for name, attempts in attempts_by_stream.items()
        if len({version for each in attempts for _, version in events_of(each.body)}) > 1
    ]


def _tries(attempts: list[Attempt]) -> str:
    """Return when and where each try of a stream was made, and how many events of what it got."""
    tries = sorted(attempts, key=lambda each: each.sent_at)
    shown = []
    for each in tries:
        versions = [version for _, version in events_of(each.body)]
        got = " and ".join(f"{versions.count(name)} of {name}" for name in dict.fromkeys(versions))
        at = each.sent_at - tries[0].sent_at
        shown.append(f"{each.id} at {each.router} after {at:.2f} s: {each.status}, {got or None}")
    return "; ".join(shown)


def streams_go_on(records: Records) -> list[str]:
    """Check that streams that callers resume go on at least half as often as new ones begin.

    Those that were lost with all routers do not count: their records need not have been written.
    """
    begun_by_id = {each.id: each for each in records.attempts}
    resumed = _resumed(records)
    kept = [each for each in resumed if not _may_be_lost(records, begun_by_id[each.stream], each)]
    return _check_share(records, kept)


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
        since = [each for each in kills if begins <= each.begins <= ends]
        is_recorded = not records.is_disturbed(STORE_NAME, begun.sent_at - STORE_MARGIN, ends)
        is_held = begun.router not in {each.name for each in since}
        is_written = _may_be_written(records, begun) and not _ended_too_soon(kills, begun)
        return is_recorded and bool(since) and (is_held or is_written)

    return [each for each in _resumed(records) if outlives_a_kill(each)]


def _may_be_lost(records: Records, begun: Attempt, resumed: Attempt) -> bool:
    """Return whether a stream may have been lost as all routers were killed since it began.

    The store may not have taken the record, or may have come back without it.
    """
    kills = [each for each in records.disturbances if each.kind in ROUTER_KILL_KINDS]
    begins, ends = begun.sent_at, resumed.sent_at
    killed = {each.name for each in kills if begins <= each.begins <= ends}
    if not records.routers or not records.routers <= killed:
        return False
    is_store_sound = not records.is_disturbed(STORE_NAME, begins - STORE_MARGIN, ends)
    is_written = _may_be_written(records, begun) and not _ended_too_soon(kills, begun)
    return not (is_store_sound and is_written)


def _may_be_written(records: Records, begun: Attempt) -> bool:
    """Return whether a stream's router reached the store when its record was to be written.

    Else the record waits in that router's memory, and is lost if it is killed with the others.
    """
    begins, ends = begun.sent_at - STORE_MARGIN, begun.ended_at + WRITE_SECONDS
    return not any(
        each.kind == STORE_OUT_OF_REACH
        and each.name == begun.router
        and each.begins <= ends
        and begins <= each.ends
        for each in records.disturbances
    )


def _ended_too_soon(kills: list[Disturbance], begun: Attempt) -> bool:
    """Return whether an earlier kill struck a stream's router before its record counts as written.

    A later kill does not make it count.
    """
    return any(
        each.name == begun.router and begun.sent_at <= each.begins < begun.ended_at + WRITE_SECONDS
        for each in kills
    )


def resumed_out_of_step(records: Records) -> list[Attempt]:
    """Return the attempts that resume a stream at a router that is out of step, or just was."""
    spells = [each for each in records.disturbances if each.kind in OUT_OF_STEP_KINDS]
    return [
        each
        for each in records.attempts
        if each.resumed_attempt
        and any(
            spell.name == each.router and spell.begins <= each.sent_at <= spell.ends + AFTER_SPELL
            for spell in spells
        )
    ]


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
    begins = served_share(begun)
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
        and each.service == attempt.route.service
        and not records.is_disturbed(each.name, begins, ends)
    ]
    return len(serving) >= MIN_ENGINES_OF_VERSION
