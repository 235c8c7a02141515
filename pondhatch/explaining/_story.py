"""The story of one request, or of one thing that routers believe, from the lines of many."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

import msgspec

from pondhatch.explaining._lines import LoggedLine, in_order
from pondhatch.observing import Believed, RequestEnded

#: Seconds before a request's begin and after its end in which what routers came to believe of
#: the upstreams that it met may explain it: failures are told up to some seconds late.
BEFORE_SECONDS = 10.0
AFTER_SECONDS = 3.0

#: What an outcome means, by its code.
MEANING_BY_OUTCOME = {
    "whole": "its answer was delivered whole",
    "caller-gone": "its caller left first",
    "engines-full": "every engine asked was at its ceiling or cold, and nobody else was left",
    "engines-resting": "the engines asked had turned requests away and wanted a rest",
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
    "answer-crossed": "another request's answer came in the place of its own",
    "upstream-full": "the upstreams that it may be sent to refused it as full",
    "upstream-overloaded": "the upstreams that it may be sent to refused it and asked for a rest",
    "upstream-declined": "its upstream refused it though it had places by its own word",
    "upstream-draining": "its upstream refused it as it is about to end",
    "request-quarantined": "engines had ended while they ran it, so it is run no more",
}


class Told(msgspec.Struct, frozen=True):
    """One line of a story."""

    router: str
    at: float
    text: str


class Story(msgspec.Struct, frozen=True):
    """All that lines say of one name, in order."""

    name: str
    #: What happened.
    events: tuple[Told, ...]
    #: What the routers that took the request held to be so as it ended.
    known: tuple[Told, ...] = ()


def explain(name: str, lines: Sequence[LoggedLine]) -> Story:
    """Return the story of a request by its id or digest, or of what bears a name.

    Names are those of upstreams, routers, halls and entries; a number is a configuration's
    version. Without events the lines say nothing of it.
    """
    ordered = in_order(lines)
    ended = [each for each in ordered if _is_request(each, name)]
    if not ended:
        about = [each for each in ordered if _is_about(each, name)]
        return Story(name, tuple(_told(each) for each in about))
    known = [told for each in ended for told in _known_at(each, ordered)]
    events = {each.number: each for end in ended for each in (end, *_around(end, ordered))}
    in_place = [each for each in ordered if each.number in events]
    return Story(name, tuple(_told(each) for each in in_place), tuple(known))


def _is_request(line: LoggedLine, name: str) -> bool:
    return isinstance(line.record, RequestEnded) and name in (line.record.id, line.record.digest)


def _is_about(line: LoggedLine, name: str) -> bool:
    record = line.record
    if not isinstance(record, Believed):
        return False
    is_version = record.about == "configuration" and str(record.version) == name
    return is_version or name in (record.name, *record.name.split())


def _upstreams_of(ended: RequestEnded) -> set[str]:
    met = {name for name, _ in ended.passed_over} | {name for name, _ in ended.cut_at}
    return met | ({ended.upstream} if ended.upstream else set())


def _around(end: LoggedLine, lines: Iterable[LoggedLine]) -> list[LoggedLine]:
    """Return what routers came to believe of the upstreams that a request met, around its time."""
    ended = end.record
    if not isinstance(ended, RequestEnded):
        return []
    begins, ends = end.at - ended.ms / 1000 - BEFORE_SECONDS, end.at + AFTER_SECONDS
    names = _upstreams_of(ended)
    return [
        each
        for each in lines
        if isinstance(each.record, Believed)
        and begins <= each.at <= ends
        and (each.record.name in names or each.record.name == (ended.digest or None))
    ]


def _known_at(end: LoggedLine, lines: Iterable[LoggedLine]) -> list[Told]:
    """Return what the router that took a request last came to believe before it ended."""
    ended = end.record
    if not isinstance(ended, RequestEnded):
        return []
    names = _upstreams_of(ended)
    latest: dict[tuple[str, str], LoggedLine] = {}
    for each in lines:
        if each.number == end.number:
            break
        record = each.record
        if each.router != end.router or not isinstance(record, Believed):
            continue
        if record.name in names or record.about in ("configuration", "platform"):
            latest[record.about, record.name] = each
    return [_told(each) for each in latest.values()]


def _told(line: LoggedLine) -> Told:
    record = line.record
    text = _ended(record) if isinstance(record, RequestEnded) else _believed(record)
    return Told(line.router, line.at, text)


def _ended(ended: RequestEnded) -> str:
    meaning = MEANING_BY_OUTCOME.get(ended.outcome, ended.outcome)
    parts = [f"request {ended.id} of {ended.account or 'nobody'} for {ended.service}: {meaning}"]
    parts.append(f"({ended.outcome}, {ended.ms} ms, configuration {ended.configuration})")
    if ended.upstream:
        parts.append(f"- {ended.upstream} took it, with {ended.in_flight} of {ended.ceiling}")
    parts += [f"- {name} did not take it: {why}" for name, why in ended.passed_over]
    parts += [
        f"- its run was cut at {name}, {'which ended' if has_ended else 'which lives on'}"
        for name, has_ended in ended.cut_at
    ]
    if ended.predicted_ms:
        parts.append(f"- it would have waited {ended.predicted_ms} ms for a place")
    if ended.asking_ms * 2 > ended.ms:
        parts.append(f"- most of its time, {ended.asking_ms} ms, it waited for owners' words")
    return " ".join(parts)


def _believed(believed: Believed) -> str:
    version = f" as of {believed.version}" if believed.version else ""
    why = f" ({believed.why})" if believed.why else ""
    return f"{believed.about} {believed.name}".strip() + f" is {believed.now}{version}{why}"
