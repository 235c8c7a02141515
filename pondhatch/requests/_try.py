"""One try of a request at one upstream, as a state machine without I/O.

The connection code reports events to the machine; the machine alone decides
the outcome when the connection is lost.
"""

from __future__ import annotations

from typing import Protocol

import msgspec
from automat import TypeMachineBuilder

from pondhatch.requests._outcomes import (
    CROSSED,
    Broken,
    EngineRefusal,
    NotRun,
    Outcome,
    Unknown,
    Whole,
    refused_by_engine,
)


class Try(Protocol):
    """The inputs of a try."""

    def sent(self) -> None:
        """The first byte of the request may have left this process."""

    def refused(self, refusal: EngineRefusal) -> None:
        """The upstream reported that it did not run the request, and why."""

    def crossed(self) -> None:
        """The received answer is not provably the one to this request."""

    def head(self) -> None:
        """The head of the answer was received."""

    def ended(self) -> None:
        """The last byte of the answer was received."""

    def lost(self, reason: str) -> Outcome:
        """The connection was lost or the try abandoned; return the outcome."""


class TryFacts(msgspec.Struct):
    """Data of a try besides its state."""

    upstream: str
    #: Why the upstream did not run the request, once it has said so.
    refusal: EngineRefusal = EngineRefusal.UNKNOWN


_builder = TypeMachineBuilder(Try, TryFacts)
_waiting = _builder.state("waiting")
_sent = _builder.state("sent")
_refused = _builder.state("refused")
_crossed = _builder.state("crossed")
_answering = _builder.state("answering")
_finished = _builder.state("finished")


_waiting.upon(Try.sent).to(_sent).returns(None)
_sent.upon(Try.crossed).to(_crossed).returns(None)
_sent.upon(Try.head).to(_answering).returns(None)
_answering.upon(Try.ended).to(_finished).returns(None)


@_sent.upon(Try.refused).to(_refused)
def _refuse(_: Try, facts: TryFacts, refusal: EngineRefusal) -> None:
    facts.refusal = refusal


@_waiting.upon(Try.lost).loop()
def _lost_waiting(_: Try, facts: TryFacts, reason: str) -> Outcome:
    return NotRun("upstream-unreachable", f"{facts.upstream}: {reason}")


@_refused.upon(Try.lost).loop()
def _lost_refused(_: Try, facts: TryFacts, reason: str) -> Outcome:
    return refused_by_engine(facts.refusal, f"{facts.upstream}: {reason}")


@_sent.upon(Try.lost).loop()
def _lost_sent(_: Try, facts: TryFacts, reason: str) -> Outcome:
    return Unknown("upstream-lost", f"{facts.upstream}: {reason}")


@_crossed.upon(Try.lost).loop()
def _lost_crossed(_: Try, facts: TryFacts, reason: str) -> Outcome:
    return Unknown(CROSSED, f"{facts.upstream}: {reason}")


@_answering.upon(Try.lost).loop()
def _lost_answering(_: Try, facts: TryFacts, reason: str) -> Outcome:
    return Broken("answer-broken", f"{facts.upstream}: {reason}")


@_finished.upon(Try.lost).loop()
def _lost_finished(_: Try, facts: TryFacts, reason: str) -> Outcome:
    return Whole()


_new_try = _builder.build()


def new_try(upstream: str) -> Try:
    """Return a try of which nothing was sent yet."""
    return _new_try(TryFacts(upstream))
