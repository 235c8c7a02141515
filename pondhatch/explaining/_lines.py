"""Reading back the lines that routers write; see ``observing``."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

import msgspec

from pondhatch.observing import Believed, Record, RequestEnded


class LoggedLine(msgspec.Struct, frozen=True):
    """One line of one router."""

    router: str
    #: In seconds since 1970, by the router's own clock.
    at: float
    record: Record
    #: Its place among all lines that were read.
    number: int


class Lines(msgspec.Struct, frozen=True):
    """What files of lines hold."""

    lines: tuple[LoggedLine, ...]
    #: Lines that are no record of a router, or cannot be read.
    skipped: int


class _Head(msgspec.Struct, frozen=True):
    at: float
    router: str


_HEAD = msgspec.json.Decoder(_Head)
_RECORD: msgspec.json.Decoder[Record] = msgspec.json.Decoder(RequestEnded | Believed)


def read_lines(texts: Iterable[str]) -> Lines:
    """Return the records in lines of text; what stands before a record's brace is passed over.

    A line of another kind is counted and left out: files hold log messages as well.
    """
    found: list[LoggedLine] = []
    skipped = 0
    for text in texts:
        start = text.find("{")
        line = _line(text[start:].rstrip(), len(found)) if start >= 0 else None
        if line is None:
            skipped += 1
        else:
            found.append(line)
    return Lines(tuple(found), skipped)


def _line(text: str, number: int) -> LoggedLine | None:
    try:
        head = _HEAD.decode(text)
        return LoggedLine(head.router, head.at, _RECORD.decode(text), number)
    except (msgspec.DecodeError, ValueError):
        return None


def in_order(lines: Sequence[LoggedLine]) -> tuple[LoggedLine, ...]:
    """Return lines in an order in which no effect comes before its cause.

    Each router's own lines keep their order. A configuration that a router took from a peer came
    into force there after it was at the peer: where clocks say otherwise, the router's is behind,
    and all its later lines move with it.
    """
    waiting = sorted(lines, key=lambda line: (line.at, line.number))
    #: When each router had a version in force: by its own clock until it has been placed.
    taken_at = {
        (line.router, _version(line.record)): line.at
        for line in reversed(waiting)
        if _is_in_force(line.record)
    }
    shift_by_router: dict[str, float] = {}
    placed: list[tuple[float, int, LoggedLine]] = []
    for line in waiting:
        moment = line.at + shift_by_router.get(line.router, 0.0)
        giver = _giver(line.record)
        given = taken_at.get(giver) if giver is not None else None
        if given is not None and given >= moment:
            shift_by_router[line.router] = given - line.at
            moment = given
        if _is_in_force(line.record):
            taken_at[line.router, _version(line.record)] = moment
        placed.append((moment, line.number, line))
    return tuple(line for _, _, line in sorted(placed, key=lambda each: each[:2]))


def _is_in_force(record: Record) -> bool:
    if not isinstance(record, Believed):
        return False
    return record.about == "configuration" and record.now == "in force"


def _version(record: Record) -> int:
    return record.version if isinstance(record, Believed) else 0


def _giver(record: Record) -> tuple[str, int] | None:
    """Return the peer that gave a configuration, and its version; None where no peer did."""
    if not isinstance(record, Believed) or not _is_in_force(record):
        return None
    _, found, source = record.why.rpartition(", from ")
    return (source, record.version) if found and source != "the platform" else None
