"""Records of ended requests and of changes of state, written as one JSON object a line."""

from __future__ import annotations

import time
from typing import Protocol

import msgspec

from pondhatch.observing._line_writer import STANDARD_OUTPUT, LineWriter
from pondhatch.observing._logs import log_for

# Named after the tag of StateChange, the only kind of record that it logs.
_log = log_for("beliefs")


class RequestEnded(
    msgspec.Struct, frozen=True, tag_field="event", tag="request", omit_defaults=True
):
    """A request ended, with an answer or a refusal."""

    #: The caller's request id, else the one that this router gave it.
    id: str
    account: str
    service: str
    #: "whole", or the code of the refusal or of the broken answer.
    outcome: str
    #: Milliseconds from the request's headers to its end.
    ms: int
    #: Key of the context that it shares with other requests, in hex; empty without one.
    context: str = ""
    #: Version of the configuration under which it was routed.
    configuration: int = 0
    #: The upstream that answered.
    upstream: str = ""
    #: Requests in flight there when it was granted, this one included.
    in_flight: int = 0
    #: The upstream's ceiling at that time: the maximum number of requests in flight that its owner
    #: grants.
    ceiling: int = 0
    #: Upstreams that did not take it, each with the reason.
    passed_over: tuple[tuple[str, str], ...] = ()
    #: Number of times that its stream was resumed at another upstream.
    resumes: int = 0
    #: Milliseconds that it waited for replies of engines' owners, time in queues included.
    asking_ms: int = 0
    #: Milliseconds from the request's headers until an engine's answer began; 0 where none did.
    placed_ms: int = 0
    #: The longest pause between two chunks of its answer, in milliseconds.
    pause_ms: int = 0
    #: Upstreams at which its run was cut off, each with whether nothing listened there afterwards.
    cut_at: tuple[tuple[str, bool], ...] = ()
    #: Digest of the request in hex, equal in all attempts at it; only set where a run was cut off.
    digest: str = ""
    #: Parts of its prompt that other requests share, each the caller's name and, in brackets, the
    #: digest, in hex; only set where the digest is.
    prompt_parts: tuple[str, ...] = ()
    #: Milliseconds that it would have waited for a slot, where it was refused because of that wait.
    predicted_ms: int = 0
    #: The router that relayed the answer; empty if it came directly from the upstream.
    relayed_by: str = ""
    #: The caller's id of the attempt that began the stream which the request resumes, as its caller
    #: names it; empty if it resumes none.
    resumed_attempt: str = ""
    #: How it is known which software version began that stream, and the router that had recorded
    #: it; empty where it is not known.
    origin: str = ""
    origin_router: str = ""
    #: Why its broken stream was not resumed at another upstream, as the code of a refusal.
    not_resumed: str = ""
    #: Software versions of the upstreams that answered, in order, without repeats in a row; empty
    #: if they state none.
    software_versions: tuple[str, ...] = ()
    #: Whether the upstream's latest answer had neither a length nor chunks, so that it ended with
    #: its connection.
    ended_with_connection: bool = False


class RequestRelayed(
    msgspec.Struct, frozen=True, tag_field="event", tag="relayed", omit_defaults=True
):
    """A request that this router relayed to an engine for another router ended."""

    #: As in RequestEnded of the router that received it.
    id: str
    #: That router.
    entry: str
    upstream: str
    #: "whole", "cancelled", or the code of the refusal, of the loss or of the broken answer.
    outcome: str
    #: Milliseconds from its receipt here to its end.
    ms: int


class SurplusReceived(
    msgspec.Struct, frozen=True, tag_field="event", tag="surplus-answer", omit_defaults=True
):
    """An upstream sent an answer that is not, or not provably, the awaited one."""

    #: The id under which the upstream received the request whose answer was awaited.
    id: str
    upstream: str
    status: int
    #: "skipped" if the awaited answer was read after it, else "unproven".
    outcome: str
    #: The id of the request that the answer names; empty if it names none.
    named: str = ""
    #: Number of requests that the connection had carried, the awaiting one included.
    use: int = 0


class StateChange(msgspec.Struct, frozen=True, tag_field="event", tag="belief", omit_defaults=True):
    """Something that this router knows about its fleet has changed.

    It is written as a "belief": what the router knows may be out of date, and other routers may
    know otherwise.
    """

    #: The kind of object: "configuration", "upstream", "health" (of an upstream), "path" (from this
    #: router to an upstream), "notice" (what an upstream reported of itself in its answers), "hall"
    #: (whether it is evacuated), "router", "platform", "process", "entry" (of the configuration),
    #: "request" (one during which engines ended), "prompt part" (one that such requests have) or
    #: "records" (some state changes were left out).
    about: str
    #: The name of the object; empty where there is only one of its kind. The name of an entry is
    #: its kind and its own name, separated by a space.
    name: str
    #: Its new state.
    now: str
    #: The version of the data that the new state comes from; 0 without one.
    version: int = 0
    #: The former state, or the evidence of the new one.
    why: str = ""


Record = RequestEnded | RequestRelayed | SurplusReceived | StateChange


class Records(Protocol):
    """Receives records."""

    def write(self, record: Record) -> None:
        """Write one record."""


class NoRecords:
    """Discards every record."""

    def write(self, record: Record) -> None:
        """Do nothing."""


class LoggedRecords:
    """Logs state changes as sentences for people.

    Ended requests are left out, since there are too many.
    """

    def write(self, record: Record) -> None:
        """Log a state change."""
        if isinstance(record, StateChange):
            _log.info("{}", _sentence(record))


def _sentence(change: StateChange) -> str:
    subject = f"{change.about} {change.name}".strip().capitalize()
    version = f" as of {change.version}" if change.version else ""
    why = f" ({change.why})" if change.why else ""
    return f"{subject} is {change.now}{version}{why}."


class LineRecords:
    """Writes each record as one line of JSON; see Records."""

    def __init__(self, process: str, writer: LineWriter = STANDARD_OUTPUT) -> None:
        self._prefix = b'{"at":%.3f,"router":' + msgspec.json.encode(process) + b","
        self._writer = writer
        self._encoder = msgspec.json.Encoder()

    def write(self, record: Record) -> None:
        """Write one record, preceded by the time and the name of the router."""
        body = self._encoder.encode(record)
        self._writer.add(self._prefix % time.time() + body[1:])
