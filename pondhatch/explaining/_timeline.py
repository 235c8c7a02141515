"""The history of a request, or of an object that routers know, from the lines of many routers."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

import msgspec

from pondhatch.explaining._log_reader import LoggedLine, causal_order
from pondhatch.observing import (
    Record,
    RequestEnded,
    RequestRelayed,
    StateChange,
    SurplusReceived,
)

#: Seconds before the start and after the end of a request in which state changes of its upstreams
#: may explain its outcome: failures are detected and reported up to some seconds late.
BEFORE_SECONDS = 10.0
AFTER_SECONDS = 3.0

#: Explanation of each outcome, by its code.
MEANING_BY_OUTCOME = {
    "whole": "its answer was delivered whole",
    "cancelled": "its caller left, or the router that received it gave it up",
    "caller-gone": "its caller left first",
    "engines-full": "every engine asked was at its ceiling or cold, and nobody else was left",
    "engines-resting": "the engines asked had turned requests away and wanted a rest",
    "engines-unreachable": "neither its router nor another reached an engine that may take it",
    "path-lost": "its router did not reach its engine, and no other router could relay it",
    "no-upstream": "the service has no upstream that may take it",
    "deadline": "no engine was free before its deadline",
    "stopping": "the router was stopping",
    "not-ready": "the router had not read the configuration or the evacuations yet",
    "unknown-key": "its key belongs to nobody, by the configuration in force there",
    "no-key": "it bore no key",
    "no-route": "no route has its host and path, by the configuration in force there",
    "configuration-misfit": "part of the accepted configuration was not in force there",
    "upstream-lost": "its upstream was lost while it may have run; nobody can say whether it did",
    "answer-broken": "its answer broke off in the middle",
    "answer-crossed": "an answer came that is not provably its own",
    "upstream-full": "the upstreams that it may be sent to refused it as full",
    "upstream-overloaded": "the upstreams that it may be sent to refused it and asked for a rest",
    "upstream-declined": "its upstream refused it though it had places by its own word",
    "upstream-draining": "its upstream refused it as it is about to end",
    "software-version-gone": "no engine of the software version that began its stream was left",
    "stream-origin-unknown": "several software versions serve, and nobody knew which began it",
    "software-version-unregistered": "the platform did not know of the only software version yet",
    "version-not-written": "the platform was not told in time that it went to a second version",
    "request-quarantined": "engines had ended while they ran it, so it is run no more",
}


class TimelineEvent(msgspec.Struct, frozen=True):
    """One event of a timeline, as text."""

    router: str
    at: float
    text: str


class Timeline(msgspec.Struct, frozen=True):
    """The events about one name in the lines of all routers, in causal order."""

    name: str
    #: The ended requests and the state changes around them.
    events: tuple[TimelineEvent, ...]
    #: The latest state changes before the request's end, at the routers that received it.
    known: tuple[TimelineEvent, ...] = ()


def build_timeline(name: str, lines: Sequence[LoggedLine]) -> Timeline:
    """Return the timeline of a request by its id or digest, or of an object by its name.

    Objects are upstreams, routers, halls and configuration entries; a number is a version of the
    configuration. A timeline without events means that no line mentions the name.
    """
    ordered = causal_order(lines)
    requests = [each for each in ordered if _matches_request(each, name)]
    if not requests:
        about = [each for each in ordered if _matches_state_change(each, name)]
        return Timeline(name, tuple(_timeline_event(each) for each in about))
    known = [line for each in requests for line in _known_before(each, ordered)]
    event_by_number = {
        each.number: each for end in requests for each in (end, *_related_changes(end, ordered))
    }
    events_in_order = [each for each in ordered if each.number in event_by_number]
    return Timeline(name, tuple(_timeline_event(each) for each in events_in_order), tuple(known))


def _matches_request(line: LoggedLine, name: str) -> bool:
    if isinstance(line.record, RequestRelayed):
        return name == line.record.id
    if isinstance(line.record, SurplusReceived):
        return name in (line.record.id, line.record.named)
    return isinstance(line.record, RequestEnded) and name in (line.record.id, line.record.digest)


def _matches_state_change(line: LoggedLine, name: str) -> bool:
    record = line.record
    if not isinstance(record, StateChange):
        return False
    is_version = record.about == "configuration" and str(record.version) == name
    return is_version or name in (record.name, *record.name.split())


def _upstreams_of(ended: RequestEnded) -> set[str]:
    names = {name for name, _ in ended.passed_over} | {name for name, _ in ended.cut_at}
    return names | ({ended.upstream} if ended.upstream else set())


def _related_changes(end: LoggedLine, lines: Iterable[LoggedLine]) -> list[LoggedLine]:
    """Return the state changes of a request's upstreams, and of its digest, around its time."""
    ended = end.record
    if not isinstance(ended, RequestEnded):
        return []
    begins, ends = end.at - ended.ms / 1000 - BEFORE_SECONDS, end.at + AFTER_SECONDS
    names = _upstreams_of(ended)
    return [
        each
        for each in lines
        if isinstance(each.record, StateChange)
        and begins <= each.at <= ends
        and (each.record.name in names or each.record.name == (ended.digest or None))
    ]


def _known_before(end: LoggedLine, lines: Iterable[LoggedLine]) -> list[TimelineEvent]:
    """Return the latest state changes before a request's end at the router that received it.

    These are the changes of the request's upstreams, of the configuration and of the platform.
    """
    ended = end.record
    if not isinstance(ended, RequestEnded):
        return []
    names = _upstreams_of(ended)
    latest: dict[tuple[str, str], LoggedLine] = {}
    for each in lines:
        if each.number == end.number:
            break
        record = each.record
        if each.router != end.router or not isinstance(record, StateChange):
            continue
        if record.name in names or record.about in ("configuration", "platform"):
            latest[record.about, record.name] = each
    return [_timeline_event(each) for each in latest.values()]


def _timeline_event(line: LoggedLine) -> TimelineEvent:
    record = line.record
    return TimelineEvent(line.router, line.at, _text(record))


def _text(record: Record) -> str:
    if isinstance(record, RequestEnded):
        return _request_text(record)
    if isinstance(record, RequestRelayed):
        return _relayed_text(record)
    if isinstance(record, SurplusReceived):
        return _surplus_text(record)
    return _state_change_text(record)


def _relayed_text(relayed: RequestRelayed) -> str:
    meaning = MEANING_BY_OUTCOME.get(relayed.outcome, relayed.outcome)
    return (
        f"request {relayed.id}, relayed for {relayed.entry} to {relayed.upstream}: {meaning} "
        f"({relayed.outcome}, {relayed.ms} ms)"
    )


def _surplus_text(surplus: SurplusReceived) -> str:
    whose = f"for request {surplus.named}" if surplus.named else "that names no request"
    then = (
        "its own answer was awaited on"
        if surplus.outcome == "skipped"
        else "nothing could be concluded, and the connection was closed"
    )
    return (
        f"request {surplus.id} received an answer {surplus.status} {whose} from "
        f"{surplus.upstream}, as request {surplus.use} of its connection: {then}"
    )


def _request_text(ended: RequestEnded) -> str:
    meaning = MEANING_BY_OUTCOME.get(ended.outcome, ended.outcome)
    parts = [f"request {ended.id} of {ended.account or 'nobody'} for {ended.service}: {meaning}"]
    parts.append(f"({ended.outcome}, {ended.ms} ms, configuration {ended.configuration})")
    if ended.upstream:
        parts.append(f"- {ended.upstream} took it, with {ended.in_flight} of {ended.ceiling}")
    if ended.software_versions:
        parts.append(f"- it ran at software version {', then '.join(ended.software_versions)}")
    if ended.ended_with_connection:
        parts.append("- its answer had neither a length nor chunks and ended with its connection")
    if ended.resumed_attempt:
        parts.append(f"- it resumed the stream that {ended.resumed_attempt} began")
    if ended.origin:
        known_at = f" at {ended.origin_router}" if ended.origin_router else ""
        parts.append(f"- the software version that began it is known by {ended.origin}{known_at}")
    if ended.not_resumed:
        parts.append(f"- its broken stream went on nowhere: {ended.not_resumed}")
    if ended.relayed_by:
        parts.append(f"- {ended.relayed_by} relayed its answer")
    parts += [f"- {name} did not take it: {why}" for name, why in ended.passed_over]
    parts += [
        f"- its run was cut at {name}, {'which ended' if has_ended else 'which lives on'}"
        for name, has_ended in ended.cut_at
    ]
    if ended.prompt_parts:
        parts.append(f"- the shared parts of its prompt: {', '.join(ended.prompt_parts)}")
    if ended.predicted_ms:
        parts.append(f"- it would have waited {ended.predicted_ms} ms for a place")
    if ended.asking_ms * 2 > ended.ms:
        parts.append(f"- most of its time, {ended.asking_ms} ms, it waited for owners' words")
    return " ".join(parts)


def _state_change_text(change: StateChange) -> str:
    version = f" as of {change.version}" if change.version else ""
    why = f" ({change.why})" if change.why else ""
    return f"{change.about} {change.name}".strip() + f" is {change.now}{version}{why}"
