"""Reads the log lines that routers write; see ``observing``."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

import msgspec

from pondhatch.observing import Record, StateChange


class LoggedLine(msgspec.Struct, frozen=True):
    """A record that a router wrote, with its time."""

    router: str
    #: Seconds since 1970, by the router's own clock.
    at: float
    record: Record
    #: Its index among all records that were read.
    number: int


class ParsedLines(msgspec.Struct, frozen=True):
    """The records of some log files."""

    lines: tuple[LoggedLine, ...]
    #: Number of lines that are not a record or cannot be parsed.
    skipped: int


class _LineHeader(msgspec.Struct, frozen=True):
    at: float
    router: str


_HEADER_DECODER = msgspec.json.Decoder(_LineHeader)
_RECORD_DECODER: msgspec.json.Decoder[Record] = msgspec.json.Decoder(Record)


def read_lines(texts: Iterable[str]) -> ParsedLines:
    """Parse the records in lines of text; a prefix before a line's first brace is ignored.

    Other lines are skipped and counted, since log files hold log messages as well.
    """
    found: list[LoggedLine] = []
    skipped = 0
    for text in texts:
        start = text.find("{")
        line = _parse_line(text[start:].rstrip(), len(found)) if start >= 0 else None
        if line is None:
            skipped += 1
        else:
            found.append(line)
    return ParsedLines(tuple(found), skipped)


def _parse_line(text: str, number: int) -> LoggedLine | None:
    try:
        header = _HEADER_DECODER.decode(text)
        return LoggedLine(header.router, header.at, _RECORD_DECODER.decode(text), number)
    except (msgspec.DecodeError, ValueError):
        return None


def causal_order(lines: Sequence[LoggedLine]) -> tuple[LoggedLine, ...]:
    """Return lines in an order in which no effect comes before its cause.

    Lines of one router keep their order. A configuration that a router pulled from a peer took
    effect at the peer first. Where the clocks contradict this, the router's clock is behind, so
    that line and all later lines of that router are shifted to later times.
    """
    by_clock = sorted(lines, key=lambda line: (line.at, line.number))
    # When each version took effect at each router: by the router's clock at first, and by the
    # adjusted time once the line is processed.
    in_force_at = {
        (line.router, _version(line.record)): line.at
        for line in reversed(by_clock)
        if _puts_in_force(line.record)
    }
    shift_by_router: dict[str, float] = {}
    adjusted: list[tuple[float, int, LoggedLine]] = []
    for line in by_clock:
        time = line.at + shift_by_router.get(line.router, 0.0)
        source = _source_of(line.record)
        source_time = in_force_at.get(source) if source is not None else None
        if source_time is not None and source_time >= time:
            shift_by_router[line.router] = source_time - line.at
            time = source_time
        if _puts_in_force(line.record):
            in_force_at[line.router, _version(line.record)] = time
        adjusted.append((time, line.number, line))
    return tuple(line for _, _, line in sorted(adjusted, key=lambda each: each[:2]))


def _puts_in_force(record: Record) -> bool:
    if not isinstance(record, StateChange):
        return False
    return record.about == "configuration" and record.now == "in force"


def _version(record: Record) -> int:
    return record.version if isinstance(record, StateChange) else 0


def _source_of(record: Record) -> tuple[str, int] | None:
    """Return the peer that a configuration came from and its version; None if from no peer."""
    if not isinstance(record, StateChange) or not _puts_in_force(record):
        return None
    _, found, source = record.why.rpartition(", from ")
    return (source, record.version) if found and source != "the platform" else None
