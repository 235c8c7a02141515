"""Decisions as one line of JSON each: what was decided, from what, and the outcome."""

from __future__ import annotations

import time
from typing import Protocol

import msgspec

from pondhatch.observing._line_writer import STANDARD_OUTPUT, LineWriter
from pondhatch.observing._logs import log_for

_log = log_for("beliefs")


class RequestEnded(
    msgspec.Struct, frozen=True, tag_field="event", tag="request", omit_defaults=True
):
    """A request got its answer or its refusal."""

    #: As the caller named it, else this router's name for it.
    id: str
    account: str
    service: str
    #: How it ended: "whole", or the code of a refusal or a break.
    outcome: str
    #: Milliseconds from its head to the end.
    ms: int
    #: Key of the context that it shares with others, in hex; empty where it has none.
    context: str = ""
    #: Version of the configuration that decided.
    configuration: int = 0
    #: The upstream that answered.
    upstream: str = ""
    #: Requests in flight there when it was granted, this one included.
    in_flight: int = 0
    #: The most that its owner would have granted then.
    ceiling: int = 0
    #: Upstreams that did not take it, each with why.
    passed_over: tuple[tuple[str, str], ...] = ()
    #: Times that its stream went on at another upstream.
    resumes: int = 0
    #: Milliseconds that it waited for words of engines' owners, lines included.
    asking_ms: int = 0
    #: Milliseconds from its head until an engine's answer began; 0 where none did.
    placed_ms: int = 0
    #: The longest pause between two parts of its answer, in milliseconds.
    pause_ms: int = 0
    #: Upstreams at which its run was cut, each with whether nothing listened there any more.
    cut_at: tuple[tuple[str, bool], ...] = ()
    #: In hex, where a run was cut: alike in all attempts at the same request.
    digest: str = ""
    #: Milliseconds that it would have waited for a place, where it was refused for that.
    predicted_ms: int = 0


class StateChange(msgspec.Struct, frozen=True, tag_field="event", tag="belief", omit_defaults=True):
    """What this router takes to be so has changed."""

    #: "configuration", "upstream", "health" (of an upstream), "notice" (what an upstream said of
    #: itself in its answers), "hall" (whether it is evacuated),
    #: "router", "platform", "process",
    #: "request" (one under which engines ended) or "records" (of these, some were left out).
    about: str
    #: Which of them; empty where there is one only.
    name: str
    #: What it is now.
    now: str
    #: The version of what it follows from.
    version: int = 0
    #: What it was before, or what showed it.
    why: str = ""


Record = RequestEnded | StateChange


class Records(Protocol):
    """Takes decisions."""

    def write(self, record: Record) -> None:
        """Take in one decision."""


class NoRecords:
    """Keeps none."""

    def write(self, record: Record) -> None:
        """Do nothing."""


class LoggedRecords:
    """Writes changes of belief as sentences for people; requests are too many for them."""

    def write(self, record: Record) -> None:
        """Write one change."""
        if isinstance(record, StateChange):
            _log.info("{}", _sentence(record))


def _sentence(change: StateChange) -> str:
    subject = f"{change.about} {change.name}".strip().capitalize()
    version = f" as of {change.version}" if change.version else ""
    why = f" ({change.why})" if change.why else ""
    return f"{subject} is {change.now}{version}{why}."


class LineRecords:
    """Writes each decision as a line; see Records."""

    def __init__(self, process: str, lines: LineWriter = STANDARD_OUTPUT) -> None:
        self._prefix = b'{"at":%.3f,"router":' + msgspec.json.encode(process) + b","
        self._lines = lines
        self._encoder = msgspec.json.Encoder()

    def write(self, record: Record) -> None:
        """Write one decision."""
        body = self._encoder.encode(record)
        self._lines.add(self._prefix % time.time() + body[1:])
